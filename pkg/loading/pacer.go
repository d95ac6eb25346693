package loading

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

// StoreLimits are the weight store's limits for all agents together.
type StoreLimits struct {
	// StartsPerSecond is the maximum rate of load starts.
	StartsPerSecond float64
	// MaxConcurrent is the number of loads that run at full speed.
	MaxConcurrent int
}

// PendingLoad is a load that waits for its start.
type PendingLoad struct {
	Target engine.Target
	// Waiting is the number of requests that wait for the load.
	Waiting int
	// Deadline is the earliest deadline of these requests; the zero time means
	// none.
	Deadline time.Time
}

// Pacer spaces the loads of one agent.
type Pacer interface {
	// Add adds a load or updates a waiting one.
	Add(now time.Time, pendingLoad PendingLoad)
	// Remove removes a waiting load.
	Remove(target engine.Target)
	// Next returns a load to start now. It counts as running until Done.
	Next(now time.Time) (engine.Target, bool)
	// Done records the end of a load, its duration and its expected duration at
	// full speed.
	Done(now time.Time, target engine.Target, took, expected time.Duration)
	// Wake returns when Next may return a load, or the zero time if that requires
	// another event.
	Wake() time.Time
}

// pendingLoads are waiting loads in the order in which they were added.
type pendingLoads []PendingLoad

func (w *pendingLoads) put(pendingLoad PendingLoad) {
	for i := range *w {
		if (*w)[i].Target == pendingLoad.Target {
			(*w)[i] = pendingLoad
			return
		}
	}
	*w = append(*w, pendingLoad)
}

func (w *pendingLoads) remove(target engine.Target) {
	*w = slices.DeleteFunc(*w, func(have PendingLoad) bool { return have.Target == target })
}

// first returns the index of the load that starts first.
func (w pendingLoads) first() int {
	best := 0
	for i := range w {
		if startsBefore(w[i], w[best]) {
			best = i
		}
	}
	return best
}

// startsBefore reports whether a load starts before another one of the same agent:
// the earlier deadline decides, then the number of waiting requests.
func startsBefore(a, b PendingLoad) bool {
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return cmp.Compare(a.Waiting, b.Waiting) > 0
}

// pacerBase is the common part of the pacers: waiting and running loads and the
// earliest time of the next start.
type pacerBase struct {
	pendingLoads pendingLoads
	running      map[engine.Target]struct{}
	nextAt       time.Time
}

func newPacerBase() pacerBase {
	return pacerBase{running: map[engine.Target]struct{}{}}
}

// Add adds a load or updates a waiting one.
func (b *pacerBase) Add(_ time.Time, pendingLoad PendingLoad) {
	if _, ok := b.running[pendingLoad.Target]; ok {
		return
	}
	b.pendingLoads.put(pendingLoad)
}

// Remove removes a waiting load.
func (b *pacerBase) Remove(target engine.Target) {
	b.pendingLoads.remove(target)
}

// start returns the first load to start and marks it as running, if the interval
// and the limit on running loads allow it.
func (b *pacerBase) start(now time.Time, maxConcurrent int, interval time.Duration) (engine.Target, bool) {
	if len(b.pendingLoads) == 0 || len(b.running) >= maxConcurrent || now.Before(b.nextAt) {
		return engine.Target{}, false
	}
	target := b.pendingLoads[b.pendingLoads.first()].Target
	b.markRunning(target)
	b.nextAt = now.Add(interval)
	return target, true
}

func (b *pacerBase) markRunning(target engine.Target) {
	b.pendingLoads.remove(target)
	b.running[target] = struct{}{}
}

func (b *pacerBase) wakeAt(maxConcurrent int) time.Time {
	if len(b.pendingLoads) == 0 || len(b.running) >= maxConcurrent {
		return time.Time{}
	}
	return b.nextAt
}

// StaticPacer gives each agent a fixed share of the weight store's limits. It needs
// no communication.
type StaticPacer struct {
	pacerBase
	limits StoreLimits
	agents int
}

// NewStaticPacer returns a pacer for one agent, given the number of agents.
func NewStaticPacer(limits StoreLimits, agents int) *StaticPacer {
	return &StaticPacer{pacerBase: newPacerBase(), limits: limits, agents: max(agents, 1)}
}

// SetAgents changes the number of agents that share the weight store.
func (s *StaticPacer) SetAgents(agents int) { s.agents = max(agents, 1) }

func (s *StaticPacer) maxConcurrent() int {
	return max(s.limits.MaxConcurrent/s.agents, 1)
}

func (s *StaticPacer) interval() time.Duration {
	return durationOf(float64(s.agents) / s.limits.StartsPerSecond)
}

// Next implements Pacer.
func (s *StaticPacer) Next(now time.Time) (engine.Target, bool) {
	return s.start(now, s.maxConcurrent(), s.interval())
}

// Done implements Pacer.
func (s *StaticPacer) Done(_ time.Time, target engine.Target, _, _ time.Duration) {
	delete(s.running, target)
}

// Wake implements Pacer.
func (s *StaticPacer) Wake() time.Time { return s.wakeAt(s.maxConcurrent()) }
