package callers

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minBufferBytes is the least memory for bodies and whole answers of all
	// requests, in bytes.
	minBufferBytes = 48 << 20
	// maxAnswerBytes bounds one whole answer, in bytes.
	maxAnswerBytes = wire.MaxResponseBytes
)

var (
	errGateClosed  = errors.New("shutting down")
	errGateFull    = errors.New("too many requests at once")
	errTooLarge    = errors.New("size exceeds its bound")
	errBodyBroken  = errors.New("body broke off")
	errBuffersFull = errors.New("buffers are full")
)

// planUse counts one plan's requests.
type planUse struct {
	gate
	answered atomic.Int64
	refused  atomic.Int64
}

// planGates holds a gate and counts for each plan.
type planGates struct {
	uses sync.Map // plan name to *planUse
}

func (p *planGates) use(plan string) *planUse {
	value, ok := p.uses.Load(plan)
	if !ok {
		value, _ = p.uses.LoadOrStore(plan, &planUse{})
	}
	return value.(*planUse)
}

// done counts the end of a plan's request.
func (p *planGates) done(plan string, answered bool) {
	if answered {
		p.use(plan).answered.Add(1)
		return
	}
	p.use(plan).refused.Add(1)
}

// enter counts a request of the plan; a limit of zero admits all.
func (p *planGates) enter(plan string, limit int) (*gate, error) {
	g := &p.use(plan).gate
	if err := g.enter(int64(limit)); err != nil {
		return nil, err
	}
	return g, nil
}

// byteBudget bounds the memory that requests hold together.
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
