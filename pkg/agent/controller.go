package agent

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// defaultRetryAfter is the retry-after time of refusals without an estimate.
	defaultRetryAfter = time.Second
	// hostLeavingTTL is how long an entry's report that the host list marks this
	// host as leaving stays valid.
	hostLeavingTTL = 15 * time.Second
	// responseRetention is how long an ended response can be resumed.
	responseRetention = 10 * time.Second
	// tickInterval is the interval of the checks of deadlines and idle models.
	tickInterval = 50 * time.Millisecond
	// quiescentTickInterval is the tick interval while nothing is pending.
	quiescentTickInterval = 500 * time.Millisecond
)

// controller holds the agent's control state. Its methods run on the loop.
type controller struct {
	loop *eventloop.Loop
	ctx  context.Context
	// now is the clock for functions that are posted to the loop.
	now         func() time.Time
	logger      *slog.Logger
	metrics     *metrics.Agent
	runner      string
	incarnation string
	services    []string

	queue    *admission.Queue
	limits   admission.Limits
	requests map[string]*requestState
	leaving  bool
	// hostLeavingUntil is when leaving expires if only the host list demands it;
	// zero if the process itself is leaving.
	hostLeavingUntil time.Time
	sequence         uint64

	// models is nil for a plain service.
	models *modelTable
	// idempotent is nil for a model engine.
	idempotent *idempotentCalls
	// start runs a request on its own goroutine.
	start func(*requestState)
	// wakeup holds a token after a request has arrived.
	wakeup chan struct{}
	// streams counts the streams that forward a response.
	streams atomic.Int64
}

func newController(ctx context.Context, config settings.Agent, incarnation string, metered *metrics.Agent, logger *slog.Logger) *controller {
	limits := admission.Limits{MaxQueued: config.Limits.MaxQueued, Slots: config.Backend.Slots}
	return &controller{
		loop:        eventloop.New(),
		ctx:         ctx,
		now:         time.Now,
		logger:      logger,
		metrics:     metered,
		runner:      config.Host.ID,
		incarnation: incarnation,
		services:    config.Backend.Services,
		queue:       admission.New(limits),
		limits:      limits,
		requests:    make(map[string]*requestState),
		wakeup:      make(chan struct{}, 1),
	}
}

// submit accepts a request and returns its state. A repeated delivery of the same
// request joins the earlier one.
func (c *controller) submit(now time.Time, request *wire.Request) *requestState {
	if earlier := c.requests[request.ID]; earlier != nil && !earlier.response.isRefusedNotRun() {
		return earlier
	}
	rs := newRequestState(c.ctx, request, now)
	if c.models != nil && request.Placement != nil {
		c.models.execute(c.models.enforcer.Step(placement.PlacementRelayed{Placement: *request.Placement}))
	}
	if refusal := c.refusalReason(request); refusal != "" {
		rs.refuse(wire.OutcomeNotRun, refusal, defaultRetryAfter, "")
		rs.cancel()
		return rs
	}
	c.requests[request.ID] = rs
	c.wake()
	if c.idempotent != nil && request.IdempotencyKey != "" {
		c.idempotent.submit(now, rs)
		return rs
	}
	c.enqueue(now, rs)
	return rs
}

// refusalReason returns why requests of this kind are refused, or "".
func (c *controller) refusalReason(request *wire.Request) wire.Reason {
	if c.leaving {
		return wire.ReasonLeaving
	}
	isService := request.Service != ""
	if isService != (c.models == nil) {
		return wire.ReasonNotFound
	}
	if isService && !slices.Contains(c.services, request.Service) {
		return wire.ReasonNotFound
	}
	return ""
}

// enqueue queues a request or refuses it.
func (c *controller) enqueue(now time.Time, rs *requestState) {
	var estimate admission.Estimate
	if c.models != nil {
		rs.cold = !c.isReady(rs.target())
		readyIn, reason := c.models.admit(now, rs.request)
		if reason != "" {
			c.refuse(now, rs, wire.OutcomeNotRun, reason, defaultRetryAfter, "")
			return
		}
		estimate.ReadyIn = readyIn
	}
	if refusal := c.queue.Offer(now, rs.item(), estimate); refusal != nil {
		c.loadForLateRequest(now, rs, refusal.Reason)
		c.refuse(now, rs, wire.OutcomeNotRun, refusal.Reason, refusal.RetryAfter, "")
		return
	}
	rs.waiting = true
	if c.models != nil {
		c.models.requestQueued(rs.target(), rs.deadline)
	}
	c.schedule(now)
}

// loadForLateRequest loads the model of a request that missed its deadline
// nevertheless, so that the model is loaded when the caller retries.
func (c *controller) loadForLateRequest(now time.Time, rs *requestState, reason wire.Reason) {
	if c.models != nil && reason == wire.ReasonDeadline {
		c.models.wantForRetries(now, rs.target())
		c.models.startWantedLoads(now)
	}
}

