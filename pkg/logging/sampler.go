package logging

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Sampler limits the rate of log lines about successful requests and counts the lines
// that it skips. It is safe for concurrent use. Use NewSampler.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler returns a sampler that allows a number of lines per second, with
// bursts of up to one second's worth.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow reports whether a line may be written now.
func (s *Sampler) Allow(now time.Time) bool {
	if s.limiter.AllowN(now, 1) {
		return true
	}
	s.skipped.Add(1)
	return false
}

// TakeSkipped returns the number of lines skipped since the last call.
func (s *Sampler) TakeSkipped() int64 { return s.skipped.Swap(0) }
