package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	readBufferBytes = 32 << 10
	// maxEngineCalls bounds how often a request is sent to the engine while no part
	// of its response has arrived. Model requests are idempotent.
	maxEngineCalls = 2
	// maxEngineResumes bounds how often a truncated response is resumed.
	maxEngineResumes = 3
	cancelTimeout    = 2 * time.Second
	// bytesPerToken converts the length of a complete response to tokens.
	bytesPerToken = 4
	// retryAfterEngineFailure is the retry-after time after a failure of the
	// backend server.
	retryAfterEngineFailure = time.Second
)

// requestRunner runs requests at the backend server. Exactly one of engine and
// service is set.
type requestRunner struct {
	controller *controller
	engine     engine.Engine
	service    engine.Service
}

// run runs one request and reports its end to the loop.
func (r *requestRunner) run(rs *requestState) {
	started := time.Now()
	if r.engine != nil {
		r.runModel(rs)
	} else {
		r.runService(rs)
	}
	took := time.Since(started)
	tokens := countTokens(rs)
	r.controller.loop.Post(func() { r.controller.finish(time.Now(), rs, tokens, took) })
}

// countTokens estimates the tokens that a request has used: zero if it did not
// run, otherwise its prompt and one token for each event of a streamed response or
// for every four bytes of any other.
func countTokens(rs *requestState) int64 {
	head, data, refusal := rs.response.result()
	if refusal != nil && refusal.Outcome == wire.OutcomeNotRun {
		return 0
	}
	prompt := int64(len(rs.request.Body) / bytesPerToken)
	if head != nil && rs.request.Stream {
		return max(1, prompt+int64(bytes.Count(data, []byte("data:"))))
	}
	return max(1, prompt+int64(len(data)/bytesPerToken))
}

func (r *requestRunner) runModel(rs *requestState) {
	target := engine.Target{
		Model:          rs.request.Model,
		Version:        rs.request.Version,
		Adapter:        rs.request.Adapter,
		AdapterVersion: rs.request.AdapterVersion,
	}
	if target.Adapter != "" {
		if reason := r.acquireAdapter(rs, target); reason != "" {
			rs.refuse(wire.OutcomeNotRun, reason, retryAfterEngineFailure, "adapter "+target.Adapter)
			return
		}
		defer r.controller.loop.Post(func() { r.controller.models.releaseAdapter(time.Now(), target) })
	}
	call := engine.Call{
		RequestID:   rs.request.ID,
		Path:        rs.request.Path,
		ContentType: rs.request.ContentType,
		Body:        rs.request.Body,
		Target:      target,
		Priority:    rs.request.Priority,
		Stream:      rs.request.Stream,
	}
	err := r.callEngine(rs, call)
	for calls := 1; err != nil && rs.response.size() == 0 && rs.ctx.Err() == nil && calls < maxEngineCalls; calls++ {
		r.controller.logger.Warn("engine call failed, retrying", "request", call.RequestID, "error", err)
		err = r.repeatCall(rs, call, err)
	}
	for resumes := 0; err != nil && rs.response.size() > 0 && resumes < maxEngineResumes; resumes++ {
		err = r.resume(rs, err)
	}
	r.complete(rs, err)
}

// repeatCall calls the engine again after a call that failed with cause. Its error
// reports the request as not run only if neither call ran it.
func (r *requestRunner) repeatCall(rs *requestState, call engine.Call, cause error) error {
	err := r.callEngine(rs, call)
	if isNotRun(err) && !isNotRun(cause) {
		return fmt.Errorf("%w; call repeated: %v", cause, err)
	}
	return err
}

func (r *requestRunner) callEngine(rs *requestState, call engine.Call) error {
	result, err := r.engine.Call(rs.ctx, call)
	if err != nil {
		return err
	}
	return r.startResponse(rs, result)
}

// acquireAdapter waits until the request's adapter is loaded.
func (r *requestRunner) acquireAdapter(rs *requestState, target engine.Target) wire.Reason {
	result := make(chan wire.Reason, 1)
	r.controller.loop.Post(func() {
		r.controller.models.acquireAdapter(time.Now(), target, rs.request.AdapterMemoryMiB, func(reason wire.Reason) { result <- reason })
	})
	select {
	case reason := <-result:
		return reason
	case <-rs.ctx.Done():
		go r.abandonAdapter(target, result)
		return wire.ReasonDeadline
	}
}

// abandonAdapter releases an adapter that may still be granted to a request whose
// context has ended.
func (r *requestRunner) abandonAdapter(target engine.Target, result <-chan wire.Reason) {
	select {
	case reason := <-result:
		if reason == "" {
			r.controller.loop.Post(func() { r.controller.models.releaseAdapter(time.Now(), target) })
		}
	case <-r.controller.ctx.Done():
	}
}

// startResponse copies the response to a call to the request's buffer, unless a part
// of another one is there. It returns nil only if the response is complete.
func (r *requestRunner) startResponse(rs *requestState, result engine.Response) error {
	if !rs.response.start(result.StatusCode, result.ContentType, result.Length) {
		_ = result.Body.Close()
		return errOtherResponse
	}
	return r.copyBody(rs, result.Body)
}

// copyBody copies bytes to the request's buffer while they arrive. It returns nil
// only if the body is complete.
func (r *requestRunner) copyBody(rs *requestState, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && !rs.response.append(buffer[:n]) {
			return errResponseTooLong
		}
		// An error that wraps io.EOF isn't the end.
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var (
	errResponseTooLong = errors.New("answer is too long")
	// errOtherResponse reports that a response doesn't belong to the part of a
	// response that has been received before.
	errOtherResponse = errors.New("answer differs from the one that broke off")
)

// resume continues a truncated response at the engine.
func (r *requestRunner) resume(rs *requestState, cause error) error {
	if rs.ctx.Err() != nil || errors.Is(cause, errResponseTooLong) {
		return cause
	}
	result, err := r.engine.Resume(rs.ctx, rs.request.ID, rs.response.size())
	if err != nil {
		return cause
	}
	if !rs.response.isContinuedBy(result) {
		_ = result.Body.Close()
		return errOtherResponse
	}
	return r.copyBody(rs, result.Body)
}

func (r *requestRunner) runService(rs *requestState) {
	result, err := r.service.Call(rs.ctx, engine.Call{
		RequestID:      rs.request.ID,
		Method:         rs.request.Method,
		Path:           rs.request.Path,
		ContentType:    rs.request.ContentType,
		Body:           rs.request.Body,
		Target:         engine.Target{Model: rs.request.Service},
		IdempotencyKey: rs.request.IdempotencyKey,
	})
	if err == nil {
		err = r.startResponse(rs, result)
	}
	r.complete(rs, err)
}

// complete ends the response successfully or with a refusal that reports whether
// the request ran.
func (r *requestRunner) complete(rs *requestState, err error) {
	if err == nil {
		rs.response.finish()
		return
	}
	if rs.ctx.Err() != nil {
		r.cancel(rs.request.ID)
	}
	outcome := wire.OutcomeUnknown
	if isNotRun(err) {
		outcome = wire.OutcomeNotRun
	}
	reason := wire.ReasonEngine
	if errors.Is(rs.ctx.Err(), context.DeadlineExceeded) {
		reason = wire.ReasonDeadline
	}
	rs.refuse(outcome, reason, retryAfterEngineFailure, err.Error())
}

// cancel stops the request at the engine.
func (r *requestRunner) cancel(id string) {
	if r.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.controller.ctx, cancelTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, id); err != nil {
		r.controller.logger.Debug("request cancellation at the engine failed", "request", id, "error", err)
	}
}
