package eventloop

import "time"

// Throttle limits how often a loop runs some work. Calls within the minimum
// interval are combined into one later run. Its methods must be called on the loop.
type Throttle struct {
	// MinInterval is the minimum interval between two runs; zero means none.
	MinInterval time.Duration
	ranAt       time.Time
	// scheduled indicates that a later run is scheduled.
	scheduled bool
}

// Do runs the work immediately or after the minimum interval. The work must call
// Ran.
func (t *Throttle) Do(loop *Loop, now time.Time, work func()) {
	if t.scheduled {
		return
	}
	if wait := t.ranAt.Add(t.MinInterval).Sub(now); wait > 0 {
		t.scheduled = true
		time.AfterFunc(wait, func() { loop.Post(work) })
		return
	}
	work()
}

// Ran records that the work was done, whether started by Do or not.
func (t *Throttle) Ran(now time.Time) {
	t.scheduled = false
	t.ranAt = now
}
