package callers

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

var (
	errNoHead     = errors.New("answer without a head")
	errSecondHead = errors.New("answer with two heads")
	errBadStatus  = errors.New("answer with an impossible status")
)

// responseSink is a Sink that its exchange completes after Dispatch.
type responseSink interface {
	Sink
	// finish completes the response if Dispatch succeeded and the response is
	// complete. Otherwise it returns the refusal to report to the caller.
	finish(result *wire.Refusal) *wire.Refusal
	// fail reports a refusal to the caller, in the form that the part of the response
	// already sent allows.
	fail(refusal *wire.Refusal)
	release()
}

// bufferedSink buffers a response until it is known to be complete.
type bufferedSink struct {
	exchange    *exchange
	statusCode  int
	contentType string
	response    boundedBuffer
	// err is the first error; no further data is accepted after it.
	err error
}

func newBufferedSink(x *exchange) *bufferedSink {
	return &bufferedSink{
		exchange: x,
		response: boundedBuffer{budget: &x.handler.buffers, limit: maxResponseBytes},
	}
}

// Head implements Sink.
func (s *bufferedSink) Head(statusCode int, contentType string) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.setHead(statusCode, contentType)
	return s.err
}

func (s *bufferedSink) setHead(statusCode int, contentType string) error {
	if s.statusCode != 0 {
		return errSecondHead
	}
	if statusCode < http.StatusOK || statusCode > 599 {
		return fmt.Errorf("%w: %d", errBadStatus, statusCode)
	}
	s.statusCode = statusCode
	s.contentType = contentType
	s.exchange.recordFirstByte()
	return nil
}

// Write implements Sink.
func (s *bufferedSink) Write(data []byte) error {
	if s.err != nil {
		return s.err
	}
	if s.statusCode == 0 {
		s.err = errNoHead
		return s.err
	}
	_, s.err = s.response.Write(data)
	return s.err
}

func (s *bufferedSink) finish(result *wire.Refusal) *wire.Refusal {
	switch {
	case s.err != nil:
		return responseFault(s.err)
	case result != nil:
		return s.correctOutcome(result)
	case s.statusCode == 0:
		return responseFault(errNoHead)
	}
	s.writeResponse()
	return nil
}

// correctOutcome replaces the outcome "not run" of a refusal by "unknown" if a
// response had already begun to arrive.
func (s *bufferedSink) correctOutcome(result *wire.Refusal) *wire.Refusal {
	if s.statusCode == 0 || result.Outcome != wire.OutcomeNotRun {
		return result
	}
	refusal := *result
	refusal.Outcome = wire.OutcomeUnknown
	return &refusal
}

// responseFault returns the refusal for a response that can't be forwarded.
func responseFault(err error) *wire.Refusal {
	return &wire.Refusal{
		Outcome: wire.OutcomeUnknown,
		Reason:  wire.ReasonEngine,
		Detail:  "the answer can't be passed on: " + err.Error(),
	}
}

func (s *bufferedSink) writeResponse() {
	w := s.exchange.writer()
	header := w.Header()
	if s.contentType != "" {
		header.Set("Content-Type", s.contentType)
	}
	if s.exchange.request().Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(s.response.buffer.Len()))
	}
	header.Set(HeaderOutcome, outcomeOfStatus(s.statusCode).String())
	w.WriteHeader(s.statusCode)
	// A failed write means that the caller disconnected; nobody else needs to know.
	_, _ = w.Write(s.response.buffer.Bytes())
}

// outcomeOfStatus derives the outcome from the status code of a response.
func outcomeOfStatus(statusCode int) wire.Outcome {
	if statusCode >= http.StatusInternalServerError {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeRan
}

func (s *bufferedSink) fail(refusal *wire.Refusal) {
	writeRefusal(s.exchange.writer(), s.exchange.id, refusal)
}

func (s *bufferedSink) release() { s.response.release() }
