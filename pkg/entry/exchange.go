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
	// acceptTimeout bounds the wait for an agent's first frame.
	acceptTimeout = time.Second
)

// exchange carries one request over its attempts. It checks that answers belong
// to the request and are whole.
type exchange struct {
	node    *wire.Node
	control *control
	request *wire.Request
	sink    callers.Sink

	stream *wire.Stream
	agent  string
	// awaitsFirst tells that the agent hasn't answered the stream yet.
	awaitsFirst bool
	// stopWatch ends the watch over the caller's context.
	stopWatch func() bool

	// head and the digest belong to the answer under way.
	head     *wire.Head
	received int64
	digest   *xxhash.Digest
	// held keeps the bytes of an answer that isn't streamed until it is whole.
	held     []byte
	passedOn bool

	// attempts counts the sends; lastEvent names the cause of a further one.
	attempts  int
	lastEvent string
}

// open starts a stream to an agent with its first frame.
func (x *exchange) open(ctx context.Context, target routing.Target, frame *wire.Frame) routing.Event {
	x.close()
	x.agent = target.Agent
	openCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stream, err := x.node.Open(openCtx, target.Agent, target.Address)
	if err != nil {
		return x.lost(ctx, routing.NotSent)
	}
	x.stream = stream
	x.awaitsFirst = true
	x.stopWatch = context.AfterFunc(ctx, stream.Abort)
	if err := stream.Send(frame); err != nil {
		return x.lost(ctx, routing.Sent)
	}
	return nil
}

// send starts an attempt from the beginning.
func (x *exchange) send(ctx context.Context, target routing.Target) routing.Event {
	x.head = nil
	x.received = 0
	x.digest = xxhash.New()
	x.held = nil
	request := *x.request
	request.BudgetMillis = budget(ctx)
	return x.open(ctx, target, &wire.Frame{Request: &request})
}

// resume asks for the rest of the answer under way.
func (x *exchange) resume(ctx context.Context, action routing.Resume) routing.Event {
	return x.open(ctx, action.Target, &wire.Frame{Resume: &wire.Resume{
		RequestID:   x.request.ID,
		Incarnation: action.Incarnation,
		Offset:      action.Offset,
	}})
}

// budget is the time left in milliseconds.
func budget(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 0))
}

// next reads frames until one is an event for the attempt.
func (x *exchange) next(ctx context.Context) routing.Event {
	for {
		if x.awaitsFirst {
			x.stream.SetReadDeadline(time.Now().Add(acceptTimeout))
		}
		frame, err := x.stream.Receive()
		if err != nil {
			return x.lost(ctx, x.stage())
		}
		if x.awaitsFirst {
			x.awaitsFirst = false
			x.stream.SetReadDeadline(time.Time{})
		}
		if event := x.take(frame); event != nil {
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

// lost describes a broken attempt. A caller that went away or a deadline that
// passed goes before the failure of the link that they cause.
func (x *exchange) lost(ctx context.Context, stage routing.Stage) routing.Event {
	x.close()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return routing.Expired{Stage: stage}
	case ctx.Err() != nil:
		return routing.Cancelled{Stage: stage}
	}
	if x.awaitsFirst && stage == routing.Sent {
		x.node.Retire(x.agent)
	}
	agent := x.agent
	x.control.loop.Post(func() { x.control.callFailed(time.Now(), agent) })
	return routing.Lost{Stage: stage, Received: x.received, Forwarded: x.passedOn}
}

// take handles one frame and returns an event if it is one for the attempt.
func (x *exchange) take(frame *wire.Frame) routing.Event {
	switch {
	case frame.Accepted != nil:
		x.learn(frame.Accepted.Status)
		return routing.Accepted{Incarnation: frame.Accepted.Incarnation}
	case frame.Refusal != nil:
		x.learn(frame.Refusal.Status)
		return routing.Refused{Refusal: *frame.Refusal}
	case frame.Head != nil && frame.Head.RequestID == x.request.ID:
		return x.takeHead(frame.Head)
	case frame.Chunk != nil && frame.Chunk.RequestID == x.request.ID:
		return x.takeChunk(frame.Chunk)
	case frame.End != nil && frame.End.RequestID == x.request.ID:
		x.learn(frame.End.Status)
		return x.takeEnd(frame.End)
	default:
		return x.cut()
	}
}

func (x *exchange) learn(status *wire.Status) {
	if status == nil {
		return
	}
	x.control.loop.Post(func() {
		now := time.Now()
		x.control.callSucceeded(now, status.Runner)
		x.control.statusReceived(now, status)
	})
}

func (x *exchange) cut() routing.Event {
	x.close()
	return routing.CorruptResponse{PassedOn: x.passedOn}
}

func (x *exchange) takeHead(head *wire.Head) routing.Event {
	if x.head != nil {
		return nil
	}
	x.head = head
	if !x.request.Stream {
		return nil
	}
	x.passedOn = true
	if err := x.sink.Head(head.StatusCode, head.ContentType); err != nil {
		return x.callerGone()
	}
	return nil
}

func (x *exchange) takeChunk(chunk *wire.Chunk) routing.Event {
	if x.head == nil || chunk.Offset != x.received {
		return x.cut()
	}
	x.received += int64(len(chunk.Data))
	_, _ = x.digest.Write(chunk.Data)
	if !x.request.Stream {
		x.held = append(x.held, chunk.Data...)
		return nil
	}
	if err := x.sink.Write(chunk.Data); err != nil {
		return x.callerGone()
	}
	return nil
}

func (x *exchange) callerGone() routing.Event {
	x.close()
	return routing.Cancelled{Stage: routing.Streaming}
}

func (x *exchange) takeEnd(end *wire.End) routing.Event {
	if x.head == nil || end.Length != x.received || end.Sum != x.digest.Sum64() {
		return x.cut()
	}
	x.finish()
	if x.request.Stream {
		return routing.Completed{}
	}
	if err := x.sink.Head(x.head.StatusCode, x.head.ContentType); err != nil {
		return x.callerGone()
	}
	if err := x.sink.Write(x.held); err != nil {
		return x.callerGone()
	}
	return routing.Completed{}
}

// finish ends the stream in order.
func (x *exchange) finish() {
	if x.stream == nil {
		return
	}
	x.stopWatch()
	x.stream.Close()
	x.stream = nil
}

// close gives up the stream under way.
func (x *exchange) close() {
	if x.stream == nil {
		return
	}
	x.stopWatch()
	x.stream.Cancel()
	x.stream = nil
}
