package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/wire"
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
	// tried holds the IDs of the servers that are not to be tried again.
	tried []string
	// refused holds the IDs of the servers that refused the request, which may
	// have lost its model just before. They get it once more.
	refused []string
	// leased is how long the request waited for the use of its model, first how
	// long until the head of its answer.
	leased time.Duration
	first  time.Duration
	// server is the one that it was sent to last.
	server string
	// retryAfter is the last advice of an agent when to come back.
	retryAfter time.Duration
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
		held.release(event != nil && event.IsFailure() && !x.callerLeft())
		if event == nil || x.conclude(ctx, target, *event, response) {
			return
		}
	}
}

// next returns the server to send the request to, with the lease of its model if
// it needs one. It returns false if there is none.
func (x *exchange) next(ctx context.Context) (*server, *lease, bool) {
	if x.caller.Model == "" {
		s := x.choose(time.Now())
		return s, nil, s != nil
	}
	for ctx.Err() == nil && x.handler.unsent.Err() == nil {
		now := time.Now()
		s := chooseRunner(now, x.handler.control.current(), x.handler.tracker, x.service, x.caller.Model, x.handler.domain, x.tried)
		if s == nil {
			return nil, nil, false
		}
		if s.agent == "" || !s.hears(now) || x.handler.node.Load() == nil {
			return s, nil, true
		}
		if held, ok := x.lease(ctx, s); ok {
			return s, held, true
		}
		x.tried = append(x.tried, s.ID)
	}
	return nil, nil, false
}

// lease acquires the use of the request's model. It returns false if the agent
// refused. Where the agent is silent, a runner that holds the model is used
// without it.
func (x *exchange) lease(ctx context.Context, s *server) (*lease, bool) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.unsent, cancel)
	defer stop()
	held, refusal, err := acquire(waitCtx, x.handler.node.Load(), s, x.acquireFrame(time.Now()))
	switch {
	case err != nil:
		if waitCtx.Err() != nil {
			return nil, false
		}
		lives := isReset(err) || x.handler.tracker.AgentSilent(time.Now(), s.ID)
		x.logger.Info("agent silent", "agent", s.agent, "runner_lives", lives, "error", err)
		known := s.model(x.caller.Model)
		return nil, lives && known != nil && known.State == wire.ModelLoaded
	case refusal != nil:
		x.retryAfter = time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		x.logger.Info("lease refused", "agent", s.agent, "reason", refusal.Reason, "retry_after_ms", refusal.RetryAfterMillis)
		return nil, false
	default:
		x.leased = time.Since(x.arrived)
		return held, true
	}
}

// isReset tells whether the host of an agent answered that its process is gone,
// so that only the agent is away.
func isReset(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset) || errors.Is(err, syscall.ECONNREFUSED)
}

const (
	// minPatience, latencyPatience and gapPatience tell how long a caller waits
	// for the first event of a stream: the longest of a fixed time and multiples
	// of the route's target latency and longest pause.
	minPatience     = 2 * time.Second
	latencyPatience = 4
	gapPatience     = 8
	// startMargin is kept free of it for the first event to be made and to travel.
	startMargin = 200 * time.Millisecond
)

// startBy is when the request must have started at its runner.
func (x *exchange) startBy() time.Time {
	patience := max(minPatience, latencyPatience*x.route.TargetLatency, gapPatience*x.route.MaxEventGap)
	by := x.arrived.Add(patience)
	if x.deadline.Before(by) {
		by = x.deadline
	}
	return by.Add(-startMargin)
}

func (x *exchange) acquireFrame(now time.Time) *wire.Acquire {
	return &wire.Acquire{
		RequestID:      x.caller.RequestID,
		Model:          x.caller.Model,
		Adapter:        x.caller.Adapter,
		Route:          x.route.Name,
		Priority:       x.route.Priority,
		DeadlineMillis: remaining(now, x.deadline),
		StartMillis:    remaining(now, x.startBy()),
		TargetMillis:   uint32(x.route.TargetLatency.Milliseconds()),
		PromptTokens:   int64(x.caller.PromptTokens),
		Tokens:         int64(x.caller.PromptTokens) + answerTokenCost*int64(x.caller.MaxAnswerTokens),
	}
}

// answerTokenCost is the work of a generated token in tokens of the prompt.
const answerTokenCost = 10

func remaining(now, until time.Time) uint32 {
	return uint32(max(until.Sub(now).Milliseconds(), 0))
}

// choose picks a server of a plain service that was not tried yet, or nil.
func (x *exchange) choose(now time.Time) *server {
	var choices []backends.Choice
	var servers []*server
	for _, s := range x.handler.control.current().servers[x.service] {
		if s.State != fleet.BackendReady || slices.Contains(x.tried, s.ID) {
			continue
		}
		servers = append(servers, s)
		choices = append(choices, backends.Choice{
			Backend: s.Backend,
			Health:  x.handler.tracker.Health(now, s.ID),
			Near:    s.FailureDomain == x.handler.domain,
		})
	}
	best := backends.Pick(choices)
	if best < 0 {
		return nil
	}
	return servers[best]
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
	x.fail(refusal{status: http.StatusServiceUnavailable, reason: "no backend server", retryAfter: retryAfter})
}

// send sends the request to a server. It returns what went wrong, or the answer;
// both if the server answered with a failure.
func (x *exchange) send(ctx context.Context, backend *server) (*attempt.Event, *forward.Response) {
	tracker := x.handler.tracker
	now := time.Now()
	x.machine.Sent(now)
	x.server = backend.ID
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

func (x *exchange) sendFailed(ctx context.Context, backend *server, err error) *attempt.Event {
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

func (x *exchange) outgoing(now time.Time, backend *server) *forward.Request {
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
