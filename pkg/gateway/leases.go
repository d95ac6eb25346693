package gateway

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentPatience bounds the wait for an agent's first word on a request.
const agentPatience = 150 * time.Millisecond

// errAgentFrame tells that an agent sent something else than was asked for.
var errAgentFrame = errors.New("unexpected answer of the agent")

// lease is the leave to use a model at a runner. It ends with release.
type lease struct {
	stream *wire.Stream
}

// release ends the lease and tells the agent whether the runner failed at the
// request, and the time from its sending to the first event of the answer, zero if
// there was none. nil leases, of servers without agents, are ignored.
func (l *lease) release(failed bool, first time.Duration) {
	if l == nil {
		return
	}
	// An agent that doesn't get the frame notices the end of the stream.
	_ = l.stream.Send(&wire.Frame{Released: &wire.Released{Failed: failed, FirstMillis: uint32(first.Milliseconds())}})
	l.stream.Close()
}

// acquire asks an agent for the use of a model. It returns a lease, or the
// agent's refusal, or an error if the agent can't be reached.
func acquire(ctx context.Context, node *wire.Node, s *server, request *wire.Acquire) (*lease, *wire.Refusal, error) {
	openCtx, cancel := context.WithTimeout(ctx, agentPatience)
	stream, err := node.Open(openCtx, s.agent, s.inner)
	cancel()
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	granted, refusal, err := await(ctx, stream, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || refusal != nil {
		stream.Cancel()
		return nil, refusal, err
	}
	return granted, nil, nil
}

func await(ctx context.Context, stream *wire.Stream, request *wire.Acquire) (*lease, *wire.Refusal, error) {
	if err := stream.Send(&wire.Frame{Acquire: request}); err != nil {
		return nil, nil, err
	}
	stream.SetReadDeadline(time.Now().Add(agentPatience))
	for {
		frame, err := stream.Receive()
		if err != nil {
			return nil, nil, err
		}
		switch {
		case frame.Granted != nil:
			return &lease{stream: stream}, nil, nil
		case frame.Refusal != nil:
			return nil, frame.Refusal, nil
		case frame.Accepted != nil:
			// The request waits at the agent, which ends the wait itself.
			deadline, _ := ctx.Deadline()
			stream.SetReadDeadline(deadline)
		default:
			return nil, nil, errAgentFrame
		}
	}
}
