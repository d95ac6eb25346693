package loading

import (
	"math"
	"time"
)

// AdaptersInTransit is the number of adapters that the weight store sends at
// once at full speed, to all runners together.
const AdaptersInTransit = 32

// AdapterWindow bounds the adapters that one agent has in transit to its share
// of AdaptersInTransit. If there are more agents than the bound, each has one in
// transit at most and pauses after it. Use NewAdapterWindow.
type AdapterWindow struct {
	agents  int
	transit int
	nextAt  time.Time
}

// NewAdapterWindow returns the window of one of a number of agents.
func NewAdapterWindow(agents int) *AdapterWindow {
	return &AdapterWindow{agents: max(agents, 1)}
}

// SetAgents changes the number of agents that share the weight store.
func (w *AdapterWindow) SetAgents(agents int) { w.agents = max(agents, 1) }

// Share is the number of adapters that the agent may have in transit, rounded to
// the nearest: all agents together may exceed the bound by a third.
func (w *AdapterWindow) Share() int {
	return max((2*AdaptersInTransit+w.agents)/(2*w.agents), 1)
}

// Start takes a place in the window, which Done gives back. It returns false if
// none is free.
func (w *AdapterWindow) Start(now time.Time) bool {
	if w.transit >= w.Share() || now.Before(w.nextAt) {
		return false
	}
	w.transit++
	return true
}

// Done reports the end of an adapter's load.
func (w *AdapterWindow) Done(now time.Time, took time.Duration) {
	w.transit = max(w.transit-1, 0)
	pause := float64(w.agents)/AdaptersInTransit - 1
	if pause > 0 {
		w.nextAt = now.Add(time.Duration(math.Ceil(pause * float64(took))))
	}
}

// Wake returns when Start may succeed again, or the zero time if only Done can
// free a place.
func (w *AdapterWindow) Wake() time.Time {
	if w.transit >= w.Share() {
		return time.Time{}
	}
	return w.nextAt
}
