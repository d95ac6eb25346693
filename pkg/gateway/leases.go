package gateway

import (
	"context"
	"errors"
	"math"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

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
	// eventInterval is the mean interval between the events of the stream; zero if there
	// were too few.
	eventInterval time.Duration
	// begun is set if the caller has an event of the stream that the request is for.
	begun bool
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

// isModelLease reports whether the lease is one of a model. It may be called on nil.
func (l *lease) isModelLease() bool { return l != nil && !l.isRateToken && l.stream != nil }

// setBegun sets whether the caller has an event of the stream that the request is for. It
// does nothing on nil.
func (l *lease) setBegun(begun bool) {
	if l != nil {
		l.begun = begun
	}
}

// setEventInterval sets the mean interval between the events of the stream. It does nothing
// on nil.
func (l *lease) setEventInterval(interval time.Duration) {
	if l != nil {
		l.eventInterval = interval
	}
}

// release ends the lease and reports to the agent whether the runner failed at the
// request, and the time from the send to the response header, zero if there was
// none. It does nothing on nil, the lease at servers without agents.
func (l *lease) release(failed bool, first time.Duration) {
	if l == nil || l.stream == nil {
		return
	}
	// If the frame is lost, the agent still detects the end of the stream.
	_ = l.stream.Send(&wire.Frame{Released: &wire.Released{
		Failed:      failed,
		FirstMillis: uint32(first.Milliseconds()),
		Begun:       l.begun,
		EventMicros: uint32(min(l.eventInterval.Microseconds(), math.MaxUint32)),
	}})
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

// leaseResult is the result of requesting a lease.
type leaseResult uint8

const (
	// leaseUnavailable: the runner can't be used.
	leaseUnavailable leaseResult = iota
	// leaseAcquired: the runner may be used.
	leaseAcquired
	// leaseSwitched: another runner can serve the request sooner.
	leaseSwitched
	// leaseDelayed: the server's rate limit allows no request from this host yet.
	leaseDelayed
	// leaseOutdated: the runner was restarted, and this entry's view of it is out of date.
	leaseOutdated
)

// acquireLease acquires a lease of the request's model. If the agent does not
// respond, a runner that has the model loaded is used without a lease, with a rate
// token if it names a limit, unless the request requires one of several versions of the
// software: only the agent knows which incarnation of the runner serves.
func (x *exchange) acquireLease(ctx context.Context, s *server) (*lease, leaseResult) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.handler.queued, cancel)
	defer stop()
	watcher := x.watchForBetter(s, cancel)
	requestedAt := time.Now()
	granted, refusal, err := acquire(waitCtx, x.handler.node.Load(), s, x.acquireFrame(requestedAt, s))
	switched := watcher.finish()
	waited := time.Since(requestedAt)
	switch {
	case err != nil && switched:
		x.countedAsDemand = true
		x.handler.observer.metrics.LeaseWait(leaseAbandoned, waited)
		x.logger.Info("lease request cancelled for a better runner", "agent", s.agent, "backend", s.ID, "waited_ms", waited.Milliseconds())
		return nil, leaseSwitched
	case err != nil:
		if waitCtx.Err() != nil {
			return nil, leaseUnavailable
		}
		x.handler.observer.metrics.LeaseWait(leaseAgentTimeout, waited)
		runnerAlive := isProcessDown(err) || x.handler.tracker.AgentUnresponsive(time.Now(), s.ID)
		x.logger.Info("agent not responding", "agent", s.agent, "backend", s.ID, "runner_lives", runnerAlive,
			"waited_ms", waited.Milliseconds(), "error", err)
		if x.software != "" && !x.isOnlySoftware(time.Now()) {
			return nil, unansweredResult(err)
		}
		known := s.model(x.caller.Model)
		if runnerAlive && known != nil && known.State == wire.ModelLoaded {
			return x.acquireRateToken(ctx, s)
		}
		return nil, leaseUnavailable
	case refusal != nil:
		x.countedAsDemand = true
		x.declined = x.declined || isDeclined(refusal.Reason)
		x.retryAfter = time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		x.handler.observer.metrics.LeaseWait(string(refusal.Reason), waited)
		x.logger.Info("lease refused", "agent", s.agent, "backend", s.ID, "reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfterMillis, "waited_ms", waited.Milliseconds(), "status_age_ms", s.statusAge(requestedAt).Milliseconds())
		if refusal.Reason == wire.ReasonReplaced {
			return nil, leaseOutdated
		}
		return nil, leaseUnavailable
	default:
		x.handler.observer.metrics.LeaseWait(leaseGranted, waited)
		x.leaseWait = time.Since(x.arrived)
		x.countedAsDemand = true
		return granted, leaseAcquired
	}
}

// unansweredResult is the result of requesting a lease from an agent that doesn't respond,
// if nothing may be sent without one. One whose process has ended may have started again.
func unansweredResult(err error) leaseResult {
	if isProcessDown(err) {
		return leaseOutdated
	}
	return leaseUnavailable
}

// isDeclined reports whether a refusal means that the runner can't serve the
// request in time, rather than that it is out of service.
func isDeclined(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonDeadline, wire.ReasonNoMemory, wire.ReasonQueueFull, wire.ReasonRate:
		return true
	default:
		return false
	}
}

// leaseGranted, leaseAgentTimeout and leaseAbandoned are the results of lease
// requests in metrics, in addition to the reasons of refusals.
const (
	leaseGranted      = "granted"
	leaseAgentTimeout = "silent"
	leaseAbandoned    = "left"
)

// isProcessDown reports whether the agent's host responded that the process isn't
// running, so that only the agent is down and not the host.
func isProcessDown(err error) bool {
	var reset *quic.StatelessResetError
	return errors.As(err, &reset) || errors.Is(err, syscall.ECONNREFUSED)
}

func (x *exchange) acquireFrame(now time.Time, s *server) *wire.Acquire {
	return &wire.Acquire{
		RequestID:      x.caller.RequestID,
		Model:          x.caller.Model,
		Adapter:        x.caller.Adapter,
		Route:          x.route.Name,
		Priority:       x.priority(),
		DeadlineMillis: remainingMillis(now, x.deadline),
		StartMillis:    remainingMillis(now, x.startDeadline()),
		TargetMillis:   uint32(x.route.TargetLatency.Milliseconds()),
		PromptTokens:   int64(x.caller.PromptTokens),
		Tokens:         int64(x.caller.PromptTokens) + outputTokenCost*int64(x.caller.MaxOutputTokens),
		Repeated:       x.countedAsDemand,
		Stream:         x.streamAttempt(now, s),
	}
}

// outputTokenCost is the cost of an output token in prompt tokens.
const outputTokenCost = 10

func remainingMillis(now, until time.Time) uint32 {
	return uint32(max(until.Sub(now).Milliseconds(), 0))
}
