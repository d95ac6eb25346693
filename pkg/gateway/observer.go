package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

const (
	// maxResponseLogsPerSecond limits the log lines on successful requests.
	maxResponseLogsPerSecond = 50
	// maxDropLogsPerSecond limits the log lines on dropped origins of streams.
	maxDropLogsPerSecond = 1
	// maxLimitLogsPerSecond limits the log lines on callers that exceed a limit, and
	// maxRefusalLogsPerSecond those on requests that are refused before processing.
	maxLimitLogsPerSecond   = 5
	maxRefusalLogsPerSecond = 50
)

// outcome is how a request ended, as named in logs and metrics.
type outcome string

// The outcomes.
const (
	// outcomeCompleted: the caller has the complete response of a backend server.
	outcomeCompleted outcome = "answered"
	// outcomeServerFailed: the caller has the backend server's own error response.
	outcomeServerFailed outcome = "server-failed"
	// outcomeNotRun: the refusal states that the request has not run.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown: the refusal states that the request may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeBroken: the response was aborted after its start.
	outcomeBroken outcome = "broken"
	// outcomeCallerLeft: the caller disconnected.
	outcomeCallerLeft outcome = "left"
	// outcomeDrainEnded: this entry stops, and its time to drain was over.
	outcomeDrainEnded outcome = "drain-ended"
	// outcomeLimited: a limit on callers ended the connection.
	outcomeLimited outcome = "limited"
	// outcomePanicked: the handler panicked.
	outcomePanicked outcome = "panicked"
)

// cut is why a caller has no complete response, as named in logs and metrics; empty if it
// has one.
type cut string

// The cuts. That of a limit is cutByLimit and the limit's cause.
const (
	cutCallerLeft   cut = "caller-left"
	cutDrainEnded   cut = "drain-ended"
	cutPanicked     cut = "panicked"
	cutDeadline     cut = "deadline"
	cutServerEnded  cut = "server-ended"
	cutUnconfirmed  cut = "end-unconfirmed"
	cutServerBroke  cut = "server-broke-off"
	cutNoServerLeft cut = "no-server"
	cutByLimit      cut = "limit-"
)

// requestResult is how a request ended and why.
type requestResult struct {
	outcome outcome
	// status is zero if no header was written.
	status     int
	cause      string
	retryAfter time.Duration
	cut        cut
}

