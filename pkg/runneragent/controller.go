package runneragent

import (
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// outcome is the end of a use's wait: a grant, or a refusal.
type outcome struct {
	refused *residency.Refuse
}

// waitingUse is a use that waits for its outcome.
type waitingUse struct {
	residency.Lease
	arrived time.Time
	result  chan outcome
}

// controller drives the decisions. Its methods run on the loop, but for
// subscribe and unsubscribe.
type controller struct {
	loop    *eventloop.Loop
	logger  *slog.Logger
	manager *residency.Manager
	metrics *metrics.Runner
	// grants samples the log lines about uses that were granted at once.
	grants *logging.Sampler
	worker *worker
	// waiting holds the uses without an outcome.
	waiting map[string]waitingUse
	// minPlan is the revision below which a placement may be older than what an
	// earlier incarnation acted on.
	minPlan int64
	// asOf and plannedAt are the revision of the store that the newest plan goes
	// back to and when the plan came, reportedAt when the runner reported last.
	asOf       int64
	plannedAt  time.Time
	reportedAt time.Time
	// waking tells that a look at the manager is due.
	waking bool
	// engine is what the newest configuration says of the runner's service; nil
	// before it is known.
	engine *wire.Engine
	// statuses spaces the statuses that subscribers are given.
	statuses    eventloop.Throttle
	subscribers subscribers
}

func newController(manager *residency.Manager, counted *metrics.Runner, logger *slog.Logger) *controller {
	return &controller{
		loop:     eventloop.New(),
		logger:   logger,
		manager:  manager,
		metrics:  counted,
		grants:   logging.NewSampler(grantsPerSecond),
		waiting:  make(map[string]waitingUse),
		statuses: eventloop.Throttle{Pause: statusPause},
	}
}

// perform carries out what the manager wants done.
func (c *controller) perform(actions []residency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Grant:
			c.finish(a.ID, outcome{})
		case residency.Refuse:
			refused := a
			c.finish(a.ID, outcome{refused: &refused})
		case residency.SendOrder:
			c.worker.give(a.Order)
		case residency.OrderCompleted:
			c.noteChange(a)
		}
	}
	c.wakeAt(c.manager.NextWake(time.Now()))
	c.publish(time.Now())
	c.worker.poll(c.manager.PollInterval())
}

// publish gives the subscribers the present status, at once or a moment after the
// one before it, so that changes that come together are described once.
func (c *controller) publish(now time.Time) { c.statuses.Do(c.loop, now, c.publishNow) }

func (c *controller) publishNow() {
	now := time.Now()
	c.statuses.Ran(now)
	c.subscribers.publish(now, c.manager.Status(now))
}

// wakeAt has the manager look again at a time; the zero time asks for nothing.
func (c *controller) wakeAt(at time.Time) {
	if at.IsZero() || c.waking {
		return
	}
	c.waking = true
	time.AfterFunc(time.Until(at), func() {
		c.loop.Post(func() {
			c.waking = false
			c.perform(c.manager.Tick(time.Now()))
		})
	})
}

func (c *controller) finish(id string, result outcome) {
	waiter, ok := c.waiting[id]
	if !ok {
		return
	}
	delete(c.waiting, id)
	waited := time.Since(waiter.arrived)
	if result.refused != nil {
		c.metrics.Use(string(result.refused.Reason), waited)
		c.logRefusal(waiter, result.refused, waited)
	} else {
		c.metrics.Use(useGranted, waited)
		c.logGrant(waiter, waited)
	}
	waiter.result <- result
}

const (
	// useGranted is the outcome of a use that isn't refused.
	useGranted = "granted"
	// longWait is the wait from which the log tells of each use.
	longWait = 100 * time.Millisecond
	// grantsPerSecond bounds the log lines about other uses.
	grantsPerSecond = 20
)

