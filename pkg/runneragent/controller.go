package runneragent

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// leaseOutcome is the outcome of a lease request: a grant, or a refusal.
type leaseOutcome struct {
	refused *residency.Refuse
}

// waitingLease is a lease request that waits for its outcome.
type waitingLease struct {
	residency.Lease
	// stream is nil if the caller can't resume the response.
	stream  *wire.StreamAttempt
	arrived time.Time
	result  chan leaseOutcome
}

// controller carries out the decisions of package residency. Its methods run on the
// event loop.
type controller struct {
	loop    *eventloop.Loop
	logger  *slog.Logger
	manager *residency.Manager
	metrics *metrics.Runner
	// grantSampler samples the log lines on leases that were granted immediately.
	grantSampler *logging.Sampler
	worker       *worker
	// waiting holds the lease requests without an outcome, by request ID.
	waiting map[string]waitingLease
	// unverified holds those of them that wait for a report.
	unverified []waitingLease
	// minAsOf is the store revision below which a placement may be older than the
	// one that an earlier incarnation acted on.
	minAsOf int64
	// asOf is the store revision up to which the placement was known to be the
	// newest, placementReceivedAt is when it arrived, reportedAt when the runner
	// last reported.
	asOf                int64
	placementReceivedAt time.Time
	reportedAt          time.Time
	// wakeScheduled is set while a timer for the manager is running.
	wakeScheduled bool
	// engine is the engine description from the newest configuration; nil before
	// it is known.
	engine *wire.Engine
	// limit is the runner's rate limit as last logged.
	limit ratelimit.Limit
	// detectors decide which requests crash the servers of a service, by service.
	detectors map[string]*quarantine.Detector
	// quarantine is what they have decided, published at quarantinedAt.
	quarantine    *wire.Quarantine
	quarantinedAt time.Time
	// origins holds where the streams of the runner's leases began, and those handed over
	// by gateways. originSampler samples the log lines on those that are dropped.
	origins       resumption.Records
	originSampler *logging.Sampler
	// statusThrottle limits the rate of statuses given to subscribers.
	statusThrottle eventloop.Throttle
	subscribers    subscribers
}

func newController(manager *residency.Manager, runnerMetrics *metrics.Runner, logger *slog.Logger) *controller {
	return &controller{
		loop:           eventloop.New(),
		logger:         logger,
		manager:        manager,
		metrics:        runnerMetrics,
		grantSampler:   logging.NewSampler(maxGrantLogsPerSecond),
		originSampler:  logging.NewSampler(maxDropLogsPerSecond),
		waiting:        make(map[string]waitingLease),
		detectors:      make(map[string]*quarantine.Detector),
		quarantine:     &wire.Quarantine{Instance: rand.Uint64()},
		statusThrottle: eventloop.Throttle{MinInterval: minStatusInterval},
	}
}

// perform carries out the manager's actions.
func (c *controller) perform(actions []residency.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case residency.Grant:
			c.deliverOutcome(a.ID, leaseOutcome{})
		case residency.Refuse:
			refused := a
			c.deliverOutcome(a.ID, leaseOutcome{refused: &refused})
		case residency.SendOrder:
			c.worker.enqueue(a.Order)
		case residency.OrderCompleted:
			c.recordOrder(a)
		}
	}
	c.wakeAt(c.manager.NextWake(time.Now()))
	c.publish(time.Now())
	c.worker.setPollInterval(c.pollInterval())
}

// publish gives the subscribers the current status, immediately or after a minimum
// interval, so that changes that occur together need only one status.
func (c *controller) publish(now time.Time) { c.statusThrottle.Do(c.loop, now, c.publishNow) }

func (c *controller) publishNow() {
	now := time.Now()
	c.statusThrottle.Ran(now)
	c.subscribers.publish(now, c.status(now))
}

// status returns the status for gateways.
func (c *controller) status(now time.Time) *wire.RunnerStatus {
	status := c.manager.Status(now)
	status.Quarantine = c.quarantine
	return status
}

// wakeAt schedules a tick of the manager; the zero time schedules none.
func (c *controller) wakeAt(at time.Time) {
	if at.IsZero() || c.wakeScheduled {
		return
	}
	c.wakeScheduled = true
	time.AfterFunc(time.Until(at), func() {
		c.loop.Post(func() {
			c.wakeScheduled = false
			c.perform(c.manager.Tick(time.Now()))
		})
	})
}

func (c *controller) deliverOutcome(id string, result leaseOutcome) {
	pending, ok := c.waiting[id]
	if !ok {
		return
	}
	delete(c.waiting, id)
	waited := time.Since(pending.arrived)
	if result.refused != nil {
		c.metrics.ObserveLease(string(result.refused.Reason), waited)
		c.logRefusal(pending, result.refused, waited)
	} else {
		c.metrics.ObserveLease(leaseGranted, waited)
		c.logGrant(pending, waited)
		c.recordOrigin(time.Now(), pending)
	}
	pending.result <- result
}

const (
	// leaseGranted is the metric's result of a granted lease.
	leaseGranted = "granted"
	// longWait is the wait from which every grant is logged.
	longWait = 100 * time.Millisecond
	// maxGrantLogsPerSecond limits the log lines on other grants.
	maxGrantLogsPerSecond = 20
	// maxDropLogsPerSecond limits the log lines on dropped origins of streams.
	maxDropLogsPerSecond = 1
)

