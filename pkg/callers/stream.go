package callers

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	eventStreamType = "text/event-stream"
	// maxEventBytes bounds one server-sent event, in bytes.
	maxEventBytes = 1 << 20
)

var (
	doneEvent = []byte("data: [DONE]\n\n")
	doneData  = []byte("[DONE]")
	dataField = []byte("data:")

	errDataAfterDone = errors.New("stream goes on after its end mark")
	errMissingDone   = errors.New("stream without its end mark")
	errEventSize     = errors.New("event exceeds its bound")
	// errCallerLeft is the only error of a streamSink that isn't a fault of the
	// response.
	errCallerLeft = errors.New("caller left")
)

// streamSink forwards a stream of server-sent events, complete events only. It
// holds back the event [DONE] until the stream is known to be complete. A response
// that isn't a stream, such as an engine's error, is buffered.
type streamSink struct {
	buffered *bufferedSink
	// streaming is set if the response's header has been sent.
	streaming bool
	sawDone   bool
	// partial holds the beginning of an incomplete event.
	partial []byte
	err     error
}

func newStreamSink(x *exchange) *streamSink {
	return &streamSink{buffered: newBufferedSink(x)}
}

// Head implements Sink.
func (s *streamSink) Head(statusCode int, contentType string) error {
	if err := s.buffered.Head(statusCode, contentType); err != nil {
		return err
	}
	if statusCode != http.StatusOK || !strings.HasPrefix(contentType, eventStreamType) {
		return nil
	}
	s.streaming = true
	w := s.buffered.exchange.writer()
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(statusCode)
	return s.flush()
}

// Write implements Sink.
func (s *streamSink) Write(data []byte) error {
	if !s.streaming {
		return s.buffered.Write(data)
	}
	if s.err == nil {
		s.err = s.writeEvents(data)
	}
	return s.err
}

// writeEvents forwards the events that have arrived completely.
func (s *streamSink) writeEvents(data []byte) error {
	if s.sawDone {
		return checkAfterDone(data)
	}
	if len(s.partial) > 0 {
		data = append(s.partial, data...)
	}
	complete, done, rest := splitCompleteEvents(data)
	if err := s.forward(complete); err != nil {
		return err
	}
	s.partial = s.partial[:0]
	s.sawDone = done
	if done {
		return checkAfterDone(rest)
	}
	if len(rest) > maxEventBytes {
		return errEventSize
	}
	s.partial = append(s.partial, rest...)
	return nil
}

// checkAfterDone rejects all but blank lines after the end mark.
func checkAfterDone(data []byte) error {
	if len(bytes.TrimRight(data, "\r\n")) > 0 {
		return errDataAfterDone
	}
	return nil
}

func (s *streamSink) forward(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := s.buffered.exchange.writer().Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return s.flush()
}

func (s *streamSink) flush() error {
	if err := s.buffered.exchange.controller().Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// splitCompleteEvents splits data after its last complete event before [DONE]. done
// reports whether [DONE] follows there; rest is what follows.
func splitCompleteEvents(data []byte) (complete []byte, done bool, rest []byte) {
	end := 0
	for {
		size := eventSize(data[end:])
		if size == 0 {
			return data[:end], false, data[end:]
		}
		if isDone(data[end : end+size]) {
			return data[:end], true, data[end+size:]
		}
		end += size
	}
}

// eventSize returns the length of the first event including its empty line, or zero
// if data contains no complete event.
func eventSize(data []byte) int {
	size := 0
	for {
		line := bytes.IndexByte(data[size:], '\n')
		if line < 0 {
			return 0
		}
		isEmpty := len(bytes.TrimRight(data[size:size+line], "\r")) == 0
		size += line + 1
		if isEmpty {
			return size
		}
	}
}

// isDone reports whether an event's data is the end mark, whatever other fields it has.
func isDone(event []byte) bool {
	if !bytes.Contains(event, doneData) {
		return false
	}
	var data [][]byte
	for _, line := range bytes.FieldsFunc(event, isLineBreak) {
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			data = append(data, bytes.TrimSpace(value))
		}
	}
	return len(data) == 1 && bytes.Equal(data[0], doneData)
}

func isLineBreak(r rune) bool { return r == '\n' || r == '\r' }

func (s *streamSink) finish(result *wire.Refusal) *wire.Refusal {
	if !s.streaming {
		return s.buffered.finish(result)
	}
	fault := s.fault()
	switch {
	case fault != nil:
		return responseFault(fault)
	case result != nil:
		return s.buffered.correctOutcome(result)
	case s.err != nil:
		return responseFault(s.err)
	case !s.sawDone || len(s.partial) > 0:
		return responseFault(errMissingDone)
	}
	// A failed write means that the caller disconnected; nobody else needs to know.
	_, _ = s.buffered.exchange.writer().Write(doneEvent)
	_ = s.flush()
	return nil
}

// fault returns why the response can't be passed on, or nil.
func (s *streamSink) fault() error {
	if s.err == nil || errors.Is(s.err, errCallerLeft) {
		return s.buffered.err
	}
	return s.err
}

// fail ends a stream that has begun with an error event instead of [DONE].
func (s *streamSink) fail(refusal *wire.Refusal) {
	if !s.streaming {
		s.buffered.fail(refusal)
		return
	}
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(encodeRefusal(s.buffered.exchange.id, refusal))
	event.WriteString("\n\n")
	// A failed write means that the caller disconnected; nobody else needs to know.
	_, _ = s.buffered.exchange.writer().Write(event.Bytes())
	_ = s.flush()
}

func (s *streamSink) release() { s.buffered.release() }
