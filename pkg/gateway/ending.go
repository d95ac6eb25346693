package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// answersPerSecond bounds the log lines about requests that were answered.
const answersPerSecond = 50

// outcome is how a request ended, as logs and metrics name it.
type outcome string

// The outcomes.
const (
	// outcomeAnswered: the caller has the whole answer of a backend server.
	outcomeAnswered outcome = "answered"
	// outcomeServerFailed: the caller has the backend server's own failure.
	outcomeServerFailed outcome = "server-failed"
	// outcomeNotRun: the caller was told that the request has not run.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown: the caller was told that the request may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeBroken: the answer was broken off after its start.
	outcomeBroken outcome = "broken"
	// outcomeLeft: the caller has gone.
	outcomeLeft outcome = "left"
)

// ending is how a request ended and why.
type ending struct {
	outcome outcome
	// status is zero if no head was written.
	status     int
	cause      string
	retryAfter time.Duration
}

// outcomeOf names what a refusal tells the caller.
func outcomeOf(r refusal) outcome {
	if r.isNotRun() {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// observer writes the log lines and counts the metrics of requests.
type observer struct {
	logger  *slog.Logger
	metrics *metrics.Gateway
	answers *logging.Sampler
}

func newObserver(logger *slog.Logger, counted *metrics.Gateway) *observer {
	return &observer{logger: logger, metrics: counted, answers: logging.NewSampler(answersPerSecond)}
}

// noRoute is the route and the kind of requests that end before theirs is known.
const noRoute = "none"

// refusedEarly notes a request that was refused before it had an exchange.
func (o *observer) refusedEarly(r *http.Request, requestID string, arrived time.Time, configuration int64, why refusal) {
	took := time.Since(arrived)
	o.metrics.RequestDone(noRoute, noRoute, string(outcomeOf(why)), took)
	o.logger.Info("refused early", "request", requestID, "authority", r.Host, "path", rawPath(r), "status", why.status,
		"cause", why.reason, "configuration", configuration, "retry_after_ms", why.retryAfter.Milliseconds(),
		"took_ms", took.Milliseconds())
}

// ended notes the end of an exchange. Lines about answers are sampled.
func (o *observer) ended(x *exchange, end ending) {
	now := time.Now()
	took := now.Sub(x.arrived)
	kind := x.route.Kind.String()
	o.metrics.RequestDone(x.route.Name, kind, string(end.outcome), took)
	if x.answer.started {
		o.metrics.FirstByte(kind, x.first)
	}
	if end.outcome == outcomeAnswered && !o.answers.Allow(now) {
		o.metrics.ResponseNotLogged()
		return
	}
	o.logger.Info("request", "request", x.caller.RequestID, "route", x.route.Name, "kind", kind,
		"outcome", string(end.outcome), "status", end.status, "cause", end.cause,
		"retry_after_ms", end.retryAfter.Milliseconds(), "budget_ms", x.deadline.Sub(x.arrived).Milliseconds(),
		"backend", x.server, "model", x.caller.Model, "adapter", x.caller.Adapter, "sends", x.machine.Sends(),
		"configuration", x.known.configuration, "placement", x.known.placement, "servers_age_ms", x.known.serversAge.Milliseconds(),
		"leased_ms", x.leased.Milliseconds(), "first_ms", x.first.Milliseconds(), "gap_ms", x.answer.longestGap.Milliseconds(),
		"took_ms", took.Milliseconds())
}

// connected counts a connection to a backend server.
func (o *observer) connected(_ string, _ time.Duration, err error) {
	o.metrics.Connect(metrics.ResultOf(err))
}

// reportSkipped logs how many lines about answers were left out.
func (o *observer) reportSkipped() {
	if skipped := o.answers.TakeSkipped(); skipped > 0 {
		o.logger.Info("answers not logged", "count", skipped)
	}
}
