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
	// waiting reports whether the request is in the queue.
	waiting bool
	// cold reports that the model wasn't loaded when the request arrived.
	cold bool
	// onCompleted is called on the loop when the response has ended; it may be nil.
	onCompleted func(*requestState)

	graceMu sync.Mutex
	// graceTimer runs while no stream forwards the response.
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
func (t *requestState) target() admission.Target {
	if t.request.Service != "" {
		return admission.Target{Model: t.request.Service}
	}
	return admission.Target{Model: t.request.Model, Version: t.request.Version}
}

// item returns the request's queue item.
func (t *requestState) item() admission.Item {
	return admission.Item{
		ID:              t.request.ID,
		Plan:            t.request.Plan,
		Weight:          t.request.Weight,
		Priority:        t.request.Priority,
		Deadline:        t.deadline,
		Tokens:          t.request.Tokens,
		Target:          t.target(),
		MaxQueuedPlan:   t.request.MaxQueued,
		TokensPerSecond: t.request.TokensPerSecond,
	}
}

// refuse ends the request without a result.
func (t *requestState) refuse(outcome wire.Outcome, reason wire.Reason, retryAfter time.Duration, detail string) {
	t.response.refuse(&wire.Refusal{
		RequestID:        t.request.ID,
		Outcome:          outcome,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: millis(retryAfter),
	})
}

// outcome returns the outcome of an ended request and, for a refusal, its reason.
func (t *requestState) outcome() (outcome, reason string) {
	_, _, refusal := t.response.result()
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

// startGracePeriod calls giveUp after a time unless stopGracePeriod is called
// before.
func (t *requestState) startGracePeriod(after time.Duration, giveUp func()) {
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	if t.graceTimer == nil {
		t.graceTimer = time.AfterFunc(after, giveUp)
	}
}

// stopGracePeriod is called when a stream forwards the response again.
func (t *requestState) stopGracePeriod() {
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	if t.graceTimer != nil {
		t.graceTimer.Stop()
		t.graceTimer = nil
	}
}
