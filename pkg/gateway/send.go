package gateway

import (
	"context"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

// sendAnswered counts a send whose answer is passed on.
const sendAnswered = "answered"

// send sends the request to a server. It returns what went wrong, or the answer;
// both if the server answered with a failure.
func (x *exchange) send(ctx context.Context, backend *server) (*attempt.Event, *forward.Response) {
	tracker := x.handler.tracker
	now := time.Now()
	x.machine.Sent(now)
	x.server = backend.ID
	x.sendError = nil
	x.headAfter = 0
	tracker.RequestStarted(now, backend.ID)
	response, err := x.handler.pool.Send(ctx, backend.Address, x.outgoing(now, backend), false)
	if err != nil {
		tracker.RequestEnded(backend.ID)
		return x.sendFailed(ctx, backend, err), nil
	}
	x.noteClosure(backend, response)
	if event := x.judge(response); event != nil {
		x.handler.observer.metrics.Send(event.String())
		tracker.ResponseStarted(time.Now(), backend.ID, time.Since(now), *event == attempt.Failed)
		tracker.RequestEnded(backend.ID)
		return event, response
	}
	x.handler.observer.metrics.Send(sendAnswered)
	x.headAfter = time.Since(now)
	tracker.ResponseStarted(time.Now(), backend.ID, x.headAfter, false)
	return nil, response
}

// noteClosure notes what the server says of further requests from this host. Each
// answer comes by here, whatever becomes of it.
func (x *exchange) noteClosure(backend *server, response *forward.Response) {
	now := time.Now()
	gate := x.handler.gate
	if response.Info.Leaving && gate.RecordLeaving(now, backend.incarnation()) {
		x.logger.Info("backend server leaves", "belief", "backend:"+backend.ID, "backend", backend.ID, "status", response.Status)
	}
	if after := response.Info.RetryAfter; after > 0 {
		gate.RecordRejection(now, backend.incarnation(), after)
		x.handler.observer.metrics.RetryAfterReceived()
		x.logger.Info("turned away by the backend server", "backend", backend.ID, "retry_after_ms", after.Milliseconds())
	}
}

func (x *exchange) sendFailed(ctx context.Context, backend *server, err error) *attempt.Event {
	event := attempt.Lost
	if forward.IsNotSent(err) {
		event = attempt.NotSent
	}
	if ctx.Err() == nil {
		if event == attempt.NotSent {
			x.handler.tracker.ConnectFailed(time.Now(), backend.ID)
		} else {
			x.handler.tracker.RequestFailed(time.Now(), backend.ID)
		}
	}
	x.sendError = err
	x.handler.observer.metrics.Send(event.String())
	return &event
}

func (x *exchange) outgoing(now time.Time, backend *server) *forward.Request {
	header := x.handler.dialect.EncodeRequest(x.request.Header, forward.BackendHeaders{
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