// outcomeOf returns the outcome that a refusal reports to the caller.
func outcomeOf(r refusal) outcome {
	if r.isNotRun() {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// observer writes the logs and metrics of requests.
type observer struct {
	logger          *slog.Logger
	metrics         *metrics.Gateway
	responseSampler *logging.Sampler
	// originSampler samples the log lines on dropped origins of streams.
	originSampler *logging.Sampler
	// limitSampler samples the log lines on callers that exceed a limit, refusalSampler
	// those on requests that are refused before processing.
	limitSampler   *logging.Sampler
	refusalSampler *logging.Sampler
}

func newObserver(logger *slog.Logger, gatewayMetrics *metrics.Gateway) *observer {
	return &observer{
		logger:          logger,
		metrics:         gatewayMetrics,
		responseSampler: logging.NewSampler(maxResponseLogsPerSecond),
		originSampler:   logging.NewSampler(maxDropLogsPerSecond),
		limitSampler:    logging.NewSampler(maxLimitLogsPerSecond),
		refusalSampler:  logging.NewSampler(maxRefusalLogsPerSecond),
	}
}

// noRoute stands for the route and kind of requests that end before routing.
const noRoute = "none"

// requestRefused records a request that was refused before it had an exchange.
func (o *observer) requestRefused(r *http.Request, requestID string, arrived time.Time, versions stateVersions, why refusal) {
	elapsed := time.Since(arrived)
	o.metrics.RequestDone(noRoute, noRoute, string(outcomeOf(why)), elapsed)
	if !o.refusalSampler.Allow(time.Now()) {
		return
	}
	o.logger.Info("request refused before processing", "request", requestID, "authority", r.Host, "path", rawPath(r), "status", why.status,
		"cause", why.reason, "configuration", versions.configuration, "configuration_age_ms", loggedAge(versions.configurationAge),
		"retry_after_ms", why.retryAfter.Milliseconds(),
		"took_ms", elapsed.Milliseconds())
}

// endIsNotable reports whether the line on a request is kept even if it succeeded: if
// its response had no framing, or resumed a stream.
func (x *exchange) endIsNotable() bool {
	return x.progress.framing == forward.FramingConnection || x.progress.responses > 1 || x.caller.LastEventID != ""
}

// endMayBeLeftOut reports whether the line on a request may be left out as one of many.
func (x *exchange) endMayBeLeftOut(end requestResult, stop stopTimes) bool {
	return end.outcome == outcomeCompleted && !isPromise(end.status) && !x.endIsNotable() && !stop.wasInFlight()
}

// requestFinished records the end of an exchange. Lines on successful requests are
// sampled, unless their end is notable or their status is a promise.
func (o *observer) requestFinished(x *exchange, end requestResult) {
	now := time.Now()
	elapsed := now.Sub(x.arrived)
	kind := x.route.Kind.String()
	o.metrics.RequestDone(x.route.Name, kind, string(end.outcome), elapsed)
	if x.organisation != nil {
		o.metrics.OrganisationRequest(x.organisation.Name, string(end.outcome))
	}
	if x.progress.responses > 0 {
		o.metrics.FirstByte(kind, x.timeToFirstByte)
		o.metrics.ResponseEnd(x.progress.framing.String(), string(end.outcome))
	}
	if end.cut != "" {
		o.metrics.ResponseCut(string(end.cut))
	}
	stop := x.handler.stop.timesOf(x.arrived, now)
	if x.endMayBeLeftOut(end, stop) && !o.responseSampler.Allow(now) {
		o.metrics.ResponseNotLogged()
		return
	}
	o.logger.Info("request", "request", x.caller.RequestID, "route", x.route.Name, "kind", kind, "organisation", nameOf(x.organisation), "priority", x.priority(),
		"outcome", string(end.outcome), "status", end.status, "cause", end.cause, "cut", string(end.cut), "stopping_ms", loggedAge(stop.since), "age_at_stop_ms", loggedAge(stop.requestAge),
		"retry_after_ms", end.retryAfter.Milliseconds(), "budget_ms", x.deadline.Sub(x.arrived).Milliseconds(),
		"backend", x.lastServer, "software", x.lastSoftware, "resumes", x.caller.Resumes, "resumed_after", x.caller.LastEventID, "model", x.caller.Model, "adapter", x.caller.Adapter, "sends", x.machine.Sends(), "may_have_run", x.machine.MayHaveRun(), "rate_tokens", x.rateTokens,
		"configuration", x.versions.configuration, "configuration_age_ms", loggedAge(x.versions.configurationAge), "placement", x.versions.placement, "servers_age_ms", loggedAge(x.versions.registrationsAge),
		"responses", x.progress.responses, "framing", x.progress.framing.String(), "last_event", x.progress.events.LastID(), "events", x.progress.events.Count(), "bytes", x.response.written, "end", x.progress.evidence.String(),
		"leased_ms", x.leaseWait.Milliseconds(), "first_ms", x.timeToFirstByte.Milliseconds(), "gap_ms", x.progress.longestGap.Milliseconds(), "event_ms", x.progress.eventInterval().Milliseconds(),
		"took_ms", elapsed.Milliseconds())
}

// originDropped records that the origin of a stream was dropped, as there are too many.
func (o *observer) originDropped(now time.Time) {
	o.metrics.OriginDropped()
	if o.originSampler.Allow(now) {
		o.logger.Warn("origin of a stream dropped, too many")
	}
}

// connected counts a connection to a backend server.
func (o *observer) connected(_ string, _ time.Duration, err error) {
	o.metrics.Connect(metrics.ResultOf(err))
}

// logSkipped logs how many lines on requests were left out.
func (o *observer) logSkipped() {
	if skipped := o.responseSampler.TakeSkipped(); skipped > 0 {
		o.logger.Info("responses not logged", "count", skipped)
	}
	if skipped := o.refusalSampler.TakeSkipped(); skipped > 0 {
		o.logger.Info("refusals not logged", "count", skipped)
	}
	if skipped := o.limitSampler.TakeSkipped(); skipped > 0 {
		o.logger.Info("exceeded limits not logged", "count", skipped)
	}
}
