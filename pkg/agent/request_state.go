package agent

import (
	"context"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// requestState is the state of one request from its arrival to the end of its
// response.
type requestState struct {
	request  *wire.Request
	response *responseBuffer
	arrived  time.Time
	deadline time.Time
	// ctx ends when the request is cancelled or its deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	// waiting is set if the request is in the queue.
	waiting bool
	// cold is set if the model wasn't loaded when the request arrived.
	cold bool
	// onCompleted is called on the loop when the response has ended; it may be nil.
	onCompleted func(*requestState)

	streamMu sync.Mutex
	// streams counts the streams that forward the response.
	streams int
	// graceTimer cancels the request unless a stream forwards the response in time.
	graceTimer *time.Timer
}

func newRequestState(ctx context.Context, request *wire.Request, now time.Time) *requestState {
	deadline := now.Add(time.Duration(request.BudgetMillis) * time.Millisecond)
	requestCtx, cancel := context.WithDeadline(ctx, deadline)
	return &requestState{
		request:  request,
		response: newResponseBuffer(request.ID),
		arrived:  now,
		deadline: deadline,
		ctx:      requestCtx,
		cancel:   cancel,
	}
}

// target returns the model or service that the request needs.
func (rs *requestState) target() admission.Target {
	if rs.request.Service != "" {
		return admission.Target{Model: rs.request.Service}
	}
	return admission.Target{Model: rs.request.Model, Version: rs.request.Version}
}

// item returns the request's queue item.
func (rs *requestState) item() admission.Item {
	return admission.Item{
		ID:              rs.request.ID,
		Plan:            rs.request.Plan,
		Weight:          rs.request.Weight,
		Priority:        rs.request.Priority,
		Deadline:        rs.deadline,
		Tokens:          rs.request.Tokens,
		Target:          rs.target(),
		MaxQueuedPlan:   rs.request.MaxQueued,
		TokensPerSecond: rs.request.TokensPerSecond,
	}
}

// refuse ends the request without a result.
func (rs *requestState) refuse(outcome wire.Outcome, reason wire.Reason, retryAfter time.Duration, detail string) {
	rs.response.refuse(&wire.Refusal{
		RequestID:        rs.request.ID,
		Outcome:          outcome,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: millis(retryAfter),
	})
}

// outcome returns the outcome of an ended request and, for a refusal, its reason.
func (rs *requestState) outcome() (outcome, reason string) {
	_, _, refusal := rs.response.result()
	if refusal == nil {
		return metrics.OutcomeCompleted, ""
	}
	return refusal.Outcome.String(), string(refusal.Reason)
}

// millis converts a duration to whole milliseconds, rounded up.
func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// attachStream is called when a stream begins to forward the response.
func (rs *requestState) attachStream() {
	rs.streamMu.Lock()
	defer rs.streamMu.Unlock()
	rs.streams++
	if rs.graceTimer != nil {
		rs.graceTimer.Stop()
		rs.graceTimer = nil
	}
}

// detachStream is called when a stream no longer forwards the response.
func (rs *requestState) detachStream() {
	rs.streamMu.Lock()
	defer rs.streamMu.Unlock()
	rs.streams--
}

// hasStream reports whether a stream forwards the response.
func (rs *requestState) hasStream() bool {
	rs.streamMu.Lock()
	defer rs.streamMu.Unlock()
	return rs.streams > 0
}

// startGracePeriod calls giveUp after a time unless a stream forwards the response
// now or by then.
func (rs *requestState) startGracePeriod(after time.Duration, giveUp func()) {
	rs.streamMu.Lock()
	defer rs.streamMu.Unlock()
	if rs.streams == 0 && rs.graceTimer == nil {
		rs.graceTimer = time.AfterFunc(after, giveUp)
	}
}
