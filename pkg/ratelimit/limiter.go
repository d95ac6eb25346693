package ratelimit

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// fallbackShare is the share of a limit that a limiter issues while another one may
// issue tokens for the same server. Both together stay below one and a half times
// the limit.
const fallbackShare = 0.4

// Limiter issues the tokens of any number of backend servers to all hosts. It is
// safe for concurrent use. Use NewLimiter.
type Limiter struct {
	mu      sync.Mutex
	servers map[backpressure.Incarnation]*limitedServer
}

// limitedServer is the state of one server.
type limitedServer struct {
	record Record
	bucket Bucket
	usedAt time.Time
}

// NewLimiter returns a limiter of servers without limits.
func NewLimiter() *Limiter {
	return &Limiter{servers: make(map[backpressure.Incarnation]*limitedServer)}
}

// Request is a request for a token.
type Request struct {
	Server backpressure.Incarnation
	// Known is the last response that named a limit to the requesting host.
	Known Observation
	// Fallback is set if another limiter may issue tokens for the server.
	Fallback bool
}

// Decision is the response to a Request.
type Decision struct {
	Granted bool
	// RetryAfter is when a refused request may ask again.
	RetryAfter time.Duration
}

// Decide grants or refuses a token.
func (l *Limiter) Decide(now time.Time, request Request) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(now, request.Server)
	s.record.Observe(request.Known)
	limit := s.record.Limit()
	if request.Fallback {
		limit = limit.Scaled(fallbackShare)
	}
	if s.bucket.Take(now, limit) {
		return Decision{Granted: true}
	}
	return Decision{RetryAfter: s.bucket.ReturnAfter(now, limit)}
}

// Observe applies what the response to a request with a token names.
func (l *Limiter) Observe(now time.Time, server backpressure.Incarnation, o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server(now, server).record.Observe(o)
}

func (l *Limiter) server(now time.Time, id backpressure.Incarnation) *limitedServer {
	s := l.servers[id]
	if s == nil {
		s = &limitedServer{}
		l.servers[id] = s
	}
	s.usedAt = now
	return s
}

// Sweep removes the servers for which nobody has asked for some time.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		if now.Sub(s.usedAt) > recordRetention {
			delete(l.servers, id)
		}
	}
}
