package agent

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// retryWhenLeaving is when a caller of a leaving backend server comes back.
	retryWhenLeaving = time.Second
	// listedLeavingTTL is how long what an entry says of the host list counts.
	listedLeavingTTL = 15 * time.Second
	// answerRetention is how long an ended answer can be resumed.
	answerRetention = 10 * time.Second
	// tickInterval is the time between two looks at deadlines and idle models.
	tickInterval = 50 * time.Millisecond
	// quietTickInterval is the same while nothing waits.
	quietTickInterval = 500 * time.Millisecond
)

// controller holds the control state. Its methods run on the loop.
type controller struct {
	loop *eventloop.Loop
	ctx  context.Context
	// now is the clock of commands that are posted to the loop.
	now         func() time.Time
	logger      *slog.Logger
	metrics     *metrics.Agent
	runner      string
	incarnation string
	services    []string

	queue   *admission.Queue
	limits  admission.Limits
	tickets map[string]*ticket
	leaving bool
	// listedLeavingUntil bounds a leaving that only the host list demands; zero
	// if the process itself leaves.
	listedLeavingUntil time.Time
	sequence           uint64

	// models is nil beside a plain service.
	models *modelTable
	// keyed is nil beside a model engine.
	keyed *keyedCalls
	// start runs a request on a goroutine of its own.
	start func(*ticket)
	// woken holds a token after a request arrived.
	woken chan struct{}
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
		tickets:     make(map[string]*ticket),
		woken:       make(chan struct{}, 1),
	}
}

// arrive takes in a request and returns its ticket. A repeated delivery of the
// same request joins the earlier one.
func (c *controller) arrive(now time.Time, request *wire.Request) *ticket {
	if earlier := c.tickets[request.ID]; earlier != nil && !earlier.answer.isNotRun() {
		return earlier
	}
	t := newTicket(c.ctx, request, now)
	if c.models != nil && request.Placement != nil {
		c.models.perform(c.models.holder.Step(placement.PlacementRelayed{Placement: *request.Placement}))
	}
	if refusal := c.refuseEarly(request); refusal != "" {
		t.refuse(wire.OutcomeNotRun, refusal, retryWhenLeaving, "")
		t.cancel()
		return t
	}
	c.tickets[request.ID] = t
	c.wake()
	if c.keyed != nil && request.IdempotencyKey != "" {
		c.keyed.call(now, t)
		return t
	}
	c.enqueue(now, t)
	return t
}

