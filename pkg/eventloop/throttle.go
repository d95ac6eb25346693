package eventloop

import "time"

// Throttle spaces a piece of work of a loop. Calls that come too soon share one run
// that follows. Its methods are called on the loop.
type Throttle struct {
	// Pause is the least time between two runs; zero means none.
	Pause time.Duration
	ranAt time.Time
	// due tells that a run follows.
	due bool
}

// Do runs the work at once or when the pause is over. The work calls Ran.
func (t *Throttle) Do(loop *Loop, now time.Time, work func()) {
	if t.due {
		return
	}
	if wait := t.ranAt.Add(t.Pause).Sub(now); wait > 0 {
		t.due = true
		time.AfterFunc(wait, func() { loop.Post(work) })
		return
	}
	work()
}

// Ran notes that the work was done, by Do or without it.
func (t *Throttle) Ran(now time.Time) {
	t.due = false
	t.ranAt = now
}
