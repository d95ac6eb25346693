package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
)

var (
	// errNoSeal means that a success has no seal of a backend server.
	errNoSeal = errors.New("response without a seal")
	// errContradictory means that the header of a response can't be that of one response.
	errContradictory = errors.New("response header contradicts itself")
)

// sendCompleted is the metric's result of a send whose response is forwarded.
const sendCompleted = "answered"

// send sends the request to a server. It returns the failure, the response, or
// both if the server responded with an error.
func (x *exchange) send(ctx context.Context, backend *server) (*attempt.Event, *forward.Response) {
	tracker := x.handler.tracker
	now := time.Now()
	x.machine.Sent(now)
	x.lastServer = backend.ID
	x.lastSoftware = backend.Software
	x.lastAgent = backend.agent
	x.sendError = nil
	x.responseLatency = 0
	x.headerReceived = false
	tracker.RequestStarted(now, backend.ID)
	response, err := x.handler.pool.Send(ctx, backend.Address, x.backendRequest(now, backend))
	if err != nil {
		tracker.RequestEnded(backend.ID)
		return x.sendFailed(ctx, backend, err), nil
	}
	x.headerReceived = true
	x.progress.framing = response.Framing
	x.recordSkipped(backend, response)
	if why := response.Info.Contradiction; why != "" {
		response.Close()
		tracker.RequestEnded(backend.ID)
		return x.sendFailed(ctx, backend, fmt.Errorf("%w: %s, status %d", errContradictory, why, response.Status)), nil
	}
	x.recordBackpressure(backend, response)
	x.recordLimit(now, backend, response)
	if event := x.classify(response); event != nil {
		x.handler.observer.metrics.Send(event.String())
		tracker.ResponseStarted(time.Now(), backend.ID, time.Since(now), *event == attempt.Failed && response.Status >= http.StatusInternalServerError)
		tracker.RequestEnded(backend.ID)
		return event, response
	}
	x.handler.observer.metrics.Send(sendCompleted)
	x.responseLatency = time.Since(now)
	tracker.ResponseStarted(time.Now(), backend.ID, x.responseLatency, false)
	return nil, response
}

// recordSkipped records responses that arrived before the one to the request.
func (x *exchange) recordSkipped(backend *server, response *forward.Response) {
	if response.Skipped == 0 {
		return
	}
	x.handler.observer.metrics.SkippedResponses(response.Skipped)
	x.logger.Info("responses to earlier requests skipped", "backend", backend.ID, "skipped", response.Skipped, "connections", x.outgoing.Connections(), "status", response.Status)
}

// recordBackpressure records whether the server accepts further requests from this
// host. It is called for every response, whatever its status.
func (x *exchange) recordBackpressure(backend *server, response *forward.Response) {
	now := time.Now()
	gate := x.handler.gate
	if response.Info.Leaving && gate.RecordLeaving(now, backend.incarnation()) {
		x.logger.Info("backend server is leaving", "belief", "backend:"+backend.ID, "backend", backend.ID, "status", response.Status)
	}
	if after := response.Info.RetryAfter; after > 0 {
		gate.RecordRejection(now, backend.incarnation(), after)
		x.handler.observer.metrics.RetryAfterReceived()
		x.logger.Info("backend server rejected the request with retry-after", "backend", backend.ID, "retry_after_ms", after.Milliseconds())
	}
}

// recordLimit records the rate limit that a response names. It is called for every
// response, whatever its status. sentAt is when the request was sent.
func (x *exchange) recordLimit(sentAt time.Time, backend *server, response *forward.Response) {
	if invalid := response.Info.InvalidLimit; invalid != "" {
		x.logger.Warn("rate limit of backend server unreadable, ignoring it", "backend", backend.ID, "value", invalid)
		return
	}
	observed := ratelimit.Observation{Limit: response.Info.Limit, SentAt: sentAt, ReceivedAt: time.Now()}
	before, after := x.handler.limits.Observe(backend.incarnation(), observed)
	if before.Named || after.Named {
		x.handler.observer.metrics.LimitedSend()
	}
	if before != after {
		x.logger.Info("rate limit of backend server changed", "belief", "limit:"+backend.ID, "backend", backend.ID,
			"limited", after.Named, "limit_per_s", after.PerSecond, "limited_before", before.Named, "limit_before_per_s", before.PerSecond)
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

// discardTime is how long a request waits for the rest of a response that isn't forwarded.
const discardTime = 20 * time.Millisecond

// discard reads the rest of a response, so that its connection can be kept. After
// discardTime it goes on in the background until the request ends.
func discard(response *forward.Response) {
	if response.ContentLength == 0 {
		response.Discard()
		return
	}
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		response.Discard()
	}()
	timer := time.NewTimer(discardTime)
	defer timer.Stop()
	select {
	case <-discarded:
	case <-timer.C:
	}
}

// backendRequest returns the request for the next send. It is the same one for all sends,
// with the header for this one.
func (x *exchange) backendRequest(now time.Time, backend *server) *forward.Request {
	x.outgoing.Header = x.handler.headerCodec.EncodeRequest(x.request.Header, forward.BackendHeaders{
		Budget:      x.deadline.Sub(now),
		Instance:    backend.ID,
		Priority:    x.priority(),
		LastEventID: x.progress.events.LastID(),

		WeightsVersion: x.progress.weightsVersion,

		CallersHaveKeys: x.callersHaveKeys,
		Organisation:    nameOf(x.keyHolder),
	})
	return x.outgoing
}

// classify returns the failure that a response means, or nil if it is to be
// forwarded.
func (x *exchange) classify(response *forward.Response) *attempt.Event {
	event := attempt.Failed
	if x.response.started() && !response.Info.NotRun {
		x.sendError = x.checkContinuation(response)
		if x.sendError == nil {
			return nil
		}
		return &event
	}
	switch {
	case response.Info.NotRun:
		event = attempt.NotRun
	case x.isFalsePromise(response):
	case response.Status < http.StatusMultipleChoices && !response.Info.Sealed:
		// A success without the server's seal was not sent by a backend server.
		event = attempt.Lost
		x.sendError = errNoSeal
	case response.Status < http.StatusInternalServerError:
		return nil
	}
	return &event
}
