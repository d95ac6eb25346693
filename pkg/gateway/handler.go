package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// defaultTimeout is the time for a response if neither the caller nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody limits the body size if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// configurationTimeout limits the wait for the first configuration; a request
	// waits at most its own timeout divided by configurationTimeoutDivisor.
	configurationTimeout        = 500 * time.Millisecond
	configurationTimeoutDivisor = 8
	// unconfiguredRetryAfter is the Retry-After of an entry that has no
	// configuration, or knows of a newer one; it is short since the load balancer
	// sends the caller to another entry.
	unconfiguredRetryAfter = 50 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping entry; it is short since the
	// caller's next connection is to another entry.
	stoppingRetryAfter = 50 * time.Millisecond
)

// handler serves callers' requests.
type handler struct {
	control     *control
	headerCodec forward.HeaderCodec
	pool        *forward.Pool
	tracker     *backends.Tracker
	// gate records which servers currently accept no requests from this host.
	gate *backpressure.Gate
	// limits holds the rate limits that servers name to this host.
	limits *ratelimit.Registry
	// limiters requests the rate tokens for servers with a limit.
	limiters *limiterClient
	// quotas charges requests to the quotas of organisations.
	quotas *quotaClient
	// crashes finds out which failed requests were on a server that crashed.
	crashes *crashObserver
	// quarantine refuses the requests that crash servers.
	quarantine *quarantineClient
	// origins are those of the streams that this entry has served.
	origins streamOrigins
	// fingerprinter is nil until the site's secret is known.
	fingerprinter atomic.Pointer[quarantine.Fingerprinter]
	// node is nil until the site's secret is known.
	node     atomic.Pointer[wire.Node]
	budget   *attempt.Budget
	domain   string
	observer *observer
	// inFlight counts requests until the last byte of their response.
	inFlight atomic.Int64
	// closing makes connections close after the current response.
	closing atomic.Bool
	// stop is how far the entry has got in stopping.
	stop stopState
	// drainEnd is when a stopping entry cuts off the requests that are left; nil while
	// it accepts new connections.
	drainEnd atomic.Pointer[time.Time]
	// queued ends when a stopping entry refuses the requests that still wait for a
	// runner.
	queued       context.Context
	cancelQueued context.CancelFunc
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	response := newCallerResponse(w, r, h.observer.logger)
	h.inFlight.Add(1)
	ended := func(writeErr error) {
		defer h.inFlight.Add(-1)
		response.delivered(writeErr)
	}
	if connection := limitedConnection(r); connection != nil {
		connection.OnResponseEnd(ended)
	} else {
		defer ended(nil)
	}
	h.respond(response, r)
	response.end()
}

// logPanic logs a panic of the handler and has the caller's connection closed.
func (h *handler) logPanic(requestID string) {
	cause := recover()
	if cause == nil {
		return
	}
	h.observer.logger.Error("request handler panicked", "request", requestID, "cause", cause, "stack", string(debug.Stack()))
	panic(http.ErrAbortHandler)
}

// respond handles a request as far as possible. What it leaves incomplete is cut off.
func (h *handler) respond(response *callerResponse, r *http.Request) {
	x, failure := h.accept(response, r, time.Now())
	if failure != nil {
		limitUnread(response.writer, r)
		// Nothing was sent before, so this can't fail.
		_ = response.refuse(*failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer h.logPanic(x.caller.RequestID)
	x.run(ctx)
}

// accept finds a request's route and reads the request.
func (h *handler) accept(response *callerResponse, r *http.Request, arrived time.Time) (*exchange, *refusal) {
	caller, err := h.headerCodec.DecodeRequest(r.Header)
	h.awaitConfiguration(r.Context(), caller.Budget)
	current := h.control.current()
	versions := stateVersions{configurationAge: neverConfirmed}
	reject := func(why refusal) (*exchange, *refusal) {
		h.observer.requestRefused(r, caller.RequestID, arrived, versions, why)
		return nil, &why
	}
	if current.table == nil {
		return reject(refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: unconfiguredRetryAfter})
	}
	versions.configuration = current.table.Configuration().Version
	versions.configurationAge = h.control.freshness.age(arrived, metrics.ViewConfiguration)
	route := current.table.Match(r.Host, rawPath(r))
	if route == nil {
		return reject(h.refusalByConfiguration(versions.configuration, refusal{status: http.StatusNotFound, reason: "no route"}))
	}
	who, failure := h.identify(current.table, route, caller)
	if failure != nil {
		return reject(*failure)
	}
	if err != nil {
		return reject(refusal{status: http.StatusBadRequest, reason: err.Error()})
	}
	body, failure := readBody(response.writer, r, current.table.Configuration().Limits, arrived.Add(requestTimeout(route, caller)))
	if failure != nil {
		return reject(*failure)
	}
	h.quarantine.awaitBlocks(r.Context(), caller.Budget)
	x := h.newExchange(response, r, route, caller, body, arrived)
	x.identity = who
	if end := h.drainEnd.Load(); end != nil && x.deadline.After(*end) {
		return reject(refusal{status: http.StatusServiceUnavailable, reason: "entry is stopping", retryAfter: stoppingRetryAfter})
	}
	if failure := x.chargeQuota(r.Context(), versions.configuration); failure != nil {
		return reject(*failure)
	}
	return x, nil
}

// refusalByConfiguration returns the refusal of a request that a version of the
// configuration doesn't allow: final, or for a time if a newer version is known, which may
// allow it and is about to be read.
func (h *handler) refusalByConfiguration(version int64, final refusal) refusal {
	if h.control.reportedVersion.Load() > version {
		return refusal{status: http.StatusServiceUnavailable, reason: "configuration out of date", retryAfter: unconfiguredRetryAfter}
	}
	return final
}

// awaitConfiguration delays a request to an entry that has just started until the
// configuration is available or a timeout has passed.
func (h *handler) awaitConfiguration(ctx context.Context, callerTimeout time.Duration) {
	if h.control.current().table != nil {
		return
	}
	wait := configurationTimeout
	if callerTimeout > 0 {
		wait = min(wait, callerTimeout/configurationTimeoutDivisor)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := h.control.changes()
		if h.control.current().table != nil {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// rawPath is the path as sent by the caller, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// target is the request target in origin form.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
