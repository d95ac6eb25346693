package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Fallback is how a CoordinatedPacer continues without its coordinator.
type Fallback uint8

// The fallbacks.
const (
	// FallbackStatic paces as StaticPacer does.
	FallbackStatic Fallback = iota
	// FallbackPosition starts each load when its last known position would have been
	// reached, so that the order is preserved without the coordinator and without any
	// messages. The idea that a waiter's own position preserves the order across a
	// failure is from Sopena, Arantes, Bertier and Sens, "A fault-tolerant token-based
	// mutual exclusion algorithm using a dynamic tree".
	FallbackPosition
)

// requestRetryDelay is how long a load waits after a failed request before the next
// one.
const requestRetryDelay = 500 * time.Millisecond

// coordinatedLoad is the state of a waiting load.
type coordinatedLoad struct {
	granted   bool
	requested bool
	// requestAt is when to send the next request.
	requestAt time.Time
	// position and respondedAt are from the coordinator's last response; respondedAt is
	// zero before any.
	position    int
	respondedAt time.Time
	// unresponsiveSince is the first failed request since the last response, or zero.
	unresponsiveSince time.Time
}

// CoordinatedPacer requests its starts from a coordinator and uses a fallback while
// the coordinator is unresponsive. The caller sends the requests that NextRequest
// returns and reports the outcome by GrantReceived or RequestFailed.
type CoordinatedPacer struct {
	pacerBase
	limits   StoreLimits
	agents   int
	fallback Fallback
	loads    map[engine.Target]*coordinatedLoad
	meanLoad time.Duration
}

// NewCoordinatedPacer returns a pacer for one agent, given the number of agents.
func NewCoordinatedPacer(limits StoreLimits, agents int, fallback Fallback) *CoordinatedPacer {
	return &CoordinatedPacer{
		pacerBase: newLocal(),
		limits:    limits,
		agents:    max(agents, 1),
		fallback:  fallback,
		loads:     map[engine.Target]*coordinatedLoad{},
		meanLoad:  initialLoad,
	}
}

// SetAgents changes the number of agents that share the weight store.
func (g *CoordinatedPacer) SetAgents(agents int) { g.agents = max(agents, 1) }

// Add implements Pacer.
func (g *CoordinatedPacer) Add(now time.Time, pendingLoad PendingLoad) {
	if _, ok := g.running[pendingLoad.Target]; ok {
		return
	}
	g.pacerBase.Add(now, pendingLoad)
	if g.loads[pendingLoad.Target] == nil {
		g.loads[pendingLoad.Target] = &coordinatedLoad{requestAt: now}
	}
}

// Remove implements Pacer.
func (g *CoordinatedPacer) Remove(target engine.Target) {
	g.pacerBase.Remove(target)
	delete(g.loads, target)
}

// NextRequest returns a load to request from the coordinator. It must be followed by
// GrantReceived or RequestFailed for the load.
func (g *CoordinatedPacer) NextRequest(now time.Time) (PendingLoad, bool) {
	for _, pendingLoad := range g.pendingLoads {
		load := g.loads[pendingLoad.Target]
		if load.requested || load.granted || now.Before(load.requestAt) {
			continue
		}
		load.requested = true
		return pendingLoad, true
	}
	return PendingLoad{}, false
}

// GrantReceived processes the coordinator's response. If it returns false, the
// response grants a load that is no longer wanted, and the caller reports the load
// as done.
func (g *CoordinatedPacer) GrantReceived(now time.Time, target engine.Target, slot wire.LoadGrant) bool {
	load := g.loads[target]
	if load == nil {
		return slot.WaitMillis != 0
	}
	load.requested = false
	load.unresponsiveSince = time.Time{}
	load.respondedAt = now
	load.position = slot.Position
	load.requestAt = now.Add(time.Duration(slot.WaitMillis) * time.Millisecond)
	load.granted = slot.WaitMillis == 0
	return true
}

// RequestFailed records that the coordinator didn't respond to a request. The
// request is repeated later; meanwhile the fallback decides.
func (g *CoordinatedPacer) RequestFailed(now time.Time, target engine.Target) {
	load := g.loads[target]
	if load == nil {
		return
	}
	load.requested = false
	load.requestAt = now.Add(requestRetryDelay)
	if load.unresponsiveSince.IsZero() {
		load.unresponsiveSince = now
	}
}

// Next implements Pacer.
func (g *CoordinatedPacer) Next(now time.Time) (engine.Target, bool) {
	for _, pendingLoad := range g.pendingLoads {
		if g.loads[pendingLoad.Target].granted {
			return g.launch(now, pendingLoad.Target), true
		}
	}
	return g.nextFallback(now)
}

// nextFallback returns a load to start without a grant by the coordinator.
func (g *CoordinatedPacer) nextFallback(now time.Time) (engine.Target, bool) {
	if len(g.running) >= g.fallbackConcurrency() {
		return engine.Target{}, false
	}
	for _, pendingLoad := range g.pendingLoads {
		load := g.loads[pendingLoad.Target]
		if load.unresponsiveSince.IsZero() || now.Before(g.fallbackStart(load)) {
			continue
		}
		return g.launch(now, pendingLoad.Target), true
	}
	return engine.Target{}, false
}

func (g *CoordinatedPacer) launch(now time.Time, target engine.Target) engine.Target {
	g.begin(target)
	delete(g.loads, target)
	g.nextAt = now.Add(g.fallbackInterval())
	return target
}

func (g *CoordinatedPacer) fallbackConcurrency() int {
	return max(g.limits.MaxConcurrent/g.agents, 1)
}

func (g *CoordinatedPacer) fallbackInterval() time.Duration {
	return durationOf(float64(g.agents) / g.limits.StartsPerSecond)
}

// fallbackStart returns when a load may start without the coordinator.
func (g *CoordinatedPacer) fallbackStart(load *coordinatedLoad) time.Time {
	if g.fallback == FallbackPosition && !load.respondedAt.IsZero() {
		spacing := max(1/g.limits.StartsPerSecond, g.meanLoad.Seconds()/float64(max(g.limits.MaxConcurrent, 1)))
		return load.respondedAt.Add(durationOf(float64(load.position+1) * spacing))
	}
	if g.nextAt.After(load.unresponsiveSince) {
		return g.nextAt
	}
	return load.unresponsiveSince
}

// Done implements Pacer.
func (g *CoordinatedPacer) Done(_ time.Time, target engine.Target, took, _ time.Duration) {
	delete(g.running, target)
	if took > 0 {
		g.meanLoad += time.Duration(loadSmoothing * float64(took-g.meanLoad))
	}
}

// Wake returns when NextRequest or Next may return a load, or the zero time.
func (g *CoordinatedPacer) Wake() time.Time {
	var first time.Time
	for _, load := range g.loads {
		at := g.wakeTime(load)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (g *CoordinatedPacer) wakeTime(load *coordinatedLoad) time.Time {
	if load.granted {
		return load.respondedAt
	}
	var at time.Time
	if !load.requested {
		at = load.requestAt
	}
	if load.unresponsiveSince.IsZero() || len(g.running) >= g.fallbackConcurrency() {
		return at
	}
	if alone := g.fallbackStart(load); at.IsZero() || alone.Before(at) {
		return alone
	}
	return at
}
