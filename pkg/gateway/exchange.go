package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/resumption"
)

// noBackendRetryAfter is the Retry-After of a refusal for lack of a server.
const noBackendRetryAfter = 500 * time.Millisecond

// exchange handles one request through all its sends to backend servers.
type exchange struct {
	handler  *handler
	response *callerResponse
	request  *http.Request
	route    *fleet.Route
	caller   forward.RequestInfo
	identity
	// outgoing is the request as it is sent to backend servers.
	outgoing *forward.Request
	arrived  time.Time
	deadline time.Time
	service  string
	// software is the version of the servers' software that the request must go to; empty
	// for any.
	software string
	// stream is the ID of the stream that the request begins or resumes; empty if its
	// response can't be resumed. origin is where it began, as recorded with the first event
	// of this response; nil before.
	stream string
	origin *resumption.Origin
	// leaseRequests counts the requests for leases that named the stream. lease is that of
	// the last send; nil if it needs none.
	leaseRequests int
	lease         *lease
	// unwatchLease ends the watch of the lease; nil if it isn't watched.
	unwatchLease func() bool
	machine      *attempt.Machine
	logger       *slog.Logger
	// excluded holds the IDs of the servers that must not be tried again.
	excluded []string
	// failedAt holds the IDs of those of them to which the request was sent.
	failedAt []string
	// lastFailure is when the last send failed.
	lastFailure time.Time
	// rejectedBy holds the IDs of the servers that rejected the request. A
	// rejection may be due to a model evicted just before, so each server is
	// tried once more.
	rejectedBy []string
	// switches counts how often the request switched to a better runner.
	switches int
	// rateTokens counts the rate tokens that the request was granted.
	rateTokens int
	// quotaCharged is what the request was charged to its organisation's quota.
	quotaCharged float64
	// leaseWait is the time until the lease of the model was granted,
	// timeToFirstByte the time until the response header was sent to the caller.
	leaseWait       time.Duration
	timeToFirstByte time.Duration
	// declined is set if an agent reported that its runner can't serve the
	// request in time.
	declined bool
	// countedAsDemand is set once an agent has counted the request as demand.
	countedAsDemand bool
	// responseLatency is the time from the last send to its response header; zero
	// if there was none.
	responseLatency time.Duration
	// lastServer is the server of the last send, lastSoftware the version of its software.
	lastServer   string
	lastSoftware string
	// lastAgent is the agent of the server of the last send; empty if it has none.
	lastAgent string
	// retryAfter is the last retry delay named by an agent.
	retryAfter time.Duration
	// watch shows whether the server of a response without framing still runs; nil if
	// nothing does.
	watch *forward.Watch
	// progress is the part of the response sent to the caller so far.
	progress progress
	// sendError is the error of the last send.
	sendError error
	// versions are the versions of the state at the last choice of a server.
	versions stateVersions
	// fingerprints are what the request may have in common with others that crash
	// their servers.
	fingerprints quarantine.Fingerprints
	// headerReceived is set once the last send has a response header.
	headerReceived bool
	// startReported is set once the start of the response was recorded.
	startReported bool
	// result is how the request ended.
	result requestResult
}

// stateVersions are the versions and the age of the state that a decision used.
type stateVersions struct {
	// configuration is the version, placement the revision.
	configuration int64
	placement     int64
	// configurationAge is the time since the configuration was last confirmed to be the
	// newest one.
	configurationAge time.Duration
	// registrationsAge is the time since the registrations of the backend servers
	// were last confirmed.
	registrationsAge time.Duration
}

