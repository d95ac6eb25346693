// Package virtual provides the virtual time in which benches drive decision code.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with its pending events. It isn't safe for concurrent
// use.
type Clock struct {
	now     time.Time
	seq     int
	pending queue
}

// NewClock returns a clock that is set to now.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// At schedules do for a time. Events with the same time run in the order in which
// they were scheduled.
func (c *Clock) At(when time.Time, do func()) {
	c.seq++
	heap.Push(&c.pending, event{at: when, seq: c.seq, do: do})
}

// After schedules do after a duration.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.now.Add(d), do) }

// Run runs the pending events up to end in order, and then sets the clock to end.
func (c *Clock) Run(end time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(end) {
		next := heap.Pop(&c.pending).(event)
		if next.at.After(c.now) {
			c.now = next.at
		}
		next.do()
	}
	c.now = end
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
