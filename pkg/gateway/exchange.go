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
	"teaselgauge.example/teaselgauge/pkg/backends"
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
	caller   forward.Caller
	body     []byte
	arrived  time.Time
	deadline time.Time
	service  string
	machine  *attempt.Machine
	logger   *slog.Logger
	// tried holds the IDs of the servers that the request was sent to.
	tried []string
	// answer is what was passed on to the caller so far.
	answer answer
}

func (h *handler) newExchange(w http.ResponseWriter, r *http.Request, route *fleet.Route, caller forward.Caller, body []byte, arrived time.Time) *exchange {
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
		logger:   h.logger.With("request", caller.RequestID, "route", route.Name),
	}
	x.machine = attempt.New(attempt.Work{
		Service:    x.service,
		Repeatable: route.Repeatable(),
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
	for {
		backend := x.choose(time.Now())
		if backend == nil {
			x.noBackend()
			return
		}
		event, response := x.send(ctx, backend)
		if response != nil && event == nil {
			event = x.deliver(ctx, backend, response)
			if event == nil {
				return
			}
			response = nil
		}
		if x.conclude(ctx, *event, response) {
			return
		}
	}
}

// choose picks a server that was not tried yet, or nil.
func (x *exchange) choose(now time.Time) *fleet.Backend {
	current := x.handler.control.current()
	var choices []backends.Choice
	for _, backend := range current.backends[x.service] {
		if backend.State != fleet.BackendReady || slices.Contains(x.tried, backend.ID) || !x.fits(backend) {
			continue
		}
		choices = append(choices, backends.Choice{
			Backend: backend,
			Health:  x.handler.tracker.Health(now, backend.ID),
			Near:    backend.FailureDomain == x.handler.domain,
		})
	}
	best := backends.Pick(choices)
	if best < 0 {
		return nil
	}
	return choices[best].Backend
}

// fits tells whether a server can serve the request's model.
func (x *exchange) fits(backend *fleet.Backend) bool {
	if x.caller.Model == "" {
		return true
	}
	return slices.ContainsFunc(backend.Models, func(m fleet.LoadedModel) bool { return m.Name == x.caller.Model })
}

func (x *exchange) noBackend() {
	x.logger.Info("refused", "cause", "no backend server", "model", x.caller.Model)
	if x.machine.MayHaveRun() {
		x.fail(refusal{status: http.StatusBadGateway, reason: "outcome unknown"})
		return
	}
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: "no backend server", retryAfter: noBackendRetry})
}

// send sends the request to a server. It returns what went wrong, or the answer;
// both if the server answered with a failure.
func (x *exchange) send(ctx context.Context, backend *fleet.Backend) (*attempt.Event, *forward.Response) {
	tracker := x.handler.tracker
	now := time.Now()
	x.tried = append(x.tried, backend.ID)
	x.machine.Sent(now)
	tracker.Began(now, backend.ID)
	response, err := x.handler.pool.Send(ctx, backend.Address, x.outgoing(now, backend), false)
	if err != nil {
		tracker.Ended(backend.ID)
		return x.sendFailed(ctx, backend, err), nil
	}
	if event := x.judge(response); event != nil {
		tracker.Answered(time.Now(), backend.ID, time.Since(now), *event == attempt.Failed)
		tracker.Ended(backend.ID)
		return event, response
	}
	tracker.Answered(time.Now(), backend.ID, time.Since(now), false)
	return nil, response
}

func (x *exchange) sendFailed(ctx context.Context, backend *fleet.Backend, err error) *attempt.Event {
	event := attempt.Lost
	if forward.IsNotSent(err) {
		event = attempt.NotSent
	}
	if ctx.Err() == nil {
		if event == attempt.NotSent {
			x.handler.tracker.Unreachable(time.Now(), backend.ID)
		} else {
			x.handler.tracker.Failed(time.Now(), backend.ID)
		}
	}
	x.logger.Info("send failed", "backend", backend.ID, "event", event.String(), "error", err)
	return &event
}

func (x *exchange) outgoing(now time.Time, backend *fleet.Backend) *forward.Request {
	header := x.handler.dialect.Compose(x.request.Header, forward.Directives{
		Budget:      x.deadline.Sub(now),
		Instance:    backend.ID,
		Priority:    x.route.Priority,
		LastEventID: x.answer.lastEventID,
	})
	return &forward.Request{
		ID:     x.caller.RequestID,
		Method: x.request.Method,
		Target: target(x.request),
		Host:   x.request.Host,
		Header: header,
		Body:   x.body,
	}
}

// judge tells which answers are failures; nil for those to pass on.
func (x *exchange) judge(response *forward.Response) *attempt.Event {
	event := attempt.Failed
	switch {
	case response.Info.NotRun:
		event = attempt.NotRun
	case response.Status < http.StatusMultipleChoices && !response.Info.Sealed:
		// A success without the server's seal is no answer of a backend server.
		event = attempt.Lost
	case response.Status < http.StatusInternalServerError:
		return nil
	}
	return &event
}

// conclude acts on a failure and tells whether the request has ended. response
// is the server's own failure, if it gave one.
func (x *exchange) conclude(ctx context.Context, event attempt.Event, response *forward.Response) bool {
	if x.callerLeft() {
		if response != nil {
			response.Close()
		}
		return true
	}
	verdict := x.machine.Step(time.Now(), event)
	x.logger.Info("attempt failed", "event", event.String(), "verdict", verdict.String(), "sends", x.machine.Sends())
	if verdict == attempt.PassOn && response != nil {
		x.passFailure(response)
		return true
	}
	if response != nil {
		response.Discard()
	}
	switch verdict {
	case attempt.Elsewhere:
		if ctx.Err() != nil {
			x.fail(x.lateRefusal())
			return true
		}
		return false
	case attempt.RefuseNotRun:
		x.fail(refusal{status: http.StatusServiceUnavailable, reason: "backend servers refused", retryAfter: noBackendRetry})
	case attempt.Abort:
		panic(http.ErrAbortHandler)
	default:
		x.fail(x.unknownRefusal(ctx))
	}
	return true
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
		panic(http.ErrAbortHandler)
	}
	x.logger.Info("refused", "status", r.status, "cause", r.reason, "took_ms", time.Since(x.arrived).Milliseconds())
	refuse(x.writer, r)
}
