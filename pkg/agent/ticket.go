package agent

import (
	"context"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// ticket is one request from its arrival to the end of its answer.
type ticket struct {
	request  *wire.Request
	answer   *answer
	arrived  time.Time
	deadline time.Time
	// ctx ends when the request is cancelled or its deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	// waiting tells that the ticket is in the queue.
	waiting bool
	// cold tells that the model wasn't loaded when the request arrived.
	cold bool
	// finished is called on the loop when the answer has ended; nil for none.
	finished func(*ticket)

	graceMu sync.Mutex
	// grace runs while no stream forwards the answer.
	grace *time.Timer
}

func newTicket(ctx context.Context, request *wire.Request, now time.Time) *ticket {
	deadline := now.Add(time.Duration(request.BudgetMillis) * time.Millisecond)
	ticketCtx, cancel := context.WithDeadline(ctx, deadline)
	return &ticket{
		request:  request,
		answer:   newAnswer(request.ID),
		arrived:  now,
		deadline: deadline,
		ctx:      ticketCtx,
		cancel:   cancel,
	}
}

// target is what the request needs loaded.
func (t *ticket) target() admission.Target {
	if t.request.Service != "" {
		return admission.Target{Model: t.request.Service}
	}
	return admission.Target{Model: t.request.Model, Version: t.request.Version}
}

// item is the request's form in the queue.
func (t *ticket) item() admission.Item {
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
func (t *ticket) refuse(outcome wire.Outcome, reason wire.Reason, retryAfter time.Duration, detail string) {
	t.answer.refuse(&wire.Refusal{
		RequestID:        t.request.ID,
		Outcome:          outcome,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: millis(retryAfter),
	})
}

// outcome returns what became of an ended request and, for a refusal, why.
func (t *ticket) outcome() (outcome, reason string) {
	_, _, refusal := t.answer.result()
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

// abandoned calls giveUp after a time unless resumed is called before.
func (t *ticket) abandoned(after time.Duration, giveUp func()) {
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	if t.grace == nil {
		t.grace = time.AfterFunc(after, giveUp)
	}
}

// resumed tells that a stream forwards the answer again.
func (t *ticket) resumed() {
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	if t.grace != nil {
		t.grace.Stop()
		t.grace = nil
	}
}
