package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
)

// isUnanswered reports whether the caller has neither a response nor the start of one that
// its server broke off.
func (r requestResult) isUnanswered() bool {
	switch r.outcome {
	case outcomeCallerLeft, outcomeDrainEnded, outcomeLimited, outcomePanicked:
		return true
	default:
		return false
	}
}

// conclude records why a request has ended without a result, and has its end recorded once
// its response was handed to the kernel.
func (x *exchange) conclude() {
	if x.result.outcome == "" && x.wasCutOff() {
		x.refuseCutOff()
	}
	if x.result.outcome == "" {
		x.result = resultWithoutResponse(context.Cause(x.request.Context()), limitedConnection(x.request).EndedBy())
	}
	x.response.record = func(writeErr error) {
		result := x.result.afterWrite(writeErr, limitedConnection(x.request).EndedBy())
		x.handler.observer.requestFinished(x, result)
	}
}

// wasCutOff reports whether the request was ended as the time to drain is over.
func (x *exchange) wasCutOff() bool {
	return errors.Is(context.Cause(x.request.Context()), errDrainEnded)
}

// refuseCutOff responds to a request that was cut off, unless the caller has a part of its
// response.
func (x *exchange) refuseCutOff() {
	x.response.retract()
	if !x.response.started() {
		x.fail(x.cutOffRefusal())
	}
}

// cutOffRefusal is the response to a request that was cut off before its response started.
func (x *exchange) cutOffRefusal() refusal {
	if x.machine.Sends() > 0 {
		return refusal{status: http.StatusBadGateway, reason: "entry stopped"}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "entry is stopping", retryAfter: stoppingRetryAfter}
}

// resultWithoutResponse returns the result of a request whose handler returned without a response.
// cause is why the request's context has ended, nil if it hasn't. limit is the limit that has
// ended the connection, if one has.
func resultWithoutResponse(cause error, limit callerlimits.Cause) requestResult {
	switch {
	case limit != "":
		return requestResult{outcome: outcomeLimited, cause: "limit on callers: " + string(limit), cut: cutByLimit + cut(limit)}
	case errors.Is(cause, errDrainEnded):
		return requestResult{outcome: outcomeDrainEnded, cause: errDrainEnded.Error(), cut: cutDrainEnded}
	case cause != nil:
		return requestResult{outcome: outcomeCallerLeft, cut: cutCallerLeft}
	default:
		return requestResult{outcome: outcomePanicked, cut: cutPanicked}
	}
}

// afterWrite returns the result of a request once its response has ended. A response of which
// a write failed didn't reach the kernel whole: this entry had closed the connection, or the
// caller.
func (r requestResult) afterWrite(writeErr error, limit callerlimits.Cause) requestResult {
	if writeErr == nil || r.cut != "" {
		return r
	}
	cause := context.Canceled
	if errors.Is(writeErr, net.ErrClosed) {
		cause = errDrainEnded
	}
	result := resultWithoutResponse(cause, limit)
	result.status = r.status
	return result
}
