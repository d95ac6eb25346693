package gateway

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentTimeout limits the wait for the first frame of an agent, or of an entry that
// issues rate tokens, on a request.
const agentTimeout = 150 * time.Millisecond

// errUnexpectedFrame means that a peer sent a frame other than the expected ones.
var errUnexpectedFrame = errors.New("peer sent an unexpected frame")

// lease is the permission to use a model at a runner, or to send one request to a
// server with a rate limit, until release.
type lease struct {
	// isRateToken is set for the permission to send one request to a server with a
	// rate limit.
	isRateToken bool
	// stream is nil if this entry itself has issued the token.
	stream *wire.Stream
	// observe applies the rate limit named by the response if stream is nil.
	observe func(ratelimit.Limit)
}

// reportLimit reports the rate limit that the response to the request named. It
// does nothing on nil.
func (l *lease) reportLimit(limit ratelimit.Limit) {
	if l == nil {
		return
	}
	if l.stream == nil {
		l.observe(limit)
		return
	}
	// If the frame is lost, the next response reports the limit.
	_ = l.stream.Send(&wire.Frame{LimitObserved: &wire.LimitObserved{Limited: limit.Named, LimitPerSecond: limit.PerSecond}})
}

// release ends the lease and reports to the agent whether the runner failed at the
// request, and the time from the send to the response header, zero if there was
// none. It does nothing on nil, the lease at servers without agents.
func (l *lease) release(failed bool, first time.Duration) {
	if l == nil || l.stream == nil {
		return
	}
	// If the frame is lost, the agent still detects the end of the stream.
	_ = l.stream.Send(&wire.Frame{Released: &wire.Released{Failed: failed, FirstMillis: uint32(first.Milliseconds())}})
	l.stream.Close()
}

// acquire requests a lease of a model from an agent. It returns the lease, the
// agent's refusal, or an error if the agent can't be reached.
func acquire(ctx context.Context, node *wire.Node, s *server, request *wire.Acquire) (*lease, *wire.Refusal, error) {
	return requestLease(ctx, node, s.agent, s.internalAddress, &wire.Frame{Acquire: request})
}

// requestRateToken requests a rate token for a server with a rate limit from an entry. It
// returns the token, the entry's refusal, or an error if the entry can't be
// reached.
func requestRateToken(ctx context.Context, node *wire.Node, entry roster.Host, request *wire.RateTokenRequest) (*lease, *wire.Refusal, error) {
	token, refusal, err := requestLease(ctx, node, entry.ID, entry.InternalAddress, &wire.Frame{RateTokenRequest: request})
	if token != nil {
		token.isRateToken = true
	}
	return token, refusal, err
}

func requestLease(ctx context.Context, node *wire.Node, host, internalAddress string, request *wire.Frame) (*lease, *wire.Refusal, error) {
	openCtx, cancel := context.WithTimeout(ctx, agentTimeout)
	stream, err := node.Open(openCtx, host, internalAddress)
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

func awaitGrant(ctx context.Context, stream *wire.Stream, request *wire.Frame) (*lease, *wire.Refusal, error) {
	if err := stream.Send(request); err != nil {
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
