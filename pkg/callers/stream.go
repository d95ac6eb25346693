package callers

import (
	"bytes"
	"errors"
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	eventStreamType = "text/event-stream"
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
)

var (
	doneEvent = []byte("data: [DONE]\n\n")
	doneData  = []byte("data:[DONE]")

	errAfterDone = errors.New("stream goes on after its end mark")
	errNoDone    = errors.New("stream without its end mark")
	errEventSize = errors.New("event exceeds its bound")
)

// streamSink passes a stream of server-sent events on, whole events only. The
// event [DONE] is held back until the stream is known to be whole. An answer
// that isn't a stream, such as an engine's error, is kept back as a whole.
type streamSink struct {
	whole *wholeSink
	// streaming is set once the response's header is sent.
	streaming bool
	sawDone   bool
	// partial holds the beginning of an event that isn't complete.
	partial []byte
	err     error
}

func newStreamSink(x *exchange) *streamSink {
	return &streamSink{whole: newWholeSink(x)}
}

// Head implements Sink.
func (s *streamSink) Head(statusCode int, contentType string) error {
	if err := s.whole.Head(statusCode, contentType); err != nil {
		return err
	}
	if statusCode != http.StatusOK || !strings.HasPrefix(contentType, eventStreamType) {
		return nil
	}
	s.streaming = true
	w := s.whole.exchange.writer()
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(statusCode)
	return s.flush()
}

// Write implements Sink.
func (s *streamSink) Write(data []byte) error {
	if !s.streaming {
		return s.whole.Write(data)
	}
	if s.err == nil {
		s.err = s.writeEvents(data)
	}
	return s.err
}

// writeEvents sends the complete events of what has arrived.
func (s *streamSink) writeEvents(data []byte) error {
	if len(s.partial) > 0 {
		data = append(s.partial, data...)
	}
	complete, done, rest := splitEvents(data)
	if s.sawDone && len(data) > 0 {
		return errAfterDone
	}
	if done && len(rest) > 0 {
		return errAfterDone
	}
	s.sawDone = done
	if len(rest) > maxEventBytes {
		return errEventSize
	}
	s.partial = append(s.partial[:0], rest...)
	if len(complete) == 0 {
		return nil
	}
	if _, err := s.whole.exchange.writer().Write(complete); err != nil {
		return err
	}
	return s.flush()
}

func (s *streamSink) flush() error {
	return s.whole.exchange.controller().Flush()
}

// splitEvents cuts data behind its last complete event before [DONE]. done tells
// that [DONE] follows there; rest is what stands behind.
func splitEvents(data []byte) (complete []byte, done bool, rest []byte) {
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

// eventSize returns the length of the first event with its empty line, or zero
// if data holds no complete event.
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

func isDone(event []byte) bool {
	compact := bytes.ReplaceAll(bytes.TrimSpace(event), []byte(" "), nil)
	return bytes.Equal(compact, doneData)
}

func (s *streamSink) finish(result *wire.Refusal) *wire.Refusal {
	if !s.streaming {
		return s.whole.finish(result)
	}
	if result != nil {
		return s.whole.corrected(result)
	}
	if s.err == nil && (!s.sawDone || len(s.partial) > 0) {
		s.err = errNoDone
	}
	if s.err != nil {
		return answerFault(s.err)
	}
	// The caller may be gone; there is nobody else to tell.
	_, _ = s.whole.exchange.writer().Write(doneEvent)
	_ = s.flush()
	return nil
}

// fail ends a stream that has begun by an error event in place of [DONE].
func (s *streamSink) fail(refusal *wire.Refusal) {
	if !s.streaming {
		s.whole.fail(refusal)
		return
	}
	var event bytes.Buffer
	event.WriteString("event: error\ndata: ")
	event.Write(encodeRefusal(s.whole.exchange.id, refusal))
	event.WriteString("\n\n")
	// The caller may be gone; there is nobody else to tell.
	_, _ = s.whole.exchange.writer().Write(event.Bytes())
	_ = s.flush()
}

func (s *streamSink) release() { s.whole.release() }
