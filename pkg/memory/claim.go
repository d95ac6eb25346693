package memory

import (
	"sync/atomic"
	"time"
)

// minProgressBytes is how much a caller must send or take for it to count as progress, in
// bytes.
const minProgressBytes = 1 << 10

// Claim is what one connection holds. Its own methods are safe for concurrent use, but
// SetWaiting and cut exclude each other.
type Claim struct {
	// held and total belong to the budget.
	held  [kinds]int64
	total int64

	// cut cuts the connection off if it still waits for its caller, and reports whether
	// it did. The claim is closed soon after.
	cut func() bool
	// waits is set while the connection waits for its caller.
	waits atomic.Bool
	// progressAt is the time of the last progress, in nanoseconds since 1970; moved are
	// the bytes since then.
	progressAt atomic.Int64
	moved      atomic.Int64
	cutOff     atomic.Bool
}

// NewClaim returns a claim that holds nothing and waits for its caller.
func NewClaim(now time.Time, cut func() bool) *Claim {
	c := &Claim{cut: cut}
	c.progressAt.Store(now.UnixNano())
	c.waits.Store(true)
	return c
}

// SetWaiting records whether the connection waits for its caller from now on. It returns
// what was recorded before.
func (c *Claim) SetWaiting(now time.Time, waits bool) (before bool) {
	before = c.waits.Load()
	if waits && !before {
		c.moved.Store(0)
		c.progressAt.Store(now.UnixNano())
	}
	c.waits.Store(waits)
	return before
}

// Waits reports whether the connection waits for its caller.
func (c *Claim) Waits() bool { return c.waits.Load() }

// Moved records bytes that the caller sent or took.
func (c *Claim) Moved(now time.Time, n int) {
	if c.moved.Add(int64(n)) >= minProgressBytes {
		c.moved.Store(0)
		c.progressAt.Store(now.UnixNano())
	}
}

// CutOff cuts the connection off if it waits for its caller, and reports whether it did.
func (c *Claim) CutOff() bool {
	if !c.cutOff.CompareAndSwap(false, true) {
		return false
	}
	if c.cut() {
		return true
	}
	c.cutOff.Store(false)
	return false
}

// Resume undoes a cut, as the connection goes on.
func (c *Claim) Resume() { c.cutOff.Store(false) }

func (c *Claim) isCutOff() bool { return c.cutOff.Load() }

// Stall returns the time without progress; zero if the connection doesn't wait for its
// caller.
func (c *Claim) Stall(now time.Time) time.Duration {
	if !c.waits.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, c.progressAt.Load()))
}
