package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// firstFrameTimeout bounds the wait for an agent's first frame.
	firstFrameTimeout = time.Second
)

// exchange carries one request through its attempts. It checks that responses
// belong to the request and are complete.
type exchange struct {
	node    *wire.Node
	control *controlState
	request *wire.Request
	sink    callers.Sink

	stream *wire.Stream
	agent  string
	// awaitingFirstFrame is set if no frame has arrived on the stream yet.
	awaitingFirstFrame bool
	// stopAbort unregisters the function that aborts the stream when the caller's
	// context ends.
	stopAbort func() bool

	// head, received and digest belong to the response in progress.
	head     *wire.Head
	received int64
	digest   *xxhash.Digest
	// buffered holds the bytes of an unstreamed response until it is complete.
	buffered  []byte
	forwarded bool

	// attempts counts the sends; lastEvent names the cause of the next one.
	attempts  int
	lastEvent string
}

// open opens a stream to an agent and sends its first frame.
func (x *exchange) open(ctx context.Context, target routing.Target, frame *wire.Frame) routing.Event {
	x.cancelStream()
	x.agent = target.Agent
	openCtx, cancel := context.WithTimeout(ctx, firstFrameTimeout)
	defer cancel()
	stream, err := x.node.Open(openCtx, target.Agent, target.Address)
	if err != nil {
		return x.lostAttempt(ctx, routing.NotSent)
	}
	x.stream = stream
	x.awaitingFirstFrame = true
	x.stopAbort = context.AfterFunc(ctx, stream.Abort)
	if err := stream.Send(frame); err != nil {
		return x.lostAttempt(ctx, routing.Sent)
	}
	return nil
}

// send starts an attempt from the beginning.
func (x *exchange) send(ctx context.Context, target routing.Target) routing.Event {
	x.head = nil
	x.received = 0
	x.digest = xxhash.New()
	x.buffered = nil
	request := *x.request
	request.BudgetMillis = remainingMillis(ctx)
	return x.open(ctx, target, &wire.Frame{Request: &request})
}

// resume requests the rest of the response in progress.
func (x *exchange) resume(ctx context.Context, action routing.Resume) routing.Event {
	return x.open(ctx, action.Target, &wire.Frame{Resume: &wire.Resume{
		RequestID:   x.request.ID,
		Incarnation: action.Incarnation,
		Offset:      action.Offset,
	}})
}

// remainingMillis returns the time until the deadline in milliseconds.
func remainingMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 0))
}

// next reads frames until one results in an event for the attempt.
func (x *exchange) next(ctx context.Context) routing.Event {
	for {
		if x.awaitingFirstFrame {
			x.stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
		}
		frame, err := x.stream.Receive()
		if err != nil {
			return x.lostAttempt(ctx, x.stage())
		}
		if x.awaitingFirstFrame {
			x.awaitingFirstFrame = false
			x.stream.SetReadDeadline(time.Time{})
		}
		if event := x.handleFrame(frame); event != nil {
			return event
		}
	}
}

func (x *exchange) stage() routing.Stage {
	if x.head != nil {
		return routing.Streaming
	}
	return routing.Sent
}

// lostAttempt returns the event for a failed attempt. The caller's cancellation or
// deadline takes precedence over the stream error that it causes.
func (x *exchange) lostAttempt(ctx context.Context, stage routing.Stage) routing.Event {
	x.cancelStream()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.Expired{Stage: stage}
	case ctx.Err() != nil:
		return routing.Cancelled{Stage: stage}
	}
	if x.awaitingFirstFrame && stage == routing.Sent {
		x.node.Retire(x.agent)
	}
	agent := x.agent
	x.control.loop.Post(func() { x.control.callFailed(time.Now(), agent) })
	return routing.Lost{Stage: stage, Received: x.received, Forwarded: x.forwarded}
}

// handleFrame processes one frame and returns the event that results, if any.
func (x *exchange) handleFrame(frame *wire.Frame) routing.Event {
	switch {
	case frame.Accepted != nil:
		x.recordStatus(frame.Accepted.Status)
		return routing.Accepted{Incarnation: frame.Accepted.Incarnation}
	case frame.Refusal != nil:
		x.recordStatus(frame.Refusal.Status)
		return routing.Refused{Refusal: *frame.Refusal, Forwarded: x.forwarded}
	case frame.Head != nil && frame.Head.RequestID == x.request.ID:
		return x.handleHead(frame.Head)
	case frame.Chunk != nil && frame.Chunk.RequestID == x.request.ID:
		return x.handleChunk(frame.Chunk)
	case frame.End != nil && frame.End.RequestID == x.request.ID:
		x.recordStatus(frame.End.Status)
		return x.handleEnd(frame.End)
	default:
		return x.corruptResponse()
	}
}

func (x *exchange) recordStatus(status *wire.Status) {
	if status == nil {
		return
	}
	x.control.loop.Post(func() {
		now := time.Now()
		x.control.callSucceeded(now, status.Runner)
		x.control.statusReceived(now, status)
	})
}

func (x *exchange) corruptResponse() routing.Event {
	x.cancelStream()
	return routing.CorruptResponse{Forwarded: x.forwarded}
}

// handleHead processes the header of a response, which a resumed response repeats.
func (x *exchange) handleHead(head *wire.Head) routing.Event {
	if x.head != nil {
		if *x.head != *head {
			return x.corruptResponse()
		}
		return nil
	}
	x.head = head
	if !x.request.Stream {
		return nil
	}
	x.forwarded = true
	if err := x.sink.Head(head.StatusCode, head.ContentType); err != nil {
		return x.callerDisconnected()
	}
	return nil
}

func (x *exchange) handleChunk(chunk *wire.Chunk) routing.Event {
	if x.head == nil || chunk.Offset != x.received {
		return x.corruptResponse()
	}
	x.received += int64(len(chunk.Data))
	_, _ = x.digest.Write(chunk.Data)
	if !x.request.Stream {
		x.buffered = append(x.buffered, chunk.Data...)
		return nil
	}
	if err := x.sink.Write(chunk.Data); err != nil {
		return x.callerDisconnected()
	}
	return nil
}

func (x *exchange) callerDisconnected() routing.Event {
	x.cancelStream()
	return routing.Cancelled{Stage: routing.Streaming}
}

func (x *exchange) handleEnd(end *wire.End) routing.Event {
	if x.head == nil || end.Length != x.received || end.Sum != x.digest.Sum64() {
		return x.corruptResponse()
	}
	x.closeStream()
	if x.request.Stream {
		return routing.Completed{}
	}
	if err := x.sink.Head(x.head.StatusCode, x.head.ContentType); err != nil {
		return x.callerDisconnected()
	}
	if err := x.sink.Write(x.buffered); err != nil {
		return x.callerDisconnected()
	}
	return routing.Completed{}
}

// closeStream closes the stream after a complete response.
func (x *exchange) closeStream() {
	if x.stream == nil {
		return
	}
	x.stopAbort()
	x.stream.Close()
	x.stream = nil
}

// cancelStream cancels the stream in progress.
func (x *exchange) cancelStream() {
	if x.stream == nil {
		return
	}
	x.stopAbort()
	x.stream.Cancel()
	x.stream = nil
}