// requestTimeout returns the time for a request of a route.
func requestTimeout(route *fleet.Route, caller forward.RequestInfo) time.Duration {
	timeout := caller.Budget
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

func (h *handler) newExchange(response *callerResponse, r *http.Request, route *fleet.Route, caller forward.RequestInfo, body []byte, arrived time.Time) *exchange {
	x := &exchange{
		handler:  h,
		response: response,
		request:  r,
		route:    route,
		caller:   caller,
		outgoing: &forward.Request{
			ID:     caller.RequestID,
			Method: r.Method,
			Target: target(r),
			Host:   r.Host,
			Body:   body,
		},
		arrived:  arrived,
		deadline: arrived.Add(requestTimeout(route, caller)),
		service:  pickDestination(route, rand.Float64()),
		logger:   h.observer.logger.With("request", caller.RequestID, "route", route.Name),

		fingerprints: h.fingerprints(r, caller, body),
	}
	x.stream = streamID(route, caller.RequestID, caller.LastEventID, caller.Resumes)
	x.machine = x.newMachine()
	return x
}

// newMachine returns the retry state machine of a request that has not been sent yet.
func (x *exchange) newMachine() *attempt.Machine {
	return attempt.New(attempt.Request{
		Service:    x.service,
		Idempotent: x.route.Idempotent(),
		Resumable:  x.route.Kind == fleet.Streaming && x.route.Resumable,
		MaxRuns:    x.route.MaxAttempts,
		Deadline:   x.deadline,
	}, x.handler.budget)
}

// pickDestination chooses a service by the destinations' weights; at is a number
// from 0 to 1.
func pickDestination(route *fleet.Route, at float64) string {
	total := 0
	for _, destination := range route.Destinations {
		total += max(destination.Weight, 0)
	}
	left := at * float64(total)
	for _, destination := range route.Destinations {
		left -= float64(max(destination.Weight, 0))
		if left < 0 {
			return destination.Service
		}
	}
	return route.Destinations[len(route.Destinations)-1].Service
}

// run sends the request until there is a final response.
func (x *exchange) run(ctx context.Context) {
	defer x.handOverAtEnd()
	defer func() { x.returnQuota(time.Now()) }()
	defer x.conclude()
	if !x.resumeStream(ctx) {
		return
	}
	for {
		if x.refuseQuarantined() {
			return
		}
		target, granted, ok := x.acquireServer(ctx)
		if !ok {
			x.failNoBackend(ctx)
			return
		}
		// The block may have come while the request waited.
		if x.refuseQuarantined() {
			granted.release(false, 0)
			return
		}
		x.lease = granted
		event, response := x.send(ctx, target)
		if response != nil {
			x.reportLimit(target, granted, response)
		}
		if response != nil && event == nil {
			event = x.forwardResponse(ctx, target, response)
			response = nil
		}
		if event != nil {
			x.recordCrashSuspect(ctx, target, *event)
		}
		x.endLeaseWatch()
		granted.setBegun(x.hasEvents())
		granted.setEventInterval(x.progress.eventInterval())
		granted.release(event != nil && event.IsFailure() && !x.callerLeft(), x.responseLatency)
		if event == nil || x.handleFailure(ctx, target, *event, response) {
			return
		}
	}
}

// handleFailure acts on a failed send and reports whether the request has ended.
// response is the server's own error response, if there is one.
func (x *exchange) handleFailure(ctx context.Context, backend *server, event attempt.Event, response *forward.Response) bool {
	if x.callerLeft() {
		if response != nil {
			response.Close()
		}
		return true
	}
	if event != attempt.NotRun || x.caller.Model == "" || slices.Contains(x.rejectedBy, backend.ID) {
		x.excluded = append(x.excluded, backend.ID)
		x.failedAt = append(x.failedAt, backend.ID)
		x.lastFailure = time.Now()
	}
	x.rejectedBy = append(x.rejectedBy, backend.ID)
	decision := x.machine.Step(time.Now(), event)
	x.handler.observer.metrics.RetryDecision(decision.String())
	x.logAttemptFailed(backend, event, decision, response)
	if decision == attempt.ForwardFailure && response != nil && x.isFalsePromise(response) {
		response.Close()
		x.fail(x.unknownRefusal(ctx))
		return true
	}
	if decision == attempt.ForwardFailure && response != nil {
		x.forwardFailure(ctx, backend, response)
		return true
	}
	if response != nil {
		discard(response)
	}
	switch decision {
	case attempt.RetryElsewhere:
		if ctx.Err() != nil {
			x.fail(x.timeoutRefusal())
			return true
		}
		x.prepareResume()
		return false
	case attempt.RefuseNotRun:
		x.fail(refusal{status: http.StatusServiceUnavailable, reason: "backend servers refused", retryAfter: x.refusalRetryAfter(time.Now())})
	case attempt.Abort:
		x.cutResponse(ctx)
	default:
		x.fail(x.unknownRefusal(ctx))
	}
	return true
}

// prepareResume makes the servers eligible again whose agents refused a stream that has
// started since: they have new time to start the rest of it.
func (x *exchange) prepareResume() {
	if !x.response.started() {
		return
	}
	x.excluded = slices.Clone(x.failedAt)
	x.declined = false
}

// logAttemptFailed logs a failed attempt. response is the server's own error response,
// if there is one.
func (x *exchange) logAttemptFailed(backend *server, event attempt.Event, decision attempt.Decision, response *forward.Response) {
	if response == nil {
		response = &forward.Response{}
	}
	if errors.Is(x.sendError, forward.ErrMalformed) {
		x.handler.observer.metrics.MalformedResponse()
	}
	connection, connectionAge := x.lastConnection(time.Now())
	x.logger.Info("attempt failed", "backend", backend.ID, "software", backend.Software, "required_software", x.software, "event", event.String(), "verdict", decision.String(), "status", response.Status,
		"not_run_by", response.Info.NotRunBy, "sealed", response.Info.Sealed, "skipped", response.Skipped, "connection", connection, "connection_age_ms", loggedAge(connectionAge),
		"sends", x.machine.Sends(), "connections", x.outgoing.Connections(), "may_have_run", x.machine.MayHaveRun(), "started", x.response.started(),
		"framing", x.progress.framing.String(), "last_event", x.progress.events.LastID(), "error", x.sendError)
}

// lastConnection returns the local address of the connection of the last send and its age;
// empty and neverConfirmed if no send had one.
func (x *exchange) lastConnection(now time.Time) (local string, age time.Duration) {
	local, openedAt := x.outgoing.LastConnection()
	if openedAt.IsZero() {
		return "", neverConfirmed
	}
	return local, now.Sub(openedAt)
}

func (x *exchange) callerLeft() bool { return x.request.Context().Err() != nil }
