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

// acquireServer returns the server to send the request to, with the lease of its
// model if it needs one. It returns false if there is none.
func (x *exchange) acquireServer(ctx context.Context) (*server, *lease, bool) {
	for ctx.Err() == nil && x.handler.queued.Err() == nil {
		sel := x.selection(time.Now())
		best := sel.choose()
		if best == nil {
			if !x.awaitServer(ctx, sel) {
				return nil, nil, false
			}
			continue
		}
		if x.countedAsDemand && best.missesStart(sel.now, x.startDeadline()) {
			return nil, nil, false
		}
		s := best.server
		granted, result := x.acquireAccess(ctx, s)
		switch result {
		case leaseAcquired:
			if !x.handler.gate.AcceptsRequests(time.Now(), s.incarnation()) {
				// The server asked for no more requests while this one waited.
				granted.release(false, 0)
				continue
			}
			return s, granted, true
		case leaseSwitched:
			x.switches++
		case leaseDelayed:
		default:
			x.excluded = append(x.excluded, s.ID)
		}
	}
	return nil, nil, false
}

// acquireAccess acquires the lease or the rate token that a server requires, if it
// requires one.
func (x *exchange) acquireAccess(ctx context.Context, s *server) (*lease, leaseResult) {
	hasAgent := s.agent != "" && s.hasFreshStatus(time.Now()) && x.handler.node.Load() != nil
	if hasAgent {
		return x.acquireLease(ctx, s)
	}
	return x.acquireRateToken(ctx, s)
}

// selection returns the inputs for choosing a server now.
func (x *exchange) selection(now time.Time) *selection {
	current := x.handler.control.current()
	x.recordVersions(now, current)
	return &selection{
		now:      now,
		view:     current,
		tracker:  x.handler.tracker,
		gate:     x.handler.gate,
		limits:   x.handler.limits,
		service:  x.service,
		model:    x.caller.Model,
		domain:   x.handler.domain,
		excluded: x.excluded,
		random:   rand.IntN,
	}
}

// awaitServer waits for a server if the request can still be served in time. It
// returns false if the request must be refused now.
func (x *exchange) awaitServer(ctx context.Context, sel *selection) bool {
	if available := sel.availableAt(); !available.IsZero() {
		decision := backpressure.WaitOrRefuse(sel.now, available, x.sendDeadline(), rand.Float64())
		if decision.Refuse {
			x.retryAfter = decision.After
			return false
		}
		x.sleep(ctx, decision.After)
		return true
	}
	if sel.model == "" || !x.canAwaitRunner(sel) {
		return false
	}
	x.sleep(ctx, runnerCheckInterval)
	return true
}

// sleep waits for d, or until ctx ends or a stopping entry refuses waiting
// requests.
func (x *exchange) sleep(ctx context.Context, d time.Duration) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.queued, cancel)
	defer stop()
	backoff.Sleep(waitCtx, d)
}

// sendDeadline is when the request must be sent to a server to complete in time.
func (x *exchange) sendDeadline() time.Time {
	if x.caller.Model != "" {
		return x.startDeadline()
	}
	return x.deadline.Add(-x.route.TargetLatency)
}

// runnerCheckInterval is how often a request without a runner checks for one.
const runnerCheckInterval = 50 * time.Millisecond

// canAwaitRunner reports whether a request without a runner may wait for one: if
// it can still meet its target latency, no agent has reported that its runner
// can't serve it in time, and its model has a permitted runner or may have one not
// known yet.
func (x *exchange) canAwaitRunner(sel *selection) bool {
	isPlaced := (!sel.view.agentsKnown && sel.view.table.Model(x.route, sel.model) != nil) ||
		slices.ContainsFunc(sel.view.servers[sel.service], func(s *server) bool { return s.replaced || s.isPermitted(sel.model) })
	return !x.declined && isPlaced && sel.now.Before(x.arrived.Add(x.route.TargetLatency))
}

// recordVersions records the versions and the age of the state that a choice uses.
func (x *exchange) recordVersions(now time.Time, current *view) {
	x.versions = stateVersions{
		configuration:    current.table.Configuration().Version,
		registrationsAge: x.handler.control.freshness.age(now, metrics.ViewRegistrations),
	}
	if current.placement != nil {
		x.versions.placement = current.placement.Revision
	}
}

// leaseResult is the result of requesting a lease.
type leaseResult uint8

const (
	// leaseUnavailable: the runner can't be used.
	leaseUnavailable leaseResult = iota
	// leaseAcquired: the runner may be used.
	leaseAcquired
	// leaseSwitched: another runner can serve the request sooner.
	leaseSwitched
	// leaseDelayed: the server's rate limit allows no request from this host yet.
	leaseDelayed
)

