package loading

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

// StoreLimits are the weight store's limits for all agents together.
type StoreLimits struct {
	// StartsPerSecond is the rate of load starts.
	StartsPerSecond float64
	// MaxConcurrent is the number of loads that run at full speed.
	MaxConcurrent int
}

// PendingLoad is a load that waits for its start.
type PendingLoad struct {
	Target engine.Target
	// Waiting is the number of requests that wait for the load.
	Waiting int
	// Deadline is that of the most urgent of them; the zero time means none.
	Deadline time.Time
}

// Pacer spaces the loads of one agent.
type Pacer interface {
	// Add adds a load or updates a waiting one.
	Add(now time.Time, want PendingLoad)
	// Remove removes a waiting load.
	Remove(target engine.Target)
	// Next hands out a load to start now. It counts as running until Done.
	Next(now time.Time) (engine.Target, bool)
	// Done reports the end of a load, how long it took and how long it should
	// take at full speed.
	Done(now time.Time, target engine.Target, took, expected time.Duration)
	// Wake returns when Next may have a load, or the zero time if only another
	// event can bring one.
	Wake() time.Time
}

// wants are waiting loads in the order in which they were first wanted.
type wants []PendingLoad

func (w *wants) put(want PendingLoad) {
	for i := range *w {
		if (*w)[i].Target == want.Target {
			(*w)[i] = want
			return
		}
	}
	*w = append(*w, want)
}

func (w *wants) drop(target engine.Target) {
	*w = slices.DeleteFunc(*w, func(have PendingLoad) bool { return have.Target == target })
}

// first returns the place of the most urgent load.
func (w wants) first() int {
	best := 0
	for i := range w {
		if moreUrgent(w[i], w[best]) {
			best = i
		}
	}
	return best
}

// moreUrgent orders loads of one agent by deadline and then by waiting requests.
func moreUrgent(a, b PendingLoad) bool {
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return cmp.Compare(a.Waiting, b.Waiting) > 0
}

// local is the part that the pacers have in common: waiting and running loads
// and the earliest time of the next start.
type local struct {
	wants   wants
	running map[engine.Target]struct{}
	nextAt  time.Time
}

func newLocal() local {
	return local{running: map[engine.Target]struct{}{}}
}

// Add adds a load or updates a waiting one.
func (l *local) Add(_ time.Time, want PendingLoad) {
	if _, ok := l.running[want.Target]; ok {
		return
	}
	l.wants.put(want)
}

// Remove removes a waiting load.
func (l *local) Remove(target engine.Target) {
	l.wants.drop(target)
}

// start hands out the most urgent load if the spacing and the bound of running
// loads allow it.
func (l *local) start(now time.Time, atOnce int, interval time.Duration) (engine.Target, bool) {
	if len(l.wants) == 0 || len(l.running) >= atOnce || now.Before(l.nextAt) {
		return engine.Target{}, false
	}
	target := l.wants[l.wants.first()].Target
	l.begin(target)
	l.nextAt = now.Add(interval)
	return target, true
}

func (l *local) begin(target engine.Target) {
	l.wants.drop(target)
	l.running[target] = struct{}{}
}

func (l *local) wake(atOnce int) time.Time {
	if len(l.wants) == 0 || len(l.running) >= atOnce {
		return time.Time{}
	}
	return l.nextAt
}

// StaticPacer gives each agent a fixed share of the weight store. It needs no talk.
type StaticPacer struct {
	local
	limits StoreLimits
	agents int
}

// NewStaticPacer returns a pacer for one of a number of agents.
func NewStaticPacer(limits StoreLimits, agents int) *StaticPacer {
	return &StaticPacer{local: newLocal(), limits: limits, agents: max(agents, 1)}
}

// SetAgents changes the number of agents that share the weight store.
func (s *StaticPacer) SetAgents(agents int) { s.agents = max(agents, 1) }

func (s *StaticPacer) atOnce() int {
	return max(s.limits.MaxConcurrent/s.agents, 1)
}

func (s *StaticPacer) interval() time.Duration {
	return durationOf(float64(s.agents) / s.limits.StartsPerSecond)
}

// Next implements Pacer.
func (s *StaticPacer) Next(now time.Time) (engine.Target, bool) {
	return s.start(now, s.atOnce(), s.interval())
}

// Done implements Pacer.
func (s *StaticPacer) Done(_ time.Time, target engine.Target, _, _ time.Duration) {
	delete(s.running, target)
}

// Wake implements Pacer.
func (s *StaticPacer) Wake() time.Time { return s.wake(s.atOnce()) }
