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

// answerSink is a Sink that its handler closes after Dispatch.
type answerSink interface {
	Sink
	// finish passes the answer on if the result says that it is whole. It returns
	// the refusal that the caller must be told, or nil.
	finish(result *wire.Refusal) *wire.Refusal
	// fail tells the caller of a refusal in the form that the state of the answer
	// allows.
	fail(refusal *wire.Refusal)
	release()
}

// wholeSink keeps an answer back until it is known to be whole.
type wholeSink struct {
	exchange    *exchange
	statusCode  int
	contentType string
	answer      boundedBuffer
	// err is the first failure; it ends the answer.
	err error
}

func newWholeSink(x *exchange) *wholeSink {
	return &wholeSink{
		exchange: x,
		answer:   boundedBuffer{budget: &x.handler.buffers, limit: maxAnswerBytes},
	}
}

// Head implements Sink.
func (s *wholeSink) Head(statusCode int, contentType string) error {
	if s.err != nil {
		return s.err
	}
	s.err = s.setHead(statusCode, contentType)
	return s.err
}

func (s *wholeSink) setHead(statusCode int, contentType string) error {
	if s.statusCode != 0 {
		return errSecondHead
	}
	if statusCode < http.StatusOK || statusCode > 599 {
		return fmt.Errorf("%w: %d", errBadStatus, statusCode)
	}
	s.statusCode = statusCode
	s.contentType = contentType
	s.exchange.sawFirstByte()
	return nil
}

// Write implements Sink.
func (s *wholeSink) Write(data []byte) error {
	if s.err != nil {
		return s.err
	}
	if s.statusCode == 0 {
		s.err = errNoHead
		return s.err
	}
	_, s.err = s.answer.Write(data)
	return s.err
}

func (s *wholeSink) finish(result *wire.Refusal) *wire.Refusal {
	if result != nil {
		return s.corrected(result)
	}
	if s.err == nil && s.statusCode == 0 {
		s.err = errNoHead
	}
	if s.err != nil {
		return answerFault(s.err)
	}
	s.writeAnswer()
	return nil
}

// corrected doesn't let a refusal claim that work didn't run of which an answer
// began to arrive.
func (s *wholeSink) corrected(result *wire.Refusal) *wire.Refusal {
	if s.statusCode == 0 || result.Outcome != wire.OutcomeNotRun {
		return result
	}
	refusal := *result
	refusal.Outcome = wire.OutcomeUnknown
	return &refusal
}

// answerFault is the refusal for an answer that can't be passed on.
func answerFault(err error) *wire.Refusal {
	return &wire.Refusal{
		Outcome: wire.OutcomeUnknown,
		Reason:  wire.ReasonEngine,
		Detail:  "the answer can't be passed on: " + err.Error(),
	}
}

func (s *wholeSink) writeAnswer() {
	w := s.exchange.writer()
	header := w.Header()
	if s.contentType != "" {
		header.Set("Content-Type", s.contentType)
	}
	header.Set("Content-Length", strconv.Itoa(s.answer.buffer.Len()))
	header.Set(HeaderOutcome, outcomeOfStatus(s.statusCode).String())
	w.WriteHeader(s.statusCode)
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write(s.answer.buffer.Bytes())
}

// outcomeOfStatus tells what an answer's own status says of the work.
func outcomeOfStatus(statusCode int) wire.Outcome {
	if statusCode >= http.StatusInternalServerError {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeRan
}

func (s *wholeSink) fail(refusal *wire.Refusal) {
	writeRefusal(s.exchange.writer(), s.exchange.id, refusal)
}

func (s *wholeSink) release() { s.answer.release() }
