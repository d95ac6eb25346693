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
)

// noBackendRetry is when to come back after a refusal for want of a server.
const noBackendRetry = 500 * time.Millisecond

// exchange leads one request through its sends.
type exchange struct {
	handler  *handler
	writer   http.ResponseWriter
	request  *http.Request
	route    *fleet.Route
	caller   forward.RequestInfo
	body     []byte
	arrived  time.Time
	deadline time.Time
	service  string
	machine  *attempt.Machine
	logger   *slog.Logger
	// tried holds the IDs of the servers that are not to be tried again.
	tried []string
	// refused holds the IDs of the servers that refused the request, which may
	// have lost its model just before. They get it once more.
	refused []string
	// moves counts how often it left a runner for a better one.
	moves int
	// leased is how long the request waited for the use of its model, first how
	// long until the head of its answer.
	leased time.Duration
	first  time.Duration
	// declined tells that an agent can't have its runner serve the request in time.
	declined bool
	// counted tells that an agent has counted the request as demand.
	counted bool
	// headAfter is the time from the last send to the head of its answer; zero if
	// none came.
	headAfter time.Duration
	// server is the one that it was sent to last.
	server string
	// retryAfter is the last advice of an agent when to come back.
	retryAfter time.Duration
	// answer is what was passed on to the caller so far.
	answer answer
	// sendError is why the last send failed.
	sendError error
	// known is what the last choice of a server rested on.
	known knowledge
	// end is how the request ended.
	end ending
}

// knowledge is the version and the age of what a decision rested on.
type knowledge struct {
	// configuration is its version, placement the revision.
	configuration int64
	placement     int64
	// serversAge is the time since the registrations of the backend servers were
	// last known to be complete.
	serversAge time.Duration
}

func (h *handler) newExchange(w http.ResponseWriter, r *http.Request, route *fleet.Route, caller forward.RequestInfo, body []byte, arrived time.Time) *exchange {
	budget := caller.Budget
	if budget <= 0 {
		budget = defaultBudget
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	x := &exchange{
		handler:  h,
		writer:   w,
		request:  r,
		route:    route,
		caller:   caller,
		body:     body,
		arrived:  arrived,
		deadline: arrived.Add(budget),
		service:  pickDestination(route, rand.Float64()),
		logger:   h.observer.logger.With("request", caller.RequestID, "route", route.Name),
		end:      ending{outcome: outcomeLeft},
	}
	x.machine = attempt.New(attempt.Request{
		Service:    x.service,
		Idempotent: route.Idempotent(),
		Resumable:  route.Kind == fleet.Streaming && route.Resumable,
		MaxRuns:    route.MaxAttempts,
		Deadline:   x.deadline,
	}, h.budget)
	return x
}

// pickDestination chooses a service by the destinations' weights; at is from 0
// to 1.
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

// run sends the request until it has its final answer.
func (x *exchange) run(ctx context.Context) {
	defer func() { x.handler.observer.ended(x, x.end) }()
	for {
		target, held, ok := x.next(ctx)
		if !ok {
			x.noBackend(ctx)
			return
		}
		event, response := x.send(ctx, target)
		if response != nil && event == nil {
			event = x.deliver(ctx, target, response)
			response = nil
		}
		held.release(event != nil && event.IsFailure() && !x.callerLeft(), x.headAfter)
		if event == nil || x.conclude(ctx, target, *event, response) {
			return
		}
	}
}

// noBackend ends a request for which there is no server.
func (x *exchange) noBackend(ctx context.Context) {
	if x.callerLeft() {
		return
	}
	if x.machine.MayHaveRun() {
		x.fail(x.unknownRefusal(ctx))
		return
	}
	retryAfter := noBackendRetry
	if x.retryAfter > 0 {
		retryAfter = x.retryAfter
	}
	x.logger.Info("no backend server", "service", x.service, "model", x.caller.Model, "tried", len(x.tried),
		"servers", shortage(time.Now(), x.handler.control.current(), x.service, x.caller.Model))
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: "no backend server", retryAfter: retryAfter})
}

// conclude acts on a failure and tells whether the request has ended. response
// is the server's own failure, if it gave one.
func (x *exchange) conclude(ctx context.Context, backend *server, event attempt.Event, response *forward.Response) bool {
	if x.callerLeft() {
		if response != nil {
			response.Close()
		}
		return true
	}
	if event != attempt.NotRun || x.caller.Model == "" || slices.Contains(x.refused, backend.ID) {
		x.tried = append(x.tried, backend.ID)
	}
	x.refused = append(x.refused, backend.ID)
	verdict := x.machine.Step(time.Now(), event)
	x.handler.observer.metrics.RetryDecision(verdict.String())
	x.logger.Info("attempt failed", "backend", backend.ID, "event", event.String(), "verdict", verdict.String(),
		"sends", x.machine.Sends(), "may_have_run", x.machine.MayHaveRun(), "error", x.sendError)
	if verdict == attempt.ForwardFailure && response != nil {
		x.passFailure(response)
		return true
	}
	if response != nil {
		response.Discard()
	}
	switch verdict {
	case attempt.RetryElsewhere:
		if ctx.Err() != nil {
			x.fail(x.lateRefusal())
			return true
		}
		return false
	case attempt.RefuseNotRun:
		x.fail(refusal{status: http.StatusServiceUnavailable, reason: "backend servers refused", retryAfter: x.comeBack(time.Now())})
	case attempt.Abort:
		x.breakOff("stream broke off")
	default:
		x.fail(x.unknownRefusal(ctx))
	}
	return true
}

// comeBack is when a caller whose request no server took is to come back: at once
// if there are others, else when the first one takes requests again.
func (x *exchange) comeBack(now time.Time) time.Duration {
	sel := x.selection(now)
	sel.tried = nil
	if sel.choose() != nil {
		return noBackendRetry
	}
	return max(noBackendRetry, sel.opensAt().Sub(now))
}

func (x *exchange) callerLeft() bool { return x.request.Context().Err() != nil }

func (x *exchange) lateRefusal() refusal {
	if x.machine.MayHaveRun() {
		return refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "no server in time", retryAfter: noBackendRetry}
}

func (x *exchange) unknownRefusal(ctx context.Context) refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return refusal{status: http.StatusBadGateway, reason: "outcome unknown"}
}

// fail gives the gateway's own final answer, or breaks off one that has begun.
func (x *exchange) fail(r refusal) {
	if x.answer.started {
		x.breakOff(r.reason)
	}
	x.end = ending{outcome: outcomeOf(r), status: r.status, cause: r.reason, retryAfter: r.retryAfter}
	refuse(x.writer, r)
}

// breakOff ends an answer that has begun so that the caller notices. It doesn't
// return.
func (x *exchange) breakOff(cause string) {
	x.end = ending{outcome: outcomeBroken, cause: cause}
	panic(http.ErrAbortHandler)
}
