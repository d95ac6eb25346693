package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

const (
	// endSettleTime is how long the ends of a process's other connections may take to
	// arrive after the first one.
	endSettleTime = 10 * time.Millisecond
	// minRestartTime is the shortest time in which another process can listen at the address
	// of one that has ended.
	minRestartTime = 20 * time.Millisecond
	// minServerRestartTime is the shortest time in which a server that has ended can have
	// started again under its ID and accept connections: supervisors of processes wait 100 ms
	// or longer.
	minServerRestartTime = 200 * time.Millisecond
	// lostEndTime is the shortest time after which the lost packet that ends a connection is
	// sent again: the shortest retransmission timeout of Linux is 200 ms, less what another
	// connection's end may be late.
	lostEndTime = 160 * time.Millisecond
	// closeCheckDelay is when a server that refuses connections is sent a health check, after
	// the end of a response: the ends of its other connections have arrived by then, unless
	// they were lost.
	closeCheckDelay = 80 * time.Millisecond
	// clueTimeout limits the time to find out whether a server still runs. A response that
	// ends at its deadline is that much later.
	clueTimeout = 400 * time.Millisecond
)

// endClues are what is known of a server when a response has ended with its connection.
type endClues struct {
	// watched is set if another connection to the server was open for long enough, and
	// still when the last data arrived. open is set if the end of this one, or of any other
	// one from before the last data, hasn't arrived. It may be on its way.
	watched bool
	open    bool
	// accepts is set if the server accepted a new connection, refuses if it refused it.
	accepts bool
	refuses bool
	// acceptedAtOnce is set if the server accepted one within minRestartTime of the end.
	acceptedAtOnce bool
	// answered is set if the process that has sent the response answers a health check.
	answered bool
	// closed is set if it has read a health check and closed its connection, as a server does
	// that shuts down.
	closed bool
	// leaving is set if the server is leaving, or isn't registered, and so may refuse
	// connections while it runs.
	leaving bool
}

// evidence returns what the clues show. The kernel closes all connections of a process
// that ends, and in order, so that the end of one alone shows nothing; and the ends arrive
// one by one, some of them late or never, so that an open one shows nothing either. Only what
// the process has done after the end shows that it runs.
func (c endClues) evidence() endEvidence {
	switch {
	case c.answered, c.closed, c.accepts && c.acceptedAtOnce && (c.open || !c.watched):
		return endServerRunning
	case c.open, c.leaving:
		return endUnconfirmed
	case c.refuses, c.watched && c.accepts:
		return endRefuted
	default:
		return endUnconfirmed
	}
}

// lacksWatch reports whether no connection shows what became of the server: none was made, or
// the server closed it at once, as beyond its limit.
func (x *exchange) lacksWatch() bool {
	return x.watch == nil || (!x.watch.IsOpen() && !x.watch.IsEstablished())
}

// acceptsAtOnce reports whether a server whose response ended at a time accepts a connection
// before another process could have taken its place.
func (x *exchange) acceptsAtOnce(ctx context.Context, target *server, endedAt time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, endedAt.Add(minRestartTime))
	defer cancel()
	return x.handler.pool.CheckListening(ctx, target.Address) == nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// gatherClues finds out whether the process of a server still runs whose response ended at a