// logGrant logs a granted lease. Grants after a short wait are sampled.
func (c *controller) logGrant(pending waitingLease, waited time.Duration) {
	now := time.Now()
	if waited < longWait && !c.grantSampler.Allow(now) {
		return
	}
	c.logger.Info("lease granted", "request", pending.ID, "model", pending.Model, "adapter", pending.Adapter,
		"waited_ms", waited.Milliseconds(), "plan", c.manager.PlacementRevision(), "report_age_ms", now.Sub(c.reportedAt).Milliseconds(),
		"state", c.manager.Explain(now, pending.Lease))
}

// recordOrder records the metrics and the log line of a completed or failed order.
func (c *controller) recordOrder(change residency.OrderCompleted) {
	result := metrics.ResultOK
	if !change.Succeeded {
		result = metrics.ResultError
	}
	if change.Order.Operation == modelrunner.Load {
		c.metrics.Load(string(change.Tier), result, change.Took)
	}
	c.logger.Info("order completed", "belief", "model:"+change.Order.Model, "operation", change.Order.Operation.String(), "model", change.Order.Model,
		"source", change.Tier, "done", change.Succeeded, "took_ms", change.Took.Milliseconds())
}

// logRefusal logs a refused lease with the state that caused the refusal.
func (c *controller) logRefusal(pending waitingLease, refused *residency.Refuse, waited time.Duration) {
	now := time.Now()
	c.logger.Info("lease refused by agent", "request", pending.ID, "model", pending.Model, "adapter", pending.Adapter,
		"reason", refused.Reason, "retry_after_ms", refused.RetryAfter.Milliseconds(), "waited_ms", waited.Milliseconds(),
		"plan", c.manager.PlacementRevision(), "report_age_ms", now.Sub(c.reportedAt).Milliseconds(),
		"state", c.manager.Explain(now, pending.Lease))
}

// acquire requests a lease and returns the channel that receives its outcome. stream is
// nil if the caller can't resume the response.
func (c *controller) acquire(now time.Time, lease residency.Lease, stream *wire.StreamAttempt) <-chan leaseOutcome {
	result := make(chan leaseOutcome, 1)
	if _, ok := c.waiting[lease.ID]; ok {
		result <- leaseOutcome{refused: &residency.Refuse{ID: lease.ID, Reason: wire.ReasonInvalid}}
		return result
	}
	pending := waitingLease{Lease: lease, stream: stream, arrived: now, result: result}
	c.waiting[lease.ID] = pending
	if stream != nil && stream.Begun {
		c.awaitReport(pending)
		return result
	}
	c.perform(c.manager.Acquire(now, lease))
	return result
}

func (c *controller) release(now time.Time, id string) {
	delete(c.waiting, id)
	c.perform(c.manager.Release(now, id))
}

// reportReceived handles a report of the runner, which it was asked for at requestedAt.
func (c *controller) reportReceived(now, requestedAt time.Time, report modelrunner.Report) {
	c.reportedAt = now
	if report.InvalidLimit != "" {
		c.logger.Warn("rate limit of runner unreadable, ignoring it", "value", report.InvalidLimit)
	}
	c.perform(c.manager.ReportReceived(now, report))
	c.acquireVerified(now, requestedAt)
	c.recordLimit("report")
}

// limitObserved applies the rate limit that the response to a request named.
func (c *controller) limitObserved(now time.Time, id string, limit ratelimit.Limit) {
	c.perform(c.manager.LimitObserved(now, id, limit))
	c.recordLimit("response")
}

// recordLimit logs a change of the runner's rate limit. source is where it was
// named.
func (c *controller) recordLimit(source string) {
	before, after := c.limit, c.manager.Limit()
	if before == after {
		return
	}
	c.limit = after
	c.logger.Info("rate limit of runner changed", "belief", "limit", "source", source,
		"limited", after.Named, "limit_per_s", after.PerSecond, "limited_before", before.Named, "limit_before_per_s", before.PerSecond)
}

// reportFailed handles a failed call for the runner's report. notRunning is set if no
// process accepts connections there.
func (c *controller) reportFailed(now time.Time, notRunning bool) {
	c.refuseUnverified()
	c.perform(c.manager.ReportFailed(now, notRunning))
}

func (c *controller) orderResponseReceived(now time.Time, result modelrunner.Result, report *modelrunner.Report) {
	c.perform(c.manager.OrderResponseReceived(now, result, report))
}

// applyPlacement applies a placement from a gateway. It is ignored if it may be
// older than the one that an earlier incarnation acted on.
func (c *controller) applyPlacement(now time.Time, placement *wire.RunnerPlacement) {
	if placement.Engine != nil && (c.engine == nil || placement.Engine.Version >= c.engine.Version) {
		c.engine = placement.Engine
	}
	if placement.AsOf < c.minAsOf {
		return
	}
	if placement.Revision > c.manager.PlacementRevision() {
		c.logger.Info("placement activated", "belief", "placement", "revision", placement.Revision, "as_of", placement.AsOf, "instance", placement.Instance, "permits", len(placement.Permits))
	}
	c.asOf = max(c.asOf, placement.AsOf)
	c.placementReceivedAt = now
	c.perform(c.manager.UpdateInstance(now, placement.Instance, placement.StartedAtMillis))
	if placement.Revision > 0 && c.engine != nil {
		c.perform(c.manager.UpdatePlacement(now, residency.NewPlacement(c.engine, placement)))
	}
}

func (c *controller) loadGranted(now time.Time, model string) {
	c.logger.Info("load grant received", "model", model)
	c.perform(c.manager.LoadGranted(now, model))
}

// setFence sets the fencing token, the revision of this incarnation's registration.
// Placements as of an earlier revision are ignored.
func (c *controller) setFence(now time.Time, fence int64) {
	c.minAsOf = fence
	c.perform(c.manager.UpdateFence(now, fence))
}
