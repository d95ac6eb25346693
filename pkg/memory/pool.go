package memory

import (
	"errors"
	"sync"
	"time"
)

// ErrExhausted means that the budget has no room for a reservation.
var ErrExhausted = errors.New("memory budget exhausted")

// retryInterval is the time between two tries of a reservation that waits although nothing
// is released.
const retryInterval = 50 * time.Millisecond

// Pool is a Budget for concurrent use.
type Pool struct {
	// cutOff is called for each claim that was cut off.
	cutOff func()
	// wait is how long a reservation waits for room.
	wait time.Duration

	mu     sync.Mutex
	budget *Budget
	// released is closed when memory is released; nil if nobody waits.
	released chan struct{}
}

// NewPool returns a pool of which nothing is held. wait is how long a reservation waits for
// room; cutOff is called for each claim that was cut off, without a lock.
func NewPool(limits Limits, wait time.Duration, cutOff func()) *Pool {
	return &Pool{budget: NewBudget(limits), wait: wait, cutOff: cutOff}
}

// Open adds a claim that holds size bytes of kind Connection. It waits for at most wait.
// Its error is ErrExhausted.
func (p *Pool) Open(c *Claim, size int64, wait time.Duration) error {
	return p.await(wait, func(now time.Time) (bool, []*Claim) { return p.budget.Open(now, c, size) })
}

// Reserve adds n bytes to a claim, and waits for room. Its error is ErrExhausted.
func (p *Pool) Reserve(c *Claim, kind Kind, n int64) error {
	return p.await(p.wait, func(now time.Time) (bool, []*Claim) { return p.budget.Reserve(now, c, kind, n) })
}

// TryReserve is like Reserve without waiting.
func (p *Pool) TryReserve(c *Claim, kind Kind, n int64) error {
	return p.await(0, func(now time.Time) (bool, []*Claim) { return p.budget.Reserve(now, c, kind, n) })
}

// await tries until try succeeds or the wait is over.
func (p *Pool) await(wait time.Duration, try func(now time.Time) (bool, []*Claim)) error {
	started := time.Now()
	for now := started; ; now = time.Now() {
		granted, victims, released := p.try(now, try)
		if granted {
			return nil
		}
		for _, victim := range victims {
			if victim.CutOff() {
				p.cutOff()
			}
		}
		left := wait - now.Sub(started)
		if left <= 0 {
			return ErrExhausted
		}
		timer := time.NewTimer(min(left, retryInterval))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (p *Pool) try(now time.Time, try func(now time.Time) (bool, []*Claim)) (bool, []*Claim, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted, victims := try(now)
	if granted {
		return true, nil, nil
	}
	if p.released == nil {
		p.released = make(chan struct{})
	}
	return false, victims, p.released
}

// Release removes n bytes from a claim.
func (p *Pool) Release(c *Claim, kind Kind, n int64) {
	p.release(func() { p.budget.Release(c, kind, n) })
}

// EndRequest removes what a claim holds for a request.
func (p *Pool) EndRequest(c *Claim) { p.release(func() { p.budget.EndRequest(c) }) }

// Close removes a claim.
func (p *Pool) Close(c *Claim) { p.release(func() { p.budget.Close(c) }) }

func (p *Pool) release(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

// Held returns the bytes held of each kind, and the number of claims.
func (p *Pool) Held() (bytes map[Kind]int64, claims int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes = make(map[Kind]int64, kinds)
	for _, kind := range Kinds {
		bytes[kind] = p.budget.Held(kind)
	}
	return bytes, p.budget.Claims()
}