// schedule starts loads and the requests that can run.
func (c *controller) schedule(now time.Time) {
	if c.models != nil {
		c.models.startWantedLoads(now)
	}
	for {
		item, ok := c.queue.Next(now, c.isReady)
		if !ok {
			return
		}
		rs := c.requests[item.ID]
		if rs == nil {
			c.queue.Finish(now, item.ID, 0, 0)
			continue
		}
		c.markDequeued(rs)
		c.metrics.QueueWait(rs.request.Plan, now.Sub(rs.arrived))
		if c.models != nil {
			c.models.requestStarted(rs.target())
		}
		if rs.cold {
			c.metrics.ColdStart(now.Sub(rs.arrived))
		}
		c.start(rs)
	}
}

func (c *controller) isReady(target admission.Target) bool {
	return c.models == nil || c.models.isLoaded(target)
}

func (c *controller) markDequeued(rs *requestState) {
	if rs.waiting && c.models != nil {
		c.models.requestDequeued(rs.target())
	}
	rs.waiting = false
}

// finish completes a request that ran; its response has ended already.
func (c *controller) finish(now time.Time, rs *requestState, tokens int64, took time.Duration) {
	c.queue.Finish(now, rs.request.ID, tokens, took)
	if c.models != nil {
		c.models.requestFinished(now, rs.target())
	}
	c.complete(rs)
	c.schedule(now)
}

// refuse refuses a request that isn't running.
func (c *controller) refuse(_ time.Time, rs *requestState, outcome wire.Outcome, reason wire.Reason, retryAfter time.Duration, detail string) {
	c.markDequeued(rs)
	rs.refuse(outcome, reason, retryAfter, detail)
	c.complete(rs)
}

// complete releases a request and retains its response for responseRetention, so
// that it can be resumed.
func (c *controller) complete(rs *requestState) {
	c.metrics.RequestDone(rs.outcome())
	if rs.onCompleted != nil {
		rs.onCompleted(rs)
	}
	rs.cancel()
	time.AfterFunc(responseRetention, func() {
		c.loop.Post(func() {
			if c.requests[rs.request.ID] == rs {
				delete(c.requests, rs.request.ID)
			}
		})
	})
}

// cancelRequest removes a waiting request, or cancels a running one, after its
// caller disconnected.
func (c *controller) cancelRequest(now time.Time, rs *requestState) {
	if rs.waiting && c.queue.Remove(now, rs.request.ID) {
		c.refuse(now, rs, wire.OutcomeNotRun, wire.ReasonCancelled, 0, "")
		return
	}
	if c.idempotent != nil && c.idempotent.cancelWaiting(now, rs) {
		return
	}
	rs.cancel()
}

// refuseWaiting refuses all requests that wait for a target.
func (c *controller) refuseWaiting(now time.Time, target admission.Target, reason wire.Reason, detail string) {
	for _, item := range c.queue.FailTarget(now, target) {
		if rs := c.requests[item.ID]; rs != nil {
			c.refuse(now, rs, wire.OutcomeNotRun, reason, defaultRetryAfter, detail)
		}
	}
}

// tick refuses requests that can't meet their deadline and handles idle models.
func (c *controller) tick(now time.Time) {
	c.expireHostLeaving(now)
	c.metrics.Requests(c.queue.Len(), c.queue.Running())
	for _, item := range c.queue.Expire(now) {
		if rs := c.requests[item.ID]; rs != nil {
			wait := c.queue.ExpectedWait(now, item.Plan, item.Weight)
			c.loadForLateRequest(now, rs, wire.ReasonDeadline)
			c.refuse(now, rs, wire.OutcomeNotRun, wire.ReasonDeadline, max(wait, defaultRetryAfter), "")
		}
	}
	if c.models != nil {
		c.models.tick(now)
	}
	if c.idempotent != nil {
		c.idempotent.tick(now)
	}
	c.schedule(now)
}

// wake makes the tick loop return to its short interval.
func (c *controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// isIdle reports whether no request is queued or running.
func (c *controller) isIdle() bool {
	return c.queue.Len() == 0 && c.queue.Running() == 0 && (c.idempotent == nil || c.idempotent.isIdle())
}

// setSlots applies the number of slots that the engine reports.
func (c *controller) setSlots(slots int) {
	if slots <= 0 || slots == c.limits.Slots {
		return
	}
	c.limits.Slots = slots
	c.queue.SetLimits(c.limits)
}

// status returns the agent's current status.
func (c *controller) status(now time.Time) *wire.Status {
	c.sequence++
	status := &wire.Status{
		Runner:       c.runner,
		Incarnation:  c.incarnation,
		Sequence:     c.sequence,
		Leaving:      c.leaving,
		Running:      c.queue.Running(),
		Queued:       c.queue.Len(),
		QueuedTokens: c.queue.QueuedTokens(),
		Slots:        c.limits.Slots,
		Services:     c.services,
	}
	if c.models != nil {
		c.models.addToStatus(now, status)
	}
	return status
}

// expectedWait returns the expected queue wait of a new request whose model is
// loaded.
func (c *controller) expectedWait(now time.Time) time.Duration {
	const newPlan, newWeight = "", 1
	return c.queue.ExpectedWait(now, newPlan, newWeight)
}
