package logging

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Sampler bounds the lines about what went well. Lines that it leaves out are
// counted. It is safe for concurrent use. Use NewSampler.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler returns a sampler that lets a number of lines a second through, and
// a second's worth at once.
func NewSampler(perSecond int) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow tells whether a line may be written now.
func (s *Sampler) Allow(now time.Time) bool {
	if s.limiter.AllowN(now, 1) {
		return true
	}
	s.skipped.Add(1)
	return false
}

// TakeSkipped returns how many lines were left out since the last call.
func (s *Sampler) TakeSkipped() int64 { return s.skipped.Swap(0) }
