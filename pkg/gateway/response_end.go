package gateway

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/forward"
)

var (
	// errServerEnded means that a response ended with its connection, and its server's
	// process with it.
	errServerEnded = errors.New("server ended with the response")
	// errEndUnconfirmed means that a response ended with its connection, and nothing shows
	// whether its server still runs.
	errEndUnconfirmed = errors.New("end of the response isn't confirmed")
)

// endEvidence is what shows that a response that has ended is complete.
type endEvidence uint8

// The kinds of evidence.
const (
	// endUnconfirmed: nothing shows whether it is complete.
	endUnconfirmed endEvidence = iota
	// endRefuted: its server has ended.
	endRefuted
	// endFramed: its length or last chunk.
	endFramed
	// endServerRunning: its server runs, and so has closed the connection by itself.
	endServerRunning
	// endReset: its connection failed.
	endReset
	// endRequestUnwritten: its connection ended before the request was written.
	endRequestUnwritten
)

// String returns the evidence's name in logs and metrics.
func (e endEvidence) String() string {
	switch e {
	case endRefuted:
		return "server-ended"
	case endFramed:
		return "framing"
	case endServerRunning:
		return "server-running"
	case endReset:
		return "reset"
	case endRequestUnwritten:
		return "request-unwritten"
	default:
		return "none"
	}
}

// err returns why a response with this evidence must not end as complete; nil if it may.
func (e endEvidence) err() error {
	switch e {
	case endFramed, endServerRunning:
		return nil
	case endRefuted:
		return errServerEnded
	case endReset:
		return forward.ErrReset
	case endRequestUnwritten:
		return forward.ErrRequestUnwritten
	default:
		return errEndUnconfirmed
	}
}

// watchServer begins to watch the server of a response that ends with its connection.
func (x *exchange) watchServer(ctx context.Context, backend *server, response *forward.Response) {
	x.progress.lastData = time.Now()
	if response.Framing != forward.FramingConnection {
		return
	}
	watch, err := x.handler.pool.NewWatch(ctx, backend.Address)
	if err != nil {
		x.logger.Info("server of a response without framing can't be watched", "backend", backend.ID, "error", err)
		return
	}
	x.watch = watch
}

// endWatch ends the watch of the server, if there is one.
func (x *exchange) endWatch() {
	if x.watch != nil {
		x.watch.Close()
	}
	x.watch = nil
}

// dataReceived gives the watch up if its connection has ended before the response.
func (x *exchange) dataReceived(ctx context.Context) {
	x.progress.lastData = time.Now()
	if x.watch == nil {
		return
	}
	x.watch.Refresh(ctx)
	if !x.watch.IsOpen() {
		x.endWatch()
	}
}

// watchedReader reads a response and checks the watch of its server with each read.
type watchedReader struct {
	ctx      context.Context
	exchange *exchange
	backend  *server
	response *forward.Response
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.exchange.readResponse(r.backend, r.response, p)
	if n > 0 {
		r.exchange.dataReceived(r.ctx)
	}
	return n, err
}

// readResponse reads a response, and records it if its connection ended and that isn't the
// end of the response.
func (x *exchange) readResponse(backend *server, response *forward.Response, p []byte) (int, error) {
	n, err := response.Read(p)
	switch {
	case errors.Is(err, forward.ErrReset):
		x.recordConnectionEnd(backend, response, endReset, endClues{}, err)
	case errors.Is(err, forward.ErrRequestUnwritten):
		x.recordConnectionEnd(backend, response, endRequestUnwritten, endClues{}, err)
	}
	return n, err
}

// recordConnectionEnd records what shows whether a response that has ended with its
// connection is complete. The error is why it isn't, or that of a new connection.
func (x *exchange) recordConnectionEnd(backend *server, response *forward.Response, evidence endEvidence, clues endClues, err error) {
	end := response.ConnectionEnd()
	x.progress.evidence = evidence
	x.handler.observer.metrics.UnframedEnd(evidence.String())
	x.logger.Info("response ended with its connection", "backend", backend.ID, "evidence", evidence.String(),
		"request_written", end.RequestWritten, "connection", end.State.String(), "ended_ms_ago", time.Since(end.At).Milliseconds(), "connection_error", end.Failure, "state_error", end.StateErr,
		"watched", clues.watched, "open", clues.open, "accepted_at_once", clues.acceptedAtOnce, "answered", clues.answered, "closed", clues.closed, "leaving", clues.leaving,
		"last_event", x.progress.events.LastID(), "error", err)
}

// confirmEnd returns what shows that a response that has ended in order is complete.
func (x *exchange) confirmEnd(ctx context.Context, backend *server, response *forward.Response) endEvidence {
	x.progress.evidence = endFramed
	if response.Framing != forward.FramingConnection {
		return endFramed
	}
	clues, err := x.gatherClues(ctx, backend, response.ConnectionEnd().At)
	x.recordConnectionEnd(backend, response, clues.evidence(), clues, err)
	return x.progress.evidence
}
