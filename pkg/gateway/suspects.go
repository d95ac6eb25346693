package gateway

import (
	"context"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
)

// startGrace is the time after the first event of a stream from which the server has
// survived the start of the response.
const startGrace = 500 * time.Millisecond

// fingerprints returns the fingerprints of a request; none before the site's secret
// is known.
func (h *handler) fingerprints(r *http.Request, caller forward.RequestInfo, body []byte) quarantine.Fingerprints {
	fingerprinter := h.fingerprinter.Load()
	if fingerprinter == nil {
		return quarantine.Fingerprints{}
	}
	fingerprints := quarantine.Fingerprints{
		Parts: make([]quarantine.Fingerprint, 0, len(caller.PromptParts)),
		Whole: fingerprinter.Request(caller.CallerKey, r.Method, r.Host, target(r), body),
	}
	for _, part := range caller.PromptParts {
		fingerprints.Parts = append(fingerprints.Parts, fingerprinter.PromptPart(part))
	}
	return fingerprints
}

// hasStarted reports whether a server has survived the start of the response.
func (x *exchange) hasStarted(now time.Time) bool {
	first := x.progress.firstEvent
	return !first.IsZero() && now.Sub(first) >= startGrace
}

// hasBegun reports whether the server had just begun the response. Of one that isn't a
// stream nothing is seen before its end.
func (x *exchange) hasBegun() bool {
	return x.route.Kind != fleet.Streaming || (x.headerReceived && x.progress.firstEvent.IsZero())
}

// recordCrashSuspect records a request that may have crashed its server: one that
// failed with its connection, before or just after the start of the response.
func (x *exchange) recordCrashSuspect(ctx context.Context, target *server, event attempt.Event) {
	now := time.Now()
	if !event.IsConnectionLost() || ctx.Err() != nil || x.hasStarted(now) {
		return
	}
	fingerprints := x.fingerprints.All()
	if len(fingerprints) == 0 {
		return
	}
	x.handler.crashes.requestFailed(now, target, suspectRequest{
		requestID:    x.caller.RequestID,
		fingerprints: fingerprints,
		begun:        x.hasBegun(),
	})
}

// recordStart records that a server has survived the start of the response, so that
// none of the request's fingerprints crashes servers.
func (x *exchange) recordStart(now time.Time) {
	if x.startReported {
		return
	}
	x.startReported = true
	startedAt := x.progress.firstEvent
	if startedAt.IsZero() {
		startedAt = now
	}
	x.handler.quarantine.recordStart(now, startedAt, x.service, x.fingerprints)
}

// refuseQuarantined refuses a request that would crash its server, and reports whether
// it did.
func (x *exchange) refuseQuarantined() bool {
	now := time.Now()
	block, ok := x.handler.quarantine.check(now, x.fingerprints.All())
	if !ok {
		return false
	}
	x.handler.observer.metrics.Quarantined()
	x.logger.Info("request refused, requests like it crash their servers", "service", x.service, "signature", block.Signature,
		"block_age_ms", block.Age.Milliseconds(), "remaining_ms", block.Remaining.Milliseconds(), "sends", x.machine.Sends(),
		"may_have_run", x.machine.MayHaveRun())
	if x.machine.MayHaveRun() {
		x.fail(refusal{status: http.StatusBadGateway, reason: crashReason})
		return true
	}
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: crashReason, retryAfter: max(block.Remaining, noBackendRetryAfter)})
	return true
}

// crashReason is the reason of a refusal because of a block.
const crashReason = "requests like this one crash backend servers"
