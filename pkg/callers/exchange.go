package callers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	defaultBodyTimeout = 30 * time.Second
	defaultWriteGrace  = 10 * time.Second
)

// exchange is one HTTP request and its response.
type exchange struct {
	handler *Handler
	iris    iris.Context
	id      string
	kind    metrics.Kind
	arrived time.Time
	// plan is empty until the caller is authenticated.
	plan      string
	target    string
	firstByte time.Duration
	// reserved is the number of bytes that the body reserves in the handler's
	// buffers.
	reserved int64
}

// requestBuilder builds the internal request of an exchange.
type requestBuilder func(x *exchange, access Access, headers requestHeaders) (*wire.Request, *wire.Refusal)

// serve handles a request from its arrival to the last byte of its response.
func (h *Handler) serve(ctx iris.Context, kind metrics.Kind, build requestBuilder) {
	x := &exchange{
		handler: h,
		iris:    ctx,
		id:      uuid.NewString(),
		kind:    kind,
		arrived: h.now(),
	}
	// The response bypasses iris's own writer, which must not add anything.
	ctx.ResponseWriter().SetWritten(0)
	x.writer().Header().Set(HeaderRequestID, x.id)
	defer x.logPanic()
	refusal := x.run(build)
	x.report(refusal)
}

// logPanic logs a panic of the handler and goes on with a panic that makes the server
// break the connection off, so that the response doesn't end as complete.
func (x *exchange) logPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.handler.logger.Error("request handler panicked", "request_id", x.id, "cause", cause, "stack", string(debug.Stack()))
	panic(http.ErrAbortHandler)
}

func (x *exchange) run(build requestBuilder) *wire.Refusal {
	h := x.handler
	if err := h.requests.acquire(h.requests.limit); err != nil {
		return x.refuse(limiterRefusal(err))
	}
	defer h.requests.release()
	access, refusal := h.authenticate(x.request().Header)
	if refusal != nil {
		return x.refuse(refusal)
	}
	plan := access.Plan()
	x.plan = plan.Name
	planLimiter, err := h.plans.acquire(plan.Name, plan.MaxConcurrent)
	if err != nil {
		return x.refuse(notRun(wire.ReasonRate, "the plan has as many requests running here as it may"))
	}
	defer planLimiter.release()
	defer func() { h.buffers.release(x.reserved) }()
	return x.dispatch(access, build)
}

func limiterRefusal(err error) *wire.Refusal {
	if errors.Is(err, errShuttingDown) {
		return notRun(wire.ReasonShuttingDown, "this entry host is shutting down")
	}
	return notRun(wire.ReasonUnavailable, "this entry host has as many requests as it may")
}

func (x *exchange) dispatch(access Access, build requestBuilder) *wire.Refusal {
	headers, refusal := x.handler.parseHeaders(x.request().Header)
	if refusal != nil {
		return x.refuse(refusal)
	}
	request, refusal := build(x, access, headers)
	if refusal != nil {
		return x.refuse(refusal)
	}
	return x.send(request, headers.budget)
}

func (x *exchange) send(request *wire.Request, budget time.Duration) *wire.Refusal {
	deadline := x.arrived.Add(budget)
	left := deadline.Sub(x.handler.now())
	if left <= 0 {
		return x.refuse(notRun(wire.ReasonDeadline, "the deadline passed while the body arrived"))
	}
	ctx, cancel := context.WithTimeout(x.request().Context(), left)
	defer cancel()
	x.setWriteTimeout(left + x.handler.writeGrace)
	defer x.setWriteTimeout(0)

	request.BudgetMillis = uint32(max(left.Milliseconds(), 1))
	sink := x.newSink(request)
	defer sink.release()
	result := x.handler.dispatcher.Dispatch(ctx, request, sink)
	refusal := sink.finish(result)
	if refusal != nil {
		sink.fail(refusal)
	}
	return refusal
}

func (x *exchange) newSink(request *wire.Request) responseSink {
	if request.Stream {
		return newStreamSink(x)
	}
	return newBufferedSink(x)
}

// setWriteTimeout sets a deadline for writing the response; zero removes it.
// Response writers without deadlines, as in tests, ignore it.
func (x *exchange) setWriteTimeout(d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = x.controller().SetWriteDeadline(deadline)
}

func (x *exchange) request() *http.Request { return x.iris.Request() }

func (x *exchange) writer() http.ResponseWriter { return x.iris.ResponseWriter().Naive() }

func (x *exchange) controller() *http.ResponseController {
	return http.NewResponseController(x.writer())
}

func (x *exchange) recordFirstByte() { x.firstByte = x.handler.now().Sub(x.arrived) }

func (x *exchange) refuse(refusal *wire.Refusal) *wire.Refusal {
	writeRefusal(x.writer(), x.id, refusal)
	return refusal
}

// readBody reads the request's body within the limits of time and size.
func (x *exchange) readBody() ([]byte, *wire.Refusal) {
	h := x.handler
	_ = x.controller().SetReadDeadline(time.Now().Add(h.bodyTimeout))
	body := http.MaxBytesReader(x.writer(), x.request().Body, h.limits.MaxBodyBytes)
	data, reserved, err := readBody(body, x.request().ContentLength, h.limits.MaxBodyBytes, &h.buffers)
	if err != nil {
		return nil, h.bodyRefusal(err)
	}
	x.reserved = reserved
	_ = x.controller().SetReadDeadline(time.Time{})
	return data, nil
}

func (h *Handler) bodyRefusal(err error) *wire.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errTooLarge), errors.As(err, &tooLarge):
		return notRun(ReasonTooLarge, fmt.Sprintf("the body exceeds %d bytes", h.limits.MaxBodyBytes))
	case errors.Is(err, errBuffersFull):
		return notRun(wire.ReasonUnavailable, "this entry host has no memory for the body now")
	default:
		return notRun(ReasonBodyTimeout, "the body came too slowly or broke off")
	}
}

// report records and logs the end of an exchange.
func (x *exchange) report(refusal *wire.Refusal) {
	h := x.handler
	took := h.now().Sub(x.arrived)
	outcome, reason := metrics.OutcomeCompleted, ""
	if refusal != nil {
		outcome, reason = refusal.Outcome.String(), string(refusal.Reason)
	}
	h.metrics.RequestDone(x.kind, outcome, reason, took)
	if x.plan != "" {
		h.plans.recordEnd(x.plan, refusal == nil)
	}
	if x.firstByte > 0 {
		h.metrics.FirstByte(x.kind, x.firstByte)
	}
	attributes := []slog.Attr{
		slog.String("request_id", x.id),
		slog.String("kind", string(x.kind)),
		slog.String("plan", x.plan),
		slog.String("target", x.target),
		slog.String("outcome", outcome),
		slog.Int64("took_ms", took.Milliseconds()),
	}
	if own := sanitizeRequestID(x.request().Header.Get(HeaderRequestID)); own != "" {
		attributes = append(attributes, slog.String("caller_request_id", own))
	}
	if refusal != nil {
		attributes = append(attributes, slog.String("reason", reason), slog.String("detail", refusal.Detail))
	}
	h.logger.LogAttrs(x.request().Context(), slog.LevelInfo, "request", attributes...)
}
