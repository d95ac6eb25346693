package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// failNoBackend ends a request for which there is no server.
func (x *exchange) failNoBackend(ctx context.Context) {
	if x.callerLeft() {
		return
	}
	x.logger.Info("no backend server available for the request", "service", x.service, "model", x.caller.Model, "required_software", x.software,
		"tried", len(x.excluded), "started", x.response.started(), "servers", x.selection(time.Now()).describeShortage())
	if x.machine.MayHaveRun() {
		x.fail(x.unknownRefusal(ctx))
		return
	}
	retryAfter := noBackendRetryAfter
	if x.retryAfter > 0 {
		retryAfter = x.retryAfter
	}
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: "no backend server", retryAfter: retryAfter})
}

// refusalRetryAfter is the Retry-After for a request that all tried servers
// rejected: the minimum if there are other servers, otherwise the time until one
// accepts requests again.
func (x *exchange) refusalRetryAfter(now time.Time) time.Duration {
	sel := x.selection(now)
	sel.excluded = nil
	if sel.choose() != nil {
		return noBackendRetryAfter
	}
	return max(noBackendRetryAfter, sel.availableAt().Sub(now))
}

func (x *exchange) timeoutRefusal() refusal {
	if x.machine.MayHaveRun() {
		return refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "no server in time", retryAfter: noBackendRetryAfter}
}

func (x *exchange) unknownRefusal(ctx context.Context) refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return refusal{status: http.StatusBadGateway, reason: "outcome unknown"}
}

// fail sends the gateway's own final response, or leaves one that has started
// incomplete.
func (x *exchange) fail(r refusal) {
	if err := x.response.refuse(r); err != nil {
		x.abortResponse(r.reason)
		return
	}
	x.result = requestResult{outcome: outcomeOf(r), status: r.status, cause: r.reason, retryAfter: r.retryAfter}
}

// abortResponse records that a started response remains incomplete.
func (x *exchange) abortResponse(cause string) {
	why := cutNoServerLeft
	if x.isOverdue() {
		why = cutDeadline
	}
	x.result = requestResult{outcome: outcomeBroken, cause: cause, cut: why}
}

// isOverdue reports whether the request's deadline is over.
func (x *exchange) isOverdue() bool { return !time.Now().Before(x.deadline) }

// cutResponse records that a started response remains incomplete since its server's broke
// off, or since nothing shows that it didn't.
func (x *exchange) cutResponse(ctx context.Context) {
	result := requestResult{outcome: outcomeBroken, cause: "stream broke off", cut: cutServerBroke}
	switch {
	case errors.Is(x.sendError, errServerEnded):
		result.cut = cutServerEnded
	case errors.Is(x.sendError, errEndUnconfirmed):
		result.cut = cutUnconfirmed
	case ctx.Err() != nil, x.isOverdue():
		result.cut = cutDeadline
	}
	x.result = result
}
