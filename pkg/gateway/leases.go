package gateway

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentTimeout limits the wait for an agent's first frame on a request.
const agentTimeout = 150 * time.Millisecond

// errUnexpectedFrame means that an agent sent a frame other than the expected ones.
var errUnexpectedFrame = errors.New("agent sent an unexpected frame")

// lease is the permission to use a model at a runner until release.
type lease struct {
	stream *wire.Stream
}

// release ends the lease and reports to the agent whether the runner failed at the
// request, and the time from the send to the response header, zero if there was
// none. It does nothing on nil, the lease at servers without agents.
func (l *lease) release(failed bool, first time.Duration) {
	if l == nil {
		return
	}
	// If the frame is lost, the agent still detects the end of the stream.
	_ = l.stream.Send(&wire.Frame{Released: &wire.Released{Failed: failed, FirstMillis: uint32(first.Milliseconds())}})
	l.stream.Close()
}

// acquire requests a lease of a model from an agent. It returns the lease, the
// agent's refusal, or an error if the agent can't be reached.
func acquire(ctx context.Context, node *wire.Node, s *server, request *wire.Acquire) (*lease, *wire.Refusal, error) {
	openCtx, cancel := context.WithTimeout(ctx, agentTimeout)
	stream, err := node.Open(openCtx, s.agent, s.internalAddress)
	cancel()
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	granted, refusal, err := awaitGrant(ctx, stream, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || refusal != nil {
		stream.Cancel()
		return nil, refusal, err
	}
	return granted, nil, nil
}

func awaitGrant(ctx context.Context, stream *wire.Stream, request *wire.Acquire) (*lease, *wire.Refusal, error) {
	if err := stream.Send(&wire.Frame{Acquire: request}); err != nil {
		return nil, nil, err
	}
	stream.SetReadDeadline(time.Now().Add(agentTimeout))
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
			// The request is queued at the agent, which enforces the deadline.
			deadline, _ := ctx.Deadline()
			stream.SetReadDeadline(deadline)
		default:
			return nil, nil, errUnexpectedFrame
		}
	}
}