// time. The error is that of a new connection.
func (x *exchange) gatherClues(ctx context.Context, target *server, endedAt time.Time) (endClues, error) {
	// A response that ends at its deadline is judged as well.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clueTimeout)
	defer cancel()
	acceptedAtOnce := x.lacksWatch() && x.acceptsAtOnce(ctx, target, endedAt)
	// The ends of a process's connections don't arrive at the same moment.
	settled := time.Now().Add(endSettleTime)
	backoff.Sleep(ctx, endSettleTime-x.roundTrip())
	err := x.handler.pool.CheckListening(ctx, target.Address)
	checkedAt := time.Now()
	backoff.Sleep(ctx, time.Until(settled))
	known := x.handler.control.current().listed(target)
	clues := endClues{
		watched: x.watch != nil && x.watch.IsEstablished(),
		open:    x.watch != nil && x.watch.IsOpen() || x.handler.pool.HasOpen(target.Address, earlier(x.progress.lastData, endedAt)),
		accepts: err == nil,
		refuses: errors.Is(err, syscall.ECONNREFUSED),

		acceptedAtOnce: acceptedAtOnce || x.watch != nil && err == nil && checkedAt.Sub(endedAt) <= minRestartTime,

		leaving: known == nil || known.State != fleet.BackendReady || x.handler.gate.Availability(target.incarnation()).Leaving,
	}
	if clues.evidence() == endUnconfirmed {
		if clues.refuses && clues.open {
			backoff.Sleep(ctx, time.Until(endedAt.Add(closeCheckDelay)))
		}
		clues.answered, clues.closed = x.checkServer(ctx, target, endedAt)
	}
	return clues, err
}

// roundTrip is the time by which a new connection reaches the server later after its end than
// it is begun after the arrival of that end; zero if it isn't known.
func (x *exchange) roundTrip() time.Duration {
	if x.watch == nil {
		return 0
	}
	return x.watch.RoundTrip()
}

// checkServer sends a health check to the process whose response ended at a time. It reports
// whether the process answers, or has closed the connection since.
func (x *exchange) checkServer(ctx context.Context, target *server, endedAt time.Time) (answered, closed bool) {
	path := x.healthPath(target)
	if x.watch == nil || path == "" {
		return false, false
	}
	checkedAt := time.Now()
	answer, err := x.watch.Ask(ctx, path, endedAt)
	var end *forward.ClosedError
	if errors.As(err, &end) {
		return false, x.isClosedByServer(target, end, endedAt, checkedAt)
	}
	if err != nil {
		x.logger.Info("server of a response without framing doesn't answer", "backend", target.ID, "error", err)
		return false, false
	}
	isSame := isOfSameProcess(answer, target.ID, endedAt)
	if !isSame {
		x.logger.Info("server of a response without framing may have been replaced", "backend", target.ID, "answers_as", answer.ServerID,
			"connection_opened_ms", answer.OpenedAt.Sub(endedAt).Milliseconds())
	}
	return isSame, false
}

// isClosedByServer reports whether the process whose response ended at a time has closed the
// connection of a health check.
func (x *exchange) isClosedByServer(target *server, end *forward.ClosedError, endedAt, checkedAt time.Time) bool {
	isClosed := showsClose(end, endedAt, checkedAt)
	x.logger.Info("server of a response without framing closed the connection of a health check", "backend", target.ID, "confirms_end", isClosed,
		"connection_opened_ms", end.OpenedAt.Sub(endedAt).Milliseconds(), "checked_ms", checkedAt.Sub(endedAt).Milliseconds(), "closed_ms", end.At.Sub(endedAt).Milliseconds())
	return isClosed
}

// showsClose reports whether the end of a health check's connection shows that the process of
// a response that ended at a time runs. The end of a process that has ended may come through a
// proxy, which acknowledges the check as well: it is on the way before closeCheckDelay, or
// was lost and comes after lostEndTime.
func showsClose(end *forward.ClosedError, endedAt, checkedAt time.Time) bool {
	return end.OpenedAt.Sub(endedAt) <= minRestartTime &&
		checkedAt.Sub(endedAt) >= closeCheckDelay &&
		end.At.Sub(endedAt) < lostEndTime
}

// isOfSameProcess reports whether an answer is of the process of a server whose response ended
// at a time, as no other can have accepted the connection by then.
func isOfSameProcess(answer forward.Answer, id string, endedAt time.Time) bool {
	opened := answer.OpenedAt.Sub(endedAt)
	return opened <= minRestartTime || (answer.ServerID == id && opened <= minServerRestartTime)
}

// healthPath returns the path of health checks of a server; empty if it isn't known.
func (x *exchange) healthPath(target *server) string {
	table := x.handler.control.current().table
	if table == nil {
		return ""
	}
	service := table.Service(target.Service)
	if service == nil {
		return ""
	}
	return service.HealthPath
}
