package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/eventstream"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

const (
	streamBufferSize = 8 << 10
	// maxEventBytes limits the size of one event of a resumable stream, which is buffered
	// until it is complete.
	maxEventBytes = 1 << 20
	// eventStreamType is the content type of server-sent events.
	eventStreamType = "text/event-stream"
)

var (
	// errEventTooLarge means that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("event of the stream is too large")
	// errIncompleteEvent means that a stream ended inside an event.
	errIncompleteEvent = errors.New("stream ended inside an event")
	// errNotContinuation means that a server responded to a resumed stream with something
	// else than the rest of it.
	errNotContinuation = errors.New("response doesn't continue the stream")
	// errOtherWeights means that a server would continue a stream with another version of
	// the weights.
	errOtherWeights = errors.New("stream would go on with other weights")
	// errNoEvent means that a response that ends with its connection has no event.
	errNoEvent = errors.New("stream ended without an event")
)

// forwardStream sends a stream as it arrives. Of a resumable stream only complete events
// are sent, so that another server can continue it.
func (x *exchange) forwardStream(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	if !x.response.started() {
		if err := x.startResponse(response, forward.FramingChunks, 0); err != nil {
			return x.responseLost(backend, response, err)
		}
		x.progress.weightsVersion = response.Info.WeightsVersion
		x.progress.events = x.eventsToCome()
	}
	if !isEventStream(response) {
		return x.forwardOther(ctx, backend, response)
	}
	return x.forwardEvents(ctx, backend, response)
}

// eventsToCome returns the events that the caller is to get: those after the one that it
// names, if the stream may be resumed.
func (x *exchange) eventsToCome() eventstream.Sequence {
	if !x.route.Resumable {
		return eventstream.Sequence{}
	}
	return eventstream.After(x.caller.LastEventID)
}

// forwardEvents sends the events of a response. Of a stream that may be resumed, bytes are
// held back until their event is complete.
func (x *exchange) forwardEvents(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	x.progress.events.BeginRun()
	x.progress.scanner = eventstream.Scanner{}
	buffer := make([]byte, 0, streamBufferSize)
	for {
		if len(buffer) >= maxEventBytes {
			return x.streamBroken(response, errEventTooLarge)
		}
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		held := len(buffer)
		n, err := x.readResponse(backend, response, buffer[held:cap(buffer)])
		buffer = buffer[:held+n]
		size, orderErr := x.acceptEvents(buffer[held:])
		x.requireSoftwareOf(backend)
		x.recordOrigin(backend)
		if size > 0 {
			size += held
		}
		if !x.route.Resumable {
			size = len(buffer)
		}
		if n > 0 {
			x.recordRead(ctx, backend)
		}
		if !x.sendPart(buffer[:size]) {
			response.Close()
			return nil
		}
		buffer = buffer[:copy(buffer, buffer[size:])]
		switch {
		case orderErr != nil:
			return x.streamBroken(response, orderErr)
		case err == nil:
		// An error that wraps io.EOF isn't the end.
		case err != io.EOF:
			return x.streamBroken(response, err)
		case x.progress.scanner.InEvent():
			return x.streamBroken(response, errIncompleteEvent)
		default:
			return x.streamEnded(ctx, backend, response, buffer)
		}
	}
}

// streamEnded ends a stream after its last event if it is complete. rest holds what comes
// after the last event, such as comments.
func (x *exchange) streamEnded(ctx context.Context, backend *server, response *forward.Response, rest []byte) *attempt.Event {
	if response.Framing == forward.FramingConnection && x.progress.events.Count() == 0 {
		return x.streamBroken(response, errNoEvent)
	}
	if err := x.confirmEnd(ctx, backend, response).err(); err != nil {
		return x.streamBroken(response, err)
	}
	if x.sendPart(rest) {
		x.recordForwarded(response.Status)
	}
	return nil
}

// acceptEvents scans received bytes and records the events that they complete. It returns
// where the last one of them ends. The error means that the next one doesn't follow it.
func (x *exchange) acceptEvents(received []byte) (end int, err error) {
	for scanned := 0; scanned < len(received); {
		size, event, ok := x.progress.scanner.Next(received[scanned:])
		scanned += size
		if !ok {
			continue
		}
		if err := x.progress.events.Accept(event); err != nil {
			return end, err
		}
		x.recordEvent(event)
		end = scanned
	}
	return end, nil
}

// requireSoftwareOf has a stream that has an event go on only at servers with the software
// of the one that sent the first event: the events of two versions don't fit together.
func (x *exchange) requireSoftwareOf(backend *server) {
	if x.software == "" && x.progress.events.Count() > 0 {
		x.software = backend.Software
	}
}

// recordEvent records an event that was accepted.
func (x *exchange) recordEvent(event eventstream.Event) {
	if event.HasData && x.progress.firstEvent.IsZero() {
		x.progress.firstEvent = time.Now()
	}
	if version := x.handler.headerCodec.DecodeEvent(event.First); version != "" {
		x.progress.weightsVersion = version
	}
}

// forwardOther sends a response that isn't a stream of events. Nothing can continue it.
func (x *exchange) forwardOther(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := x.readResponse(backend, response, buffer)
		if n > 0 {
			x.recordRead(ctx, backend)
		}
		if !x.sendPart(buffer[:n]) {
			response.Close()
			return nil
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			err = x.confirmEnd(ctx, backend, response).err()
		}
		if err != nil {
			x.sendError = err
			event := attempt.Unresumable
			return &event
		}
		x.recordForwarded(response.Status)
		return nil
	}
}

// sendPart sends a part of a stream to the caller at once, and reports whether the caller
// is there.
func (x *exchange) sendPart(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if _, err := x.response.Write(data); err != nil {
		return false
	}
	x.response.flush()
	return true
}

// streamBroken records why a stream has broken off, and closes what is left of it.
func (x *exchange) streamBroken(response *forward.Response, err error) *attempt.Event {
	response.Close()
	x.sendError = fmt.Errorf("after event %q: %w", x.progress.events.LastID(), err)
	event := attempt.Broken
	if !x.progress.events.CanResume() {
		event = attempt.Unresumable
	}
	return &event
}

// recordRead records a read from a stream.
func (x *exchange) recordRead(ctx context.Context, backend *server) {
	x.dataReceived(ctx)
	now := time.Now()
	x.handler.tracker.DataReceived(now, backend.ID)
	if !x.progress.lastRead.IsZero() {
		x.progress.longestGap = max(x.progress.longestGap, now.Sub(x.progress.lastRead))
	}
	x.progress.lastRead = now
	if x.hasStarted(now) {
		x.recordStart(now)
	}
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(response *forward.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
}

// checkContinuation returns why a response can't continue a stream that has started; nil
// if it may. Its events show whether it does.
func (x *exchange) checkContinuation(response *forward.Response) error {
	encoding := response.Header.Get("Content-Encoding")
	version := response.Info.WeightsVersion
	switch {
	case response.Status != http.StatusOK, !response.Info.Sealed, !isEventStream(response), encoding != "" && encoding != "identity":
		return errNotContinuation
	case version != "" && x.progress.weightsVersion != "" && version != x.progress.weightsVersion:
		return errOtherWeights
	default:
		return nil
	}
}
