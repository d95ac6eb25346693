package callers

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minBufferBytes is the minimum memory, in bytes, for the bodies and buffered
	// responses of all requests.
	minBufferBytes = 48 << 20
	// maxResponseBytes bounds one buffered response, in bytes.
	maxResponseBytes = wire.MaxResponseBytes
)

var (
	errShuttingDown    = errors.New("shutting down")
	errTooManyRequests = errors.New("too many requests at once")
	errTooLarge        = errors.New("size exceeds its bound")
	errBodyTruncated   = errors.New("body broke off")
	errBuffersFull     = errors.New("buffers are full")
)

// planUsage limits and counts one plan's requests.
type planUsage struct {
	concurrencyLimiter
	completed atomic.Int64
	refused   atomic.Int64
}

// planLimiters holds a concurrency limiter and counters for each plan.
type planLimiters struct {
	usages sync.Map // plan name to *planUsage
}

func (p *planLimiters) usage(plan string) *planUsage {
	value, ok := p.usages.Load(plan)
	if !ok {
		value, _ = p.usages.LoadOrStore(plan, &planUsage{})
	}
	return value.(*planUsage)
}

// recordEnd counts the end of a plan's request.
func (p *planLimiters) recordEnd(plan string, completed bool) {
	if completed {
		p.usage(plan).completed.Add(1)
		return
	}
	p.usage(plan).refused.Add(1)
}

// acquire counts a request of the plan; zero means no limit.
func (p *planLimiters) acquire(plan string, limit int) (*concurrencyLimiter, error) {
	limiter := &p.usage(plan).concurrencyLimiter
	if err := limiter.acquire(int64(limit)); err != nil {
		return nil, err
	}
	return limiter, nil
}

// byteBudget limits the memory that all requests together reserve.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// boundedBuffer collects bytes up to a limit and within a budget.
type boundedBuffer struct {
	budget   *byteBudget
	limit    int64
	reserved int64
	buffer   bytes.Buffer
}

// Write implements io.Writer. It fails with errTooLarge or errBuffersFull.
func (b *boundedBuffer) Write(data []byte) (int, error) {
	n := int64(len(data))
	if b.reserved+n > b.limit {
		return 0, errTooLarge
	}
	if !b.budget.reserve(n) {
		return 0, errBuffersFull
	}
	b.reserved += n
	return b.buffer.Write(data)
}

func (b *boundedBuffer) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
