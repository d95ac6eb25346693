package loading

import (
	"math"
	"time"
)

// AdaptersInTransit is the number of adapters that the weight store transfers
// concurrently at full speed, to all runners together.
const AdaptersInTransit = 32

// AdapterWindow limits the adapters that one agent has in transit to its share of
// AdaptersInTransit. If there are more agents than that, each agent has at most one
// in transit and waits after it. Use NewAdapterWindow.
type AdapterWindow struct {
	agents    int
	inTransit int
	nextAt    time.Time
}

// NewAdapterWindow returns the window of one agent, given the number of agents.
func NewAdapterWindow(agents int) *AdapterWindow {
	return &AdapterWindow{agents: max(agents, 1)}
}

// SetAgents changes the number of agents that share the weight store.
func (w *AdapterWindow) SetAgents(agents int) { w.agents = max(agents, 1) }

// Share is the number of adapters that the agent may have in transit. It is rounded
// to the nearest integer, so all agents together may exceed AdaptersInTransit by a
// third.
func (w *AdapterWindow) Share() int {
	return max((2*AdaptersInTransit+w.agents)/(2*w.agents), 1)
}

// Start reserves a transfer, which Done releases. It returns false if the window is
// full.
func (w *AdapterWindow) Start(now time.Time) bool {
	if w.inTransit >= w.Share() || now.Before(w.nextAt) {
		return false
	}
	w.inTransit++
	return true
}

// Done records the end of an adapter's transfer.
func (w *AdapterWindow) Done(now time.Time, took time.Duration) {
	w.inTransit = max(w.inTransit-1, 0)
	delay := float64(w.agents)/AdaptersInTransit - 1
	if delay > 0 {
		w.nextAt = now.Add(time.Duration(math.Ceil(delay * float64(took))))
	}
}

// Wake returns when Start may succeed again, or the zero time if only Done can make
// that possible.
func (w *AdapterWindow) Wake() time.Time {
	if w.inTransit >= w.Share() {
		return time.Time{}
	}
	return w.nextAt
}