// refuseEarly returns the reason why no request like this is taken, or "".
func (c *controller) refuseEarly(request *wire.Request) wire.Reason {
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

// enqueue queues a ticket or ends it with a refusal.
func (c *controller) enqueue(now time.Time, t *ticket) {
	var estimate admission.Estimate
	if c.models != nil {
		t.cold = !c.isReady(t.target())
		readyIn, reason := c.models.prepare(now, t.request)
		if reason != "" {
			c.end(now, t, wire.OutcomeNotRun, reason, retryWhenLeaving, "")
			return
		}
		estimate.ReadyIn = readyIn
	}
	if refusal := c.queue.Offer(now, t.item(), estimate); refusal != nil {
		c.noteLate(now, t, refusal.Reason)
		c.end(now, t, wire.OutcomeNotRun, refusal.Reason, refusal.RetryAfter, "")
		return
	}
	t.waiting = true
	if c.models != nil {
		c.models.queued(t.target(), t.deadline)
	}
	c.advance(now)
}

// noteLate has the model of a request that came too late for it loaded all the
// same, so that the caller finds it when it comes back.
func (c *controller) noteLate(now time.Time, t *ticket, reason wire.Reason) {
	if c.models != nil && reason == wire.ReasonDeadline {
		c.models.wantSoon(now, t.target())
		c.models.loadWanted(now)
	}
}

// advance orders loads and starts the requests that can run.
func (c *controller) advance(now time.Time) {
	if c.models != nil {
		c.models.loadWanted(now)
	}
	for {
		item, ok := c.queue.Next(now, c.isReady)
		if !ok {
			return
		}
		t := c.tickets[item.ID]
		if t == nil {
			c.queue.Finish(now, item.ID, 0, 0)
			continue
		}
		c.leftQueue(t)
		c.metrics.QueueWait(t.request.Plan, now.Sub(t.arrived))
		if c.models != nil {
			c.models.started(t.target())
		}
		if t.cold {
			c.metrics.ColdStart(now.Sub(t.arrived))
		}
		c.start(t)
	}
}

func (c *controller) isReady(target admission.Target) bool {
	return c.models == nil || c.models.isLoaded(target)
}

func (c *controller) leftQueue(t *ticket) {
	if t.waiting && c.models != nil {
		c.models.dequeued(t.target())
	}
	t.waiting = false
}

// finish ends a request that ran; its answer has ended already.
func (c *controller) finish(now time.Time, t *ticket, tokens int64, took time.Duration) {
	c.queue.Finish(now, t.request.ID, tokens, took)
	if c.models != nil {
		c.models.finished(now, t.target())
	}
	c.retire(t)
	c.advance(now)
}

// end refuses a request that isn't running.
func (c *controller) end(_ time.Time, t *ticket, outcome wire.Outcome, reason wire.Reason, retryAfter time.Duration, detail string) {
	c.leftQueue(t)
	t.refuse(outcome, reason, retryAfter, detail)
	c.retire(t)
}

// retire keeps the ended answer for a while, so that it can be resumed.
func (c *controller) retire(t *ticket) {
	c.metrics.RequestDone(t.outcome())
	if t.finished != nil {
		t.finished(t)
	}
	t.cancel()
	time.AfterFunc(answerRetention, func() {
		c.loop.Post(func() {
			if c.tickets[t.request.ID] == t {
				delete(c.tickets, t.request.ID)
			}
		})
	})
}

// cancelled drops a request whose caller went away.
func (c *controller) cancelled(now time.Time, t *ticket) {
	if t.waiting && c.queue.Remove(now, t.request.ID) {
		c.end(now, t, wire.OutcomeNotRun, wire.ReasonCancelled, 0, "")
		return
	}
	if c.keyed != nil && c.keyed.cancelWaiting(now, t) {
		return
	}
	t.cancel()
}

// failWaiting refuses all requests that wait for a target.
func (c *controller) failWaiting(now time.Time, target admission.Target, reason wire.Reason, detail string) {
	for _, item := range c.queue.FailTarget(now, target) {
		if t := c.tickets[item.ID]; t != nil {
			c.end(now, t, wire.OutcomeNotRun, reason, retryWhenLeaving, detail)
		}
	}
}

// tick refuses what can no longer make its deadline and looks at idle models.
func (c *controller) tick(now time.Time) {
	c.endListedLeaving(now)
	c.metrics.Requests(c.queue.Len(), c.queue.Running())
	for _, item := range c.queue.Expire(now) {
		if t := c.tickets[item.ID]; t != nil {
			wait := c.queue.ExpectedWait(now, item.Plan, item.Weight)
			c.noteLate(now, t, wire.ReasonDeadline)
			c.end(now, t, wire.OutcomeNotRun, wire.ReasonDeadline, max(wait, retryWhenLeaving), "")
		}
	}
	if c.models != nil {
		c.models.tick(now)
	}
	if c.keyed != nil {
		c.keyed.tick(now)
	}
	c.advance(now)
}

// leave makes the agent refuse new requests for good.
func (c *controller) leave(cause string) {
	c.listedLeavingUntil = time.Time{}
	c.startLeaving(cause)
}

// listedLeaving makes the agent refuse new requests while entries go on telling
// it that the host list shows its host as leaving.
func (c *controller) listedLeaving(now time.Time) {
	if c.leaving && c.listedLeavingUntil.IsZero() {
		return
	}
	c.listedLeavingUntil = now.Add(listedLeavingTTL)
	c.startLeaving("host list")
}

func (c *controller) startLeaving(cause string) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.logger.Info("leaving", "cause", cause, "queued", c.queue.Len(), "running", c.queue.Running())
}

// endListedLeaving takes requests again when no entry says any more that the
// host is leaving.
func (c *controller) endListedLeaving(now time.Time) {
	if !c.leaving || c.listedLeavingUntil.IsZero() || now.Before(c.listedLeavingUntil) {
		return
	}
	c.leaving = false
	c.listedLeavingUntil = time.Time{}
	c.logger.Info("no longer leaving", "cause", "host list")
}

// isQuiet tells whether nothing waits for a time to pass. A request that arrives
// ends the quiet time through woken.
func (c *controller) isQuiet() bool {
	return c.idle() && (c.models == nil || c.models.isQuiet())
}

// wake ends a quiet time.
func (c *controller) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// idle tells whether no request waits or runs.
func (c *controller) idle() bool {
	return c.queue.Len() == 0 && c.queue.Running() == 0 && (c.keyed == nil || c.keyed.idle())
}

// resize takes in the slots that the engine reports.
func (c *controller) resize(slots int) {
	if slots <= 0 || slots == c.limits.Slots {
		return
	}
	c.limits.Slots = slots
	c.queue.SetLimits(c.limits)
}

// status describes the agent.
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
		c.models.describe(now, status)
	}
	return status
}

// expectedWait is the expected wait of a new request for a loaded model.
func (c *controller) expectedWait(now time.Time) time.Duration {
	const newPlan, newWeight = "", 1
	return c.queue.ExpectedWait(now, newPlan, newWeight)
}