// acquireLease acquires a lease of the request's model. If the agent does not
// respond, a runner that has the model loaded is used without a lease.
func (x *exchange) acquireLease(ctx context.Context, s *server) (*lease, leaseResult) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.queued, cancel)
	defer stop()
	watcher := x.watchForBetter(s, cancel)
	requestedAt := time.Now()
	granted, refusal, err := acquire(waitCtx, x.handler.node.Load(), s, x.acquireFrame(requestedAt))
	switched := watcher.finish()
	waited := time.Since(requestedAt)
	switch {
	case err != nil && switched:
		x.countedAsDemand = true
		x.handler.observer.metrics.LeaseWait(leaseAbandoned, waited)
		x.logger.Info("lease request cancelled for a better runner", "agent", s.agent, "backend", s.ID, "waited_ms", waited.Milliseconds())
		return nil, leaseSwitched
	case err != nil:
		if waitCtx.Err() != nil {
			return nil, leaseUnavailable
		}
		x.handler.observer.metrics.LeaseWait(leaseAgentTimeout, waited)
		runnerAlive := isProcessDown(err) || x.handler.tracker.AgentUnresponsive(time.Now(), s.ID)
		x.logger.Info("agent not responding", "agent", s.agent, "backend", s.ID, "runner_lives", runnerAlive,
			"waited_ms", waited.Milliseconds(), "error", err)
		known := s.model(x.caller.Model)
		if runnerAlive && known != nil && known.State == wire.ModelLoaded {
			return x.acquireRateToken(ctx, s)
		}
		return nil, leaseUnavailable
	case refusal != nil:
		x.countedAsDemand = true
		x.declined = x.declined || isDeclined(refusal.Reason)
		x.retryAfter = time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		x.handler.observer.metrics.LeaseWait(string(refusal.Reason), waited)
		x.logger.Info("lease refused", "agent", s.agent, "backend", s.ID, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfterMillis, "waited_ms", waited.Milliseconds(), "status_age_ms", s.statusAge(requestedAt).Milliseconds())
		return nil, leaseUnavailable
	default:
		x.handler.observer.metrics.LeaseWait(leaseGranted, waited)
		x.leaseWait = time.Since(x.arrived)
		x.countedAsDemand = true
		return granted, leaseAcquired
	}
}

// isDeclined reports whether a refusal means that the runner can't serve the
// request in time, rather than that it is out of service.
func isDeclined(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonDeadline, wire.ReasonNoMemory, wire.ReasonQueueFull, wire.ReasonRate:
		return true
	default:
		return false
	}
}

// leaseGranted, leaseAgentTimeout and leaseAbandoned are the results of lease
// requests in metrics, in addition to the reasons of refusals.
const (
	leaseGranted      = "granted"
	leaseAgentTimeout = "silent"
	leaseAbandoned    = "left"
)

// isProcessDown reports whether the agent's host responded that the process isn't
// running, so that only the agent is down and not the host.
func isProcessDown(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset) || errors.Is(err, syscall.ECONNREFUSED)
}

const (
	// minStartTimeout, latencyTimeoutFactor and gapTimeoutFactor define how long a
	// caller waits for the first event of a stream: the maximum of a fixed time and
	// multiples of the route's target latency and longest event gap.
	minStartTimeout      = 2 * time.Second
	latencyTimeoutFactor = 4
	gapTimeoutFactor     = 8
	// startMargin is the part of this time reserved for producing and sending the
	// event.
	startMargin = 200 * time.Millisecond
)

// startDeadline is when the request must have started at its runner.
func (x *exchange) startDeadline() time.Time {
	timeout := max(minStartTimeout, latencyTimeoutFactor*x.route.TargetLatency, gapTimeoutFactor*x.route.MaxEventGap)
	by := x.arrived.Add(timeout)
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
		DeadlineMillis: remainingMillis(now, x.deadline),
		StartMillis:    remainingMillis(now, x.startDeadline()),
		TargetMillis:   uint32(x.route.TargetLatency.Milliseconds()),
		PromptTokens:   int64(x.caller.PromptTokens),
		Tokens:         int64(x.caller.PromptTokens) + outputTokenCost*int64(x.caller.MaxOutputTokens),
		Repeated:       x.countedAsDemand,
	}
}

// outputTokenCost is the cost of an output token in prompt tokens.
const outputTokenCost = 10

func remainingMillis(now, until time.Time) uint32 {
	return uint32(max(until.Sub(now).Milliseconds(), 0))
}
