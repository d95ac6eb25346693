package gateway

import (
	"context"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// limitersPerServer is the number of entries that may issue rate tokens for a
	// server, so that another one is available if the first one fails.
	limitersPerServer = 2
	// limiterRetryInterval is how long an entry that didn't respond to a request for
	// a rate token isn't asked.
	limiterRetryInterval = 2 * time.Second
	// noLimiterRetryAfter is how long a server with a limit is not used if no entry
	// issues rate tokens for it.
	noLimiterRetryAfter = 500 * time.Millisecond
)

// The results of requests for rate tokens in metrics.
const (
	rateTokenGranted = "granted"
	rateTokenRefused = "refused"
	rateTokenTimeout = "silent"
)

// limiterClient requests rate tokens for servers with a rate limit. For each server,
// all entries ask the same two entries, in the same order. It is safe for
// concurrent use.
type limiterClient struct {
	self   string
	server *limiterServer

	mu sync.Mutex
	// avoidUntil holds the entries that didn't respond.
	avoidUntil map[string]time.Time
}

func newLimiterClient(self string, c *control) *limiterClient {
	return &limiterClient{
		self:       self,
		server:     &limiterServer{limiter: ratelimit.NewLimiter(), control: c},
		avoidUntil: make(map[string]time.Time),
	}
}

// limiterEntries returns the entries that issue rate tokens for a server, in an order
// that all entries agree on.
func limiterEntries(hosts map[string]roster.Host, server string) []roster.Host {
	var ids []string
	for id, host := range hosts {
		if host.Role == keys.RoleEntry {
			ids = append(ids, id)
		}
	}
	ranked := membership.RendezvousRank(server, ids)
	entries := make([]roster.Host, min(len(ranked), limitersPerServer))
	for i := range entries {
		entries[i] = hosts[ranked[i]]
	}
	return entries
}

func (c *limiterClient) isAvoided(now time.Time, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.avoidUntil[host])
}

func (c *limiterClient) avoid(now time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[host] = now.Add(limiterRetryInterval)
}

// request requests a rate token from an entry.
func (c *limiterClient) request(ctx context.Context, node *wire.Node, entry roster.Host, request *wire.RateTokenRequest) (*lease, *wire.Refusal, error) {
	if entry.ID != c.self {
		return requestRateToken(ctx, node, entry, request)
	}
	now := time.Now()
	asked := requestOf(now, request)
	decided := c.server.decide(now, asked)
	if !decided.Granted {
		return nil, &wire.Refusal{Reason: wire.ReasonRate, RetryAfterMillis: uint32(decided.RetryAfter.Milliseconds())}, nil
	}
	return &lease{isRateToken: true, observe: func(limit ratelimit.Limit) { c.server.observe(asked.Server, now, limit) }}, nil, nil
}

// knownLimit returns the rate limit of a server and when it was last named: by its
// responses to this host, or by its agent.
func (x *exchange) knownLimit(now time.Time, s *server) (ratelimit.Limit, time.Time) {
	limit, namedAt := x.handler.limits.Known(s.incarnation())
	if reported := s.reportedLimit(); !limit.Named && reported.Named {
		return reported, now.Add(-s.statusAge(now))
	}
	return limit, namedAt
}

// acquireRateToken acquires a rate token if the server names a rate limit.
func (x *exchange) acquireRateToken(ctx context.Context, s *server) (*lease, leaseResult) {
	now := time.Now()
	limit, namedAt := x.knownLimit(now, s)
	if !limit.Named {
		return nil, leaseAcquired
	}
	request := &wire.RateTokenRequest{
		Server:          s.ID,
		StartedAtMillis: s.StartedAtMillis,
		LimitPerSecond:  limit.PerSecond,
		NamedAgeMillis:  uint32(max(now.Sub(namedAt), 0).Milliseconds()),
	}
	for rank, entry := range limiterEntries(x.handler.control.current().hosts, s.ID) {
		if x.handler.node.Load() == nil || x.handler.limiters.isAvoided(now, entry.ID) {
			continue
		}
		request.Fallback = rank > 0
		granted, result := x.askLimiter(ctx, s, entry, request)
		if result != leaseUnavailable || ctx.Err() != nil {
			return granted, result
		}
	}
	x.delay(s, noLimiterRetryAfter, rateTokenTimeout, "", request)
	return nil, leaseDelayed
}

// askLimiter requests a rate token from one entry. The result is leaseUnavailable if
// the entry doesn't respond.
func (x *exchange) askLimiter(ctx context.Context, s *server, entry roster.Host, request *wire.RateTokenRequest) (*lease, leaseResult) {
	h := x.handler
	granted, refusal, err := h.limiters.request(ctx, h.node.Load(), entry, request)
	switch {
	case ctx.Err() != nil:
		granted.release(false, 0)
		return nil, leaseUnavailable
	case err != nil:
		h.limiters.avoid(time.Now(), entry.ID)
		h.observer.metrics.RateToken(rateTokenTimeout)
		x.logger.Warn("entry that issues rate tokens not responding", "entry", entry.ID, "backend", s.ID, "error", err)
		return nil, leaseUnavailable
	case refusal != nil:
		x.delay(s, time.Duration(refusal.RetryAfterMillis)*time.Millisecond, rateTokenRefused, entry.ID, request)
		return nil, leaseDelayed
	default:
		h.observer.metrics.RateToken(rateTokenGranted)
		x.rateTokens++
		return granted, leaseAcquired
	}
}

// delay records that a server accepts no request from this host for some time.
func (x *exchange) delay(s *server, after time.Duration, outcome, entry string, request *wire.RateTokenRequest) {
	x.handler.gate.RecordRejection(time.Now(), s.incarnation(), after)
	x.handler.observer.metrics.RateToken(outcome)
	x.logger.Info("rate token refused", "backend", s.ID, "outcome", outcome, "entry", entry, "fallback", request.Fallback,
		"limit_per_s", request.LimitPerSecond, "limit_age_ms", request.NamedAgeMillis, "retry_after_ms", after.Milliseconds())
}

// reportLimit reports the rate limit that a response named to the process that
// granted the lease or the token, if it names one or the server had one.
func (x *exchange) reportLimit(s *server, granted *lease, response *forward.Response) {
	if response.Info.InvalidLimit != "" {
		return
	}
	limit := response.Info.Limit
	if limit.Named || s.reportedLimit().Named || (granted != nil && granted.isRateToken) {
		granted.reportLimit(limit)
	}
}