// logGrant tells of a use that may start, always if it had to wait.
func (c *controller) logGrant(waiter waitingUse, waited time.Duration) {
	now := time.Now()
	if waited < longWait && !c.grants.Allow(now) {
		return
	}
	c.logger.Info("use granted", "request", waiter.ID, "model", waiter.Model, "adapter", waiter.Adapter,
		"waited_ms", waited.Milliseconds(), "plan", c.manager.PlanRevision(), "report_age_ms", now.Sub(c.reportedAt).Milliseconds(),
		"state", c.manager.Explain(now, waiter.Lease))
}

// noteChange tells that an order for a model has been carried out, or has failed.
func (c *controller) noteChange(change residency.OrderCompleted) {
	result := metrics.ResultOK
	if !change.Succeeded {
		result = metrics.ResultError
	}
	if change.Order.Operation == modelrunner.Load {
		c.metrics.Load(string(change.Tier), result, change.Took)
	}
	c.logger.Info("order carried out", "belief", "model:"+change.Order.Model, "operation", change.Order.Operation.String(), "model", change.Order.Model,
		"source", change.Tier, "done", change.Succeeded, "took_ms", change.Took.Milliseconds())
}

// logRefusal tells what a refused use waited for.
func (c *controller) logRefusal(waiter waitingUse, refused *residency.Refuse, waited time.Duration) {
	now := time.Now()
	c.logger.Info("use refused", "request", waiter.ID, "model", waiter.Model, "adapter", waiter.Adapter,
		"reason", refused.Reason, "retry_after_ms", refused.RetryAfter.Milliseconds(), "waited_ms", waited.Milliseconds(),
		"plan", c.manager.PlanRevision(), "report_age_ms", now.Sub(c.reportedAt).Milliseconds(),
		"state", c.manager.Explain(now, waiter.Lease))
}

// acquire takes in a use and returns where its outcome will come.
func (c *controller) acquire(now time.Time, use residency.Lease) <-chan outcome {
	result := make(chan outcome, 1)
	if _, ok := c.waiting[use.ID]; ok {
		result <- outcome{refused: &residency.Refuse{ID: use.ID, Reason: wire.ReasonInvalid}}
		return result
	}
	c.waiting[use.ID] = waitingUse{Lease: use, arrived: now, result: result}
	c.perform(c.manager.Acquire(now, use))
	return result
}

func (c *controller) release(now time.Time, id string) {
	delete(c.waiting, id)
	c.perform(c.manager.Release(now, id))
}

func (c *controller) reported(now time.Time, report modelrunner.Report) {
	c.reportedAt = now
	c.perform(c.manager.ReportReceived(now, report))
}

func (c *controller) unreported(now time.Time) { c.perform(c.manager.ReportFailed(now)) }

func (c *controller) answered(now time.Time, result modelrunner.Result, report *modelrunner.Report) {
	c.perform(c.manager.OrderAnswered(now, result, report))
}

// planned takes in a placement from a gateway. One that may be older than what
// an earlier incarnation acted on is not used.
func (c *controller) planned(now time.Time, plan *wire.RunnerPlacement) {
	if plan.Engine != nil && (c.engine == nil || plan.Engine.Version >= c.engine.Version) {
		c.engine = plan.Engine
	}
	if plan.AsOf < c.minPlan {
		return
	}
	if plan.Revision > c.manager.PlanRevision() {
		c.logger.Info("plan in force", "belief", "placement", "revision", plan.Revision, "as_of", plan.AsOf, "instance", plan.Instance, "permits", len(plan.Permits))
	}
	c.asOf = max(c.asOf, plan.AsOf)
	c.plannedAt = now
	c.perform(c.manager.UpdateInstance(now, plan.Instance, plan.StartedAtMillis))
	if plan.Revision > 0 && c.engine != nil {
		c.perform(c.manager.UpdatePlacement(now, residency.NewPlan(c.engine, plan)))
	}
}

func (c *controller) startGranted(now time.Time, model string) {
	c.logger.Info("load from the weight store may start", "model", model)
	c.perform(c.manager.LoadGranted(now, model))
}

// registered takes in the revision of this incarnation's registration, which is
// its fencing token. A placement as of an earlier revision is not used.
func (c *controller) registered(now time.Time, fence int64) {
	c.minPlan = fence
	c.perform(c.manager.UpdateFence(now, fence))
}
