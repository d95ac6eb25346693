package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

const (
	// maxBufferedBytes is the size up to which an answer that is no stream is
	// kept back until it is whole, so that a cut one can be asked for again.
	maxBufferedBytes = 256 << 10
	streamBufferSize = 8 << 10
)

// answer is what was passed on to the caller.
type answer struct {
	// started tells that the head was written.
	started bool
	// lastEventID is the ID of the last whole event that was passed on.
	lastEventID string
	// lastRead is when the last bytes of a stream came, longestGap the longest
	// pause between them.
	lastRead   time.Time
	longestGap time.Duration
}

// deliver passes an answer on. It returns nil when the caller has all of it, or
// what went wrong.
func (x *exchange) deliver(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	defer x.handler.tracker.RequestEnded(backend.ID)
	if x.route.Kind == fleet.Streaming && response.Status == http.StatusOK {
		return x.deliverStream(ctx, backend, response)
	}
	return x.deliverWhole(backend, response)
}

func (x *exchange) passFailure(response *forward.Response) {
	if event := x.deliverWhole(nil, response); event != nil {
		x.fail(refusal{status: http.StatusBadGateway, reason: "answer of the backend server is incomplete"})
	}
}

// deliverWhole reads an answer before it passes it on.
func (x *exchange) deliverWhole(backend *server, response *forward.Response) *attempt.Event {
	event := attempt.Lost
	if response.ContentLength > maxBufferedBytes {
		return x.deliverLong(response)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		if backend != nil && !x.callerLeft() {
			x.handler.tracker.RequestFailed(time.Now(), backend.ID)
		}
		x.sendError = err
		return &event
	}
	if len(body) > maxBufferedBytes {
		return x.deliverRest(response, body)
	}
	x.writeHead(response, len(body))
	_, _ = x.writer.Write(body)
	x.delivered(response.Status)
	return nil
}

// deliverLong passes an answer on that is too long to be kept back.
func (x *exchange) deliverLong(response *forward.Response) *attempt.Event {
	x.writeHead(response, int(response.ContentLength))
	return x.copyRest(response)
}

func (x *exchange) deliverRest(response *forward.Response, first []byte) *attempt.Event {
	x.writeHead(response, -1)
	if _, err := x.writer.Write(first); err != nil {
		response.Close()
		return nil
	}
	return x.copyRest(response)
}

func (x *exchange) copyRest(response *forward.Response) *attempt.Event {
	if _, err := io.Copy(x.writer, response); err != nil {
		response.Close()
		x.sendError = err
		event := attempt.Broken
		return &event
	}
	x.delivered(response.Status)
	return nil
}

func (x *exchange) delivered(status int) {
	x.end = ending{outcome: outcomeAnswered, status: status}
	if status >= http.StatusInternalServerError {
		x.end.outcome = outcomeServerFailed
	}
}

// writeHead writes the head of the first server that answered. A length below
// zero means that none is known.
func (x *exchange) writeHead(response *forward.Response, length int) {
	if x.answer.started {
		return
	}
	x.answer.started = true
	x.first = time.Since(x.arrived)
	header := x.writer.Header()
	for name, values := range forward.EndToEnd(response.Header) {
		if name == "Content-Length" {
			continue
		}
		header[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	x.writer.WriteHeader(response.Status)
}

// deliverStream passes events on as they come. Of a resumable stream only whole
// events are passed on, so that it can go on at another server.
func (x *exchange) deliverStream(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	x.writeHead(response, -1)
	flusher := http.NewResponseController(x.writer)
	buffer := make([]byte, 0, streamBufferSize)
	broken := attempt.Broken
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := response.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			x.heard(backend)
			whole := len(buffer)
			if x.route.Resumable {
				whole = wholeEvents(buffer)
			}
			if whole > 0 {
				x.noteEvents(buffer[:whole])
				if _, writeErr := x.writer.Write(buffer[:whole]); writeErr != nil {
					response.Close()
					return nil
				}
				_ = flusher.Flush()
				buffer = buffer[:copy(buffer, buffer[whole:])]
			}
		}
		if errors.Is(err, io.EOF) {
			_, _ = x.writer.Write(buffer)
			x.delivered(response.Status)
			return nil
		}
		if err != nil {
			x.sendError = fmt.Errorf("after event %q: %w", x.answer.lastEventID, err)
			return &broken
		}
	}
}

// heard notes bytes of a stream.
func (x *exchange) heard(backend *server) {
	now := time.Now()
	x.handler.tracker.DataReceived(now, backend.ID)
	if !x.answer.lastRead.IsZero() {
		x.answer.longestGap = max(x.answer.longestGap, now.Sub(x.answer.lastRead))
	}
	x.answer.lastRead = now
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	last := bytes.LastIndex(data, eventEnd)
	if last < 0 {
		return 0
	}
	return last + len(eventEnd)
}

// noteEvents notes the ID of the last event in data.
func (x *exchange) noteEvents(data []byte) {
	for line := range strings.SplitSeq(string(data), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			x.answer.lastEventID = strings.TrimSpace(id)
		}
	}
}
