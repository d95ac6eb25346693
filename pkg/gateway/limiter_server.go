package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// limiterServer issues the rate tokens for servers with a rate limit to all
// entries.
type limiterServer struct {
	limiter *ratelimit.Limiter
	control *control
}

// serve responds to another entry's request for a rate token, and receives which
// limit the response to the caller's request named.
func (s *limiterServer) serve(stream *wire.Stream, request *wire.RateTokenRequest) {
	now := time.Now()
	decided := s.decide(now, requestOf(now, request))
	if !decided.Granted {
		_ = stream.Send(&wire.Frame{Refusal: &wire.Refusal{
			Outcome:          wire.OutcomeNotRun,
			Reason:           wire.ReasonRate,
			RetryAfterMillis: uint32(decided.RetryAfter.Milliseconds()),
		}})
		return
	}
	if err := stream.Send(&wire.Frame{Granted: &wire.Granted{}}); err != nil {
		return
	}
	server := backpressure.Incarnation{ID: request.Server, StartedAtMillis: request.StartedAtMillis}
	for {
		frame, err := stream.Receive()
		if err != nil || frame.Released != nil {
			return
		}
		if observed := frame.LimitObserved; observed != nil {
			s.observe(server, now, ratelimit.Limit{Named: observed.Limited, PerSecond: observed.LimitPerSecond})
		}
	}
}

// decide grants or refuses a token. While an agent is known to grant leases of the
// server, this entry's tokens come in addition to them.
func (s *limiterServer) decide(now time.Time, request ratelimit.Request) ratelimit.Decision {
	request.Fallback = request.Fallback || s.hasActiveAgent(now, request.Server)
	return s.limiter.Decide(now, request)
}

// observe applies the limit that the response to a request named. grantedAt is when
// its token was granted.
func (s *limiterServer) observe(server backpressure.Incarnation, grantedAt time.Time, limit ratelimit.Limit) {
	now := time.Now()
	s.limiter.Observe(now, server, ratelimit.Observation{Limit: limit, SentAt: grantedAt, ReceivedAt: now})
}

func (s *limiterServer) hasActiveAgent(now time.Time, server backpressure.Incarnation) bool {
	for _, servers := range s.control.current().servers {
		for _, known := range servers {
			if known.incarnation() == server {
				return known.agent != "" && known.hasFreshStatus(now)
			}
		}
	}
	return false
}

// requestOf decodes a request that arrived now.
func requestOf(now time.Time, request *wire.RateTokenRequest) ratelimit.Request {
	namedAt := now.Add(-time.Duration(request.NamedAgeMillis) * time.Millisecond)
	return ratelimit.Request{
		Server:   backpressure.Incarnation{ID: request.Server, StartedAtMillis: request.StartedAtMillis},
		Known:    ratelimit.Observation{Limit: ratelimit.PerSecond(request.LimitPerSecond), SentAt: namedAt, ReceivedAt: namedAt},
		Fallback: request.Fallback,
	}
}
