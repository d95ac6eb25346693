package runneragent

import (
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/eventloop"
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
	residency.Use
	arrived time.Time
	result  chan outcome
}

// controller drives the decisions. Its methods run on the loop, but for
// subscribe and unsubscribe.
type controller struct {
	loop    *eventloop.Loop
	logger  *slog.Logger
	manager *residency.Manager
	worker  *worker
	// waiting holds the uses without an outcome.
	waiting map[string]waitingUse
	// minPlan is the revision below which a placement may be older than what an
	// earlier incarnation acted on.
	minPlan int64
	// waking tells that a look at the manager is due.
	waking bool

	subscribers subscribers
}

func newController(manager *residency.Manager, logger *slog.Logger) *controller {
	return &controller{
		loop:    eventloop.New(),
		logger:  logger,
		manager: manager,
		waiting: make(map[string]waitingUse),
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
		case residency.GiveOrder:
			c.worker.give(a.Order)
		}
	}
	c.wakeAt(c.manager.Wake(time.Now()))
	c.subscribers.publish(time.Now(), c.manager)
	c.worker.poll(c.manager.PollInterval())
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
	if result.refused != nil {
		c.logRefusal(waiter, result.refused)
	}
	waiter.result <- result
}

// logRefusal tells what a refused use waited for.
func (c *controller) logRefusal(waiter waitingUse, refused *residency.Refuse) {
	c.logger.Info("use refused", "request", waiter.ID, "model", waiter.Model, "adapter", waiter.Adapter,
		"reason", refused.Reason, "waited_ms", time.Since(waiter.arrived).Milliseconds(),
		"state", c.manager.Explain(time.Now(), waiter.Use))
}

// acquire takes in a use and returns where its outcome will come.
func (c *controller) acquire(now time.Time, use residency.Use) <-chan outcome {
	result := make(chan outcome, 1)
	if _, ok := c.waiting[use.ID]; ok {
		result <- outcome{refused: &residency.Refuse{ID: use.ID, Reason: wire.ReasonInvalid}}
		return result
	}
	c.waiting[use.ID] = waitingUse{Use: use, arrived: now, result: result}
	c.perform(c.manager.Acquire(now, use))
	return result
}

func (c *controller) release(now time.Time, id string) {
	delete(c.waiting, id)
	c.perform(c.manager.Release(now, id))
}

func (c *controller) reported(now time.Time, report modelrunner.Report) {
	c.perform(c.manager.Reported(now, report))
}

func (c *controller) unreported(now time.Time) { c.perform(c.manager.Unreported(now)) }

func (c *controller) answered(now time.Time, result modelrunner.Result, report *modelrunner.Report) {
	c.perform(c.manager.Answered(now, result, report))
}

// planned takes in a placement from a gateway. One that may be older than what
// an earlier incarnation acted on is not used.
func (c *controller) planned(now time.Time, plan *wire.RunnerPlan) {
	if plan.AsOf < c.minPlan {
		return
	}
	c.perform(c.manager.Identified(now, plan.Instance, plan.BornMillis))
	if plan.Revision > 0 {
		c.perform(c.manager.Planned(now, plan))
	}
}

func (c *controller) startGranted(now time.Time, model string) {
	c.logger.Info("load from the weight store may start", "model", model)
	c.perform(c.manager.StartGranted(now, model))
}

// registered takes in the revision of this incarnation's registration, which is
// its fencing token. A placement as of an earlier revision is not used.
func (c *controller) registered(now time.Time, fence int64) {
	c.minPlan = fence
	c.perform(c.manager.Fenced(now, fence))
}
