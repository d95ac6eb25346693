package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// acquireServer returns the server to send the request to, with the lease of its
// model or the rate token if it needs one. It returns false if there is none.
func (x *exchange) acquireServer(ctx context.Context) (*server, *lease, bool) {
	for ctx.Err() == nil && x.handler.queued.Err() == nil {
		sel := x.selection(time.Now())
		if x.countedAsDemand {
			// The first agent is asked in any case, so that it learns of the demand.
			sel.startBy = x.startDeadline()
		}
		best := sel.choose()
		if best == nil {
			if x.askAgain(ctx, sel) {
				continue
			}
			if x.isTooLate(sel) || !x.awaitServer(ctx, sel) {
				return nil, nil, false
			}
			continue
		}
		s := best.server
		granted, result := x.acquireAccess(ctx, s)
		switch result {
		case leaseAcquired:
			if !x.maySend(s) {
				granted.release(false, 0)
				continue
			}
			return s, granted, true
		case leaseSwitched:
			x.switches++
		case leaseDelayed:
		case leaseOutdated:
			x.sleep(ctx, runnerCheckInterval)
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

// maySend reports whether a server can still be sent the request, which may have waited
// since the server was chosen: whether the same incarnation is registered as ready, accepts
// requests and runs the required software.
func (x *exchange) maySend(s *server) bool {
	sel := x.selection(time.Now())
	if !sel.isStillReady(s) {
		x.logger.Info("backend server left while the request waited", "backend", s.ID, "servers_age_ms", loggedAge(x.versions.registrationsAge))
		return false
	}
	return sel.acceptsRequests(s) && sel.stillHasSoftware(s)
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
		software: x.software,
		domain:   x.handler.domain,
		excluded: x.excluded,
		random:   rand.IntN,

		isOnlySoftware: x.isOnlySoftware(now),
		limitsEventGap: x.route.MaxEventGap > 0,
	}
}

// isTooLate reports whether only runners that load the model too late are left.
func (x *exchange) isTooLate(sel *selection) bool {
	return sel.hasOnlyLateRunners() && !x.canAwaitReturn(sel)
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
// it can still meet its target latency, its model has a permitted runner or may have
// one not known yet, and no agent has reported that its runner can't serve it in
// time, unless other agents aren't known yet. One that requires a software may wait
// for a runner to return.
func (x *exchange) canAwaitRunner(sel *selection) bool {
	mayBePlaced := !sel.view.agentsKnown && sel.view.table.Model(x.route, sel.model) != nil
	isPlaced := (mayBePlaced && sel.software == "") || slices.ContainsFunc(sel.view.servers[sel.service], func(s *server) bool {
		return sel.mayBecomeEligible(s) && (mayBePlaced || s.replaced || s.isPermitted(sel.model))
	})
	if x.canAwaitReturn(sel) {
		return true
	}
	isDeclined := x.declined && sel.view.agentsKnown
	return !isDeclined && isPlaced && sel.now.Before(x.waitingSince().Add(x.route.TargetLatency))
}

// recordVersions records the versions and the age of the state that a choice uses.
func (x *exchange) recordVersions(now time.Time, current *view) {
	x.versions = stateVersions{
		configuration:    current.table.Configuration().Version,
		configurationAge: x.handler.control.freshness.age(now, metrics.ViewConfiguration),
		registrationsAge: x.handler.control.freshness.age(now, metrics.ViewRegistrations),
	}
	if current.placement != nil {
		x.versions.placement = current.placement.Revision
	}
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

// waitingSince is since when the caller has been waiting for the next event: since its
// request arrived, or since the last part of a stream that has started.
func (x *exchange) waitingSince() time.Time {
	if x.progress.lastRead.IsZero() {
		return x.arrived
	}
	return x.progress.lastRead
}

// startDeadline is when the request must have started at its runner.
func (x *exchange) startDeadline() time.Time {
	timeout := max(minStartTimeout, latencyTimeoutFactor*x.route.TargetLatency, gapTimeoutFactor*x.route.MaxEventGap)
	by := x.waitingSince().Add(timeout)
	if x.deadline.Before(by) {
		by = x.deadline
	}
	return by.Add(-startMargin)
}
