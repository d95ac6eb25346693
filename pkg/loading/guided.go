package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Fallback is how a Guided pacer goes on without its coordinator.
type Fallback uint8

// The fallbacks.
const (
	// FallbackStatic paces as Split does.
	FallbackStatic Fallback = iota
	// FallbackPosition starts each load at the time at which its last known
	// position would have been reached, so that the order outlives the
	// coordinator without any message. The idea that a waiter's own position
	// preserves the order across a failure is from Sopena, Arantes, Bertier and
	// Sens, "A fault-tolerant token-based mutual exclusion algorithm using a
	// dynamic tree".
	FallbackPosition
)

// lostRetry is how long a load waits before it asks again after no answer came.
const lostRetry = 500 * time.Millisecond

// guidedLoad is what a Guided pacer knows of a waiting load.
type guidedLoad struct {
	granted bool
	asking  bool
	// askAt is when to ask next.
	askAt time.Time
	// position and heardAt are the coordinator's last word; heardAt is zero
	// before any.
	position int
	heardAt  time.Time
	// lostAt is when the coordinator was first found silent, or zero.
	lostAt time.Time
}

// CoordinatedPacer asks a coordinator for its starts and falls back on its own when the
// coordinator is silent. The caller sends what Ask returns and reports the
// answer by Slot or Lost.
type CoordinatedPacer struct {
	local
	limits   StoreLimits
	agents   int
	fallback Fallback
	loads    map[engine.Target]*guidedLoad
	meanLoad time.Duration
}

// NewCoordinatedPacer returns a pacer for one of a number of agents.
func NewCoordinatedPacer(limits StoreLimits, agents int, fallback Fallback) *CoordinatedPacer {
	return &CoordinatedPacer{
		local:    newLocal(),
		limits:   limits,
		agents:   max(agents, 1),
		fallback: fallback,
		loads:    map[engine.Target]*guidedLoad{},
		meanLoad: initialLoad,
	}
}

// SetAgents changes the number of agents that share the weight store.
func (g *CoordinatedPacer) SetAgents(agents int) { g.agents = max(agents, 1) }

// Add implements Pacer.
func (g *CoordinatedPacer) Add(now time.Time, want PendingLoad) {
	if _, ok := g.running[want.Target]; ok {
		return
	}
	g.local.Add(now, want)
	if g.loads[want.Target] == nil {
		g.loads[want.Target] = &guidedLoad{askAt: now}
	}
}

// Remove implements Pacer.
func (g *CoordinatedPacer) Remove(target engine.Target) {
	g.local.Remove(target)
	delete(g.loads, target)
}

// NextRequest returns a load to ask the coordinator for. It must be followed by Slot or
// Lost for the load.
func (g *CoordinatedPacer) NextRequest(now time.Time) (PendingLoad, bool) {
	for _, want := range g.wants {
		load := g.loads[want.Target]
		if load.asking || load.granted || now.Before(load.askAt) {
			continue
		}
		load.asking = true
		return want, true
	}
	return PendingLoad{}, false
}

// GrantReceived takes in the coordinator's answer. If it returns false, the answer grants
// a start that isn't wanted any more; the caller reports it as done.
func (g *CoordinatedPacer) GrantReceived(now time.Time, target engine.Target, slot wire.LoadGrant) bool {
	load := g.loads[target]
	if load == nil {
		return slot.WaitMillis != 0
	}
	load.asking = false
	load.lostAt = time.Time{}
	load.heardAt = now
	load.position = slot.Position
	load.askAt = now.Add(time.Duration(slot.WaitMillis) * time.Millisecond)
	load.granted = slot.WaitMillis == 0
	return true
}

// RequestFailed tells that the coordinator didn't answer for a load. It is asked again
// later; meanwhile the fallback decides.
func (g *CoordinatedPacer) RequestFailed(now time.Time, target engine.Target) {
	load := g.loads[target]
	if load == nil {
		return
	}
	load.asking = false
	load.askAt = now.Add(lostRetry)
	if load.lostAt.IsZero() {
		load.lostAt = now
	}
}

// Next implements Pacer.
func (g *CoordinatedPacer) Next(now time.Time) (engine.Target, bool) {
	for _, want := range g.wants {
		if g.loads[want.Target].granted {
			return g.launch(now, want.Target), true
		}
	}
	return g.nextAlone(now)
}

// nextAlone hands out a load without the coordinator's word.
func (g *CoordinatedPacer) nextAlone(now time.Time) (engine.Target, bool) {
	if len(g.running) >= g.aloneAtOnce() {
		return engine.Target{}, false
	}
	for _, want := range g.wants {
		load := g.loads[want.Target]
		if load.lostAt.IsZero() || now.Before(g.aloneAt(load)) {
			continue
		}
		return g.launch(now, want.Target), true
	}
	return engine.Target{}, false
}

func (g *CoordinatedPacer) launch(now time.Time, target engine.Target) engine.Target {
	g.begin(target)
	delete(g.loads, target)
	g.nextAt = now.Add(g.splitInterval())
	return target
}

func (g *CoordinatedPacer) aloneAtOnce() int {
	return max(g.limits.MaxConcurrent/g.agents, 1)
}

func (g *CoordinatedPacer) splitInterval() time.Duration {
	return durationOf(float64(g.agents) / g.limits.StartsPerSecond)
}

// aloneAt is when a load may start without the coordinator.
func (g *CoordinatedPacer) aloneAt(load *guidedLoad) time.Time {
	if g.fallback == FallbackPosition && !load.heardAt.IsZero() {
		spacing := max(1/g.limits.StartsPerSecond, g.meanLoad.Seconds()/float64(max(g.limits.MaxConcurrent, 1)))
		return load.heardAt.Add(durationOf(float64(load.position+1) * spacing))
	}
	if g.nextAt.After(load.lostAt) {
		return g.nextAt
	}
	return load.lostAt
}

// Done implements Pacer.
func (g *CoordinatedPacer) Done(_ time.Time, target engine.Target, took, _ time.Duration) {
	delete(g.running, target)
	if took > 0 {
		g.meanLoad += time.Duration(loadSmoothing * float64(took-g.meanLoad))
	}
}

// Wake returns when Ask or Next may have work, or the zero time.
func (g *CoordinatedPacer) Wake() time.Time {
	var first time.Time
	for _, load := range g.loads {
		at := g.wakeOf(load)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (g *CoordinatedPacer) wakeOf(load *guidedLoad) time.Time {
	if load.granted {
		return load.heardAt
	}
	var at time.Time
	if !load.asking {
		at = load.askAt
	}
	if load.lostAt.IsZero() || len(g.running) >= g.aloneAtOnce() {
		return at
	}
	if alone := g.aloneAt(load); at.IsZero() || alone.Before(at) {
		return alone
	}
	return at
}
