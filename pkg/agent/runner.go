package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	readBufferBytes = 32 << 10
	// maxEngineCalls bounds how often a request without an answer is given to the
	// engine. Model requests are idempotent.
	maxEngineCalls = 2
	// maxEngineResumes bounds how often a cut answer is resumed at the engine.
	maxEngineResumes = 3
	cancelTimeout    = 2 * time.Second
	// bytesPerToken converts the length of a whole answer to tokens.
	bytesPerToken = 4
	// retryAfterEngineFailure is when to come back after a failure of the
	// backend server.
	retryAfterEngineFailure = time.Second
)

// runner carries out requests at the backend server. One of engine and service
// is set.
type runner struct {
	controller *controller
	engine     engine.Engine
	service    engine.Service
}

// run carries out one request and reports its end to the loop.
func (r *runner) run(t *ticket) {
	started := time.Now()
	if r.engine != nil {
		r.runModel(t)
	} else {
		r.runService(t)
	}
	took := time.Since(started)
	tokens := countTokens(t)
	r.controller.loop.Post(func() { r.controller.finish(time.Now(), t, tokens, took) })
}

// countTokens estimates the tokens that a request has used: zero if it did not
// run, else its prompt and one token for each event or four bytes of answer.
func countTokens(t *ticket) int64 {
	head, data, refusal := t.answer.result()
	if refusal != nil && refusal.Outcome == wire.OutcomeNotRun {
		return 0
	}
	prompt := int64(len(t.request.Body) / bytesPerToken)
	if head != nil && t.request.Stream {
		return max(1, prompt+int64(bytes.Count(data, []byte("data:"))))
	}
	return max(1, prompt+int64(len(data)/bytesPerToken))
}

func (r *runner) runModel(t *ticket) {
	target := engine.Target{
		Model:          t.request.Model,
		Version:        t.request.Version,
		Adapter:        t.request.Adapter,
		AdapterVersion: t.request.AdapterVersion,
	}
	if target.Adapter != "" {
		if reason := r.acquireAdapter(t, target); reason != "" {
			t.refuse(wire.OutcomeNotRun, reason, retryAfterEngineFailure, "adapter "+target.Adapter)
			return
		}
		defer r.controller.loop.Post(func() { r.controller.models.releaseAdapter(time.Now(), target) })
	}
	call := engine.Call{
		RequestID:   t.request.ID,
		Path:        t.request.Path,
		ContentType: t.request.ContentType,
		Body:        t.request.Body,
		Target:      target,
		Priority:    t.request.Priority,
		Stream:      t.request.Stream,
	}
	err := r.callEngine(t, call)
	for calls := 1; err != nil && t.answer.size() == 0 && t.ctx.Err() == nil && calls < maxEngineCalls; calls++ {
		r.controller.logger.Warn("engine call failed, trying again", "request", call.RequestID, "error", err)
		err = r.callEngine(t, call)
	}
	for resumes := 0; err != nil && t.answer.size() > 0 && resumes < maxEngineResumes; resumes++ {
		err = r.resume(t, err)
	}
	r.conclude(t, err)
}

func (r *runner) callEngine(t *ticket, call engine.Call) error {
	result, err := r.engine.Call(t.ctx, call)
	if err != nil {
		return err
	}
	return r.copyAnswer(t, result)
}

// acquireAdapter waits until the request's adapter is loaded.
func (r *runner) acquireAdapter(t *ticket, target engine.Target) wire.Reason {
	result := make(chan wire.Reason, 1)
	r.controller.loop.Post(func() {
		r.controller.models.acquireAdapter(time.Now(), target, t.request.AdapterMemoryMiB, func(reason wire.Reason) { result <- reason })
	})
	select {
	case reason := <-result:
		return reason
	case <-t.ctx.Done():
		go r.abandonAdapter(target, result)
		return wire.ReasonDeadline
	}
}

// abandonAdapter gives up the use of an adapter that may still be granted.
func (r *runner) abandonAdapter(target engine.Target, result <-chan wire.Reason) {
	select {
	case reason := <-result:
		if reason == "" {
			r.controller.loop.Post(func() { r.controller.models.releaseAdapter(time.Now(), target) })
		}
	case <-r.controller.ctx.Done():
	}
}

// copyAnswer passes an answer on while it arrives. It returns nil only if the
// answer is whole.
func (r *runner) copyAnswer(t *ticket, result engine.Response) error {
	defer func() { _ = result.Body.Close() }()
	t.answer.start(result.StatusCode, result.ContentType)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := result.Body.Read(buffer)
		if n > 0 && !t.answer.append(buffer[:n]) {
			return errAnswerTooLong
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var errAnswerTooLong = errors.New("answer is too long")

// resume continues a cut answer at the engine.
func (r *runner) resume(t *ticket, cause error) error {
	if t.ctx.Err() != nil || errors.Is(cause, errAnswerTooLong) {
		return cause
	}
	result, err := r.engine.Resume(t.ctx, t.request.ID, t.answer.size())
	if err != nil {
		return cause
	}
	return r.copyAnswer(t, result)
}

func (r *runner) runService(t *ticket) {
	result, err := r.service.Call(t.ctx, engine.Call{
		RequestID:      t.request.ID,
		Method:         t.request.Method,
		Path:           t.request.Path,
		ContentType:    t.request.ContentType,
		Body:           t.request.Body,
		Target:         engine.Target{Model: t.request.Service},
		IdempotencyKey: t.request.IdempotencyKey,
	})
	if err == nil {
		err = r.copyAnswer(t, result)
	}
	r.conclude(t, err)
}

// conclude ends the answer as whole or with what is known of the work.
func (r *runner) conclude(t *ticket, err error) {
	if err == nil {
		t.answer.finish()
		return
	}
	if t.ctx.Err() != nil {
		r.cancel(t.request.ID)
	}
	outcome := wire.OutcomeUnknown
	if isNotRun(err) {
		outcome = wire.OutcomeNotRun
	}
	reason := wire.ReasonEngine
	if errors.Is(t.ctx.Err(), context.DeadlineExceeded) {
		reason = wire.ReasonDeadline
	}
	t.refuse(outcome, reason, retryAfterEngineFailure, err.Error())
}

// cancel stops the request at the engine.
func (r *runner) cancel(id string) {
	if r.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.controller.ctx, cancelTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, id); err != nil {
		r.controller.logger.Debug("cancel failed", "request", id, "error", err)
	}
}
