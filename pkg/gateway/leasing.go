package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// next returns the server to send the request to, with the lease of its model if
// it needs one. It returns false if there is none.
func (x *exchange) next(ctx context.Context) (*server, *lease, bool) {
	for ctx.Err() == nil && x.handler.unsent.Err() == nil {
		sel := x.selection(time.Now())
		best := sel.choose()
		if best == nil {
			if !x.awaitServer(ctx, sel) {
				return nil, nil, false
			}
			continue
		}
		if x.counted && best.comesTooLate(sel.now, x.startBy()) {
			return nil, nil, false
		}
		s := best.server
		if s.agent == "" || !s.hears(sel.now) || x.handler.node.Load() == nil {
			return s, nil, true
		}
		held, result := x.lease(ctx, s)
		switch result {
		case leaseHeld:
			if !x.handler.gate.AcceptsRequests(time.Now(), s.incarnation()) {
				// The server closed while the request waited.
				held.release(false, 0)
				continue
			}
			return s, held, true
		case leaseMoved:
			x.moves++
		default:
			x.tried = append(x.tried, s.ID)
		}
	}
	return nil, nil, false
}

// selection is what a server for the request is chosen by now.
func (x *exchange) selection(now time.Time) *selection {
	current := x.handler.control.current()
	x.know(now, current)
	return &selection{
		now:     now,
		view:    current,
		tracker: x.handler.tracker,
		gate:    x.handler.gate,
		service: x.service,
		model:   x.caller.Model,
		domain:  x.handler.domain,
		tried:   x.tried,
		random:  rand.IntN,
	}
}

// awaitServer waits a while for a server if the request can still be served in
// time. It returns false if the request is to be refused now.
func (x *exchange) awaitServer(ctx context.Context, sel *selection) bool {
	if opens := sel.opensAt(); !opens.IsZero() {
		turn := backpressure.WaitOrRefuse(sel.now, opens, x.sendBy(), rand.Float64())
		if turn.Refuse {
			x.retryAfter = turn.After
			return false
		}
		x.pause(ctx, turn.After)
		return true
	}
	if sel.model == "" || !x.mayAwaitRunner(sel) {
		return false
	}
	x.pause(ctx, runnerCheck)
	return true
}

// pause waits for a time, or until ctx ends or a stopping entry gives the request
// up.
func (x *exchange) pause(ctx context.Context, d time.Duration) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.unsent, cancel)
	defer stop()
	backoff.Sleep(waitCtx, d)
}

// sendBy is when the request must be sent to a server to be answered in time.
func (x *exchange) sendBy() time.Time {
	if x.caller.Model != "" {
		return x.startBy()
	}
	return x.deadline.Add(-x.route.TargetLatency)
}

// runnerCheck is how often a request for which there is no runner looks for one.
const runnerCheck = 50 * time.Millisecond

// mayAwaitRunner tells whether a request for which there is no runner may wait for
// one: if it can still be on time, if no agent has said that its runner can't serve
// it in time, and if its model has a place or may have one that isn't known yet.
func (x *exchange) mayAwaitRunner(sel *selection) bool {
	isPlaced := (!sel.view.informed && sel.view.table.Model(x.route, sel.model) != nil) ||
		slices.ContainsFunc(sel.view.servers[sel.service], func(s *server) bool { return s.replaced || s.isPermitted(sel.model) })
	return !x.declined && isPlaced && sel.now.Before(x.arrived.Add(x.route.TargetLatency))
}

// know notes the versions and the age of what a choice rests on.
func (x *exchange) know(now time.Time, current *view) {
	x.known = knowledge{
		configuration: current.table.Configuration().Version,
		serversAge:    x.handler.control.beliefs.age(now, metrics.ViewRegistrations),
	}
	if current.placement != nil {
		x.known.placement = current.placement.Revision
	}
}

// leaseResult tells how asking an agent for the use of a model ended.
type leaseResult uint8

const (
	// leaseNone: the runner can't be used.
	leaseNone leaseResult = iota
	// leaseHeld: the runner may be used.
	leaseHeld
	// leaseMoved: another runner can serve the request sooner.
	leaseMoved
)

// lease acquires the use of the request's model. Where the agent is silent, a
// runner that holds the model is used without it.
func (x *exchange) lease(ctx context.Context, s *server) (*lease, leaseResult) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.unsent, cancel)
	defer stop()
	mover := x.watch(s, cancel)
	asked := time.Now()
	held, refusal, err := acquire(waitCtx, x.handler.node.Load(), s, x.acquireFrame(asked))
	moved := mover.end()
	waited := time.Since(asked)
	switch {
	case err != nil && moved:
		x.counted = true
		x.handler.observer.metrics.LeaseWait(leaseLeft, waited)
		x.logger.Info("lease given up, another runner is better", "agent", s.agent, "backend", s.ID, "waited_ms", waited.Milliseconds())
		return nil, leaseMoved
	case err != nil:
		if waitCtx.Err() != nil {
			return nil, leaseNone
		}
		x.handler.observer.metrics.LeaseWait(leaseSilent, waited)
		lives := isReset(err) || x.handler.tracker.AgentUnresponsive(time.Now(), s.ID)
		x.logger.Info("agent silent", "agent", s.agent, "backend", s.ID, "runner_lives", lives,
			"waited_ms", waited.Milliseconds(), "error", err)
		known := s.model(x.caller.Model)
		if lives && known != nil && known.State == wire.ModelLoaded {
			return nil, leaseHeld
		}
		return nil, leaseNone
	case refusal != nil:
		x.counted = true
		x.declined = x.declined || isDeclined(refusal.Reason)
		x.retryAfter = time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		x.handler.observer.metrics.LeaseWait(string(refusal.Reason), waited)
		x.logger.Info("lease refused", "agent", s.agent, "backend", s.ID, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfterMillis, "waited_ms", waited.Milliseconds(), "status_age_ms", s.statusAge(asked).Milliseconds())
		return nil, leaseNone
	default:
		x.handler.observer.metrics.LeaseWait(leaseGranted, waited)
		x.leased = time.Since(x.arrived)
		x.counted = true
		return held, leaseHeld
	}
}

// isDeclined tells whether an agent's refusal says that its runner can't serve the
// request in time, and not that it is out of use.
func isDeclined(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonDeadline, wire.ReasonNoMemory, wire.ReasonQueueFull:
		return true
	default:
		return false
	}
}

// leaseGranted, leaseSilent and leaseLeft are the results of asking an agent that
// metrics name, beside the reasons of its refusals.
const (
	leaseGranted = "granted"
	leaseSilent  = "silent"
	leaseLeft    = "left"
)

// isReset tells whether the host of an agent answered that its process is gone,
// so that only the agent is away.
func isReset(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset) || errors.Is(err, syscall.ECONNREFUSED)
}

const (
	// minPatience, latencyPatience and gapPatience tell how long a caller waits
	// for the first event of a stream: the longest of a fixed time and multiples
	// of the route's target latency and longest pause.
	minPatience     = 2 * time.Second
	latencyPatience = 4
	gapPatience     = 8
	// startMargin is kept free of it for the first event to be made and to travel.
	startMargin = 200 * time.Millisecond
)

// startBy is when the request must have started at its runner.
func (x *exchange) startBy() time.Time {
	patience := max(minPatience, latencyPatience*x.route.TargetLatency, gapPatience*x.route.MaxEventGap)
	by := x.arrived.Add(patience)
	if x.deadline.Before(by) {
		by = x.deadline
	}
	return by.Add(-startMargin)
}

func (x *exchange) acquireFrame(now time.Time) *wire.Acquire {
	return &wire.Acquire{
		RequestID:      x.caller.RequestID,
		Model:          x.caller.Model,
		Adapter:        x.caller.Adapter,
		Route:          x.route.Name,
		Priority:       x.route.Priority,
		DeadlineMillis: remaining(now, x.deadline),
		StartMillis:    remaining(now, x.startBy()),
		TargetMillis:   uint32(x.route.TargetLatency.Milliseconds()),
		PromptTokens:   int64(x.caller.PromptTokens),
		Tokens:         int64(x.caller.PromptTokens) + answerTokenCost*int64(x.caller.MaxOutputTokens),
		Repeated:       x.counted,
	}
}

// answerTokenCost is the work of a generated token in tokens of the prompt.
const answerTokenCost = 10

func remaining(now, until time.Time) uint32 {
	return uint32(max(until.Sub(now).Milliseconds(), 0))
}
