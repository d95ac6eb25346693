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
	// FallbackPosition starts each load when its last known position would have
	// been reached, so that the order is preserved without the coordinator and
	// without any messages. The idea that a waiter's own position preserves the
	// order across a failure is from Sopena, Arantes, Bertier and Sens, "A
	// fault-tolerant token-based mutual exclusion algorithm using a dynamic
	// tree".
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
	// position and respondedAt are from the coordinator's last response;
	// respondedAt is zero before any.
	position    int
	respondedAt time.Time
	// unresponsiveSince is the first failed request since the last response, or
	// zero.
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
		pacerBase: newPacerBase(),
		limits:    limits,
		agents:    max(agents, 1),
		fallback:  fallback,
		loads:     map[engine.Target]*coordinatedLoad{},
		meanLoad:  initialLoad,
	}
}

// SetAgents changes the number of agents that share the weight store.
func (p *CoordinatedPacer) SetAgents(agents int) { p.agents = max(agents, 1) }

// Add implements Pacer.
func (p *CoordinatedPacer) Add(now time.Time, pendingLoad PendingLoad) {
	if _, ok := p.running[pendingLoad.Target]; ok {
		return
	}
	p.pacerBase.Add(now, pendingLoad)
	if p.loads[pendingLoad.Target] == nil {
		p.loads[pendingLoad.Target] = &coordinatedLoad{requestAt: now}
	}
}

// Remove implements Pacer.
func (p *CoordinatedPacer) Remove(target engine.Target) {
	p.pacerBase.Remove(target)
	delete(p.loads, target)
}

// NextRequest returns a load to request from the coordinator. It must be followed
// by GrantReceived or RequestFailed for the load.
func (p *CoordinatedPacer) NextRequest(now time.Time) (PendingLoad, bool) {
	for _, pendingLoad := range p.pendingLoads {
		load := p.loads[pendingLoad.Target]
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
func (p *CoordinatedPacer) GrantReceived(now time.Time, target engine.Target, grant wire.LoadGrant) bool {
	load := p.loads[target]
	if load == nil {
		return grant.WaitMillis != 0
	}
	load.requested = false
	load.unresponsiveSince = time.Time{}
	load.respondedAt = now
	load.position = grant.Position
	load.requestAt = now.Add(time.Duration(grant.WaitMillis) * time.Millisecond)
	load.granted = grant.WaitMillis == 0
	return true
}

// RequestFailed records that the coordinator didn't respond to a request. The
// request is repeated later; meanwhile the fallback decides.
func (p *CoordinatedPacer) RequestFailed(now time.Time, target engine.Target) {
	load := p.loads[target]
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
func (p *CoordinatedPacer) Next(now time.Time) (engine.Target, bool) {
	for _, pendingLoad := range p.pendingLoads {
		if p.loads[pendingLoad.Target].granted {
			return p.startLoad(now, pendingLoad.Target), true
		}
	}
	return p.nextFallback(now)
}

// nextFallback returns a load to start without a grant by the coordinator.
func (p *CoordinatedPacer) nextFallback(now time.Time) (engine.Target, bool) {
	if len(p.running) >= p.fallbackConcurrency() {
		return engine.Target{}, false
	}
	for _, pendingLoad := range p.pendingLoads {
		load := p.loads[pendingLoad.Target]
		if load.unresponsiveSince.IsZero() || now.Before(p.fallbackStart(load)) {
			continue
		}
		return p.startLoad(now, pendingLoad.Target), true
	}
	return engine.Target{}, false
}

func (p *CoordinatedPacer) startLoad(now time.Time, target engine.Target) engine.Target {
	p.markRunning(target)
	delete(p.loads, target)
	p.nextAt = now.Add(p.fallbackInterval())
	return target
}

func (p *CoordinatedPacer) fallbackConcurrency() int {
	return max(p.limits.MaxConcurrent/p.agents, 1)
}

func (p *CoordinatedPacer) fallbackInterval() time.Duration {
	return durationOf(float64(p.agents) / p.limits.StartsPerSecond)
}

// fallbackStart returns when a load may start without the coordinator.
func (p *CoordinatedPacer) fallbackStart(load *coordinatedLoad) time.Time {
	if p.fallback == FallbackPosition && !load.respondedAt.IsZero() {
		spacing := max(1/p.limits.StartsPerSecond, p.meanLoad.Seconds()/float64(max(p.limits.MaxConcurrent, 1)))
		return load.respondedAt.Add(durationOf(float64(load.position+1) * spacing))
	}
	if p.nextAt.After(load.unresponsiveSince) {
		return p.nextAt
	}
	return load.unresponsiveSince
}

// Done implements Pacer.
func (p *CoordinatedPacer) Done(_ time.Time, target engine.Target, took, _ time.Duration) {
	delete(p.running, target)
	if took > 0 {
		p.meanLoad += time.Duration(loadSmoothing * float64(took-p.meanLoad))
	}
}

// Wake returns when NextRequest or Next may return a load, or the zero time.
func (p *CoordinatedPacer) Wake() time.Time {
	var first time.Time
	for _, load := range p.loads {
		at := p.wakeTime(load)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (p *CoordinatedPacer) wakeTime(load *coordinatedLoad) time.Time {
	if load.granted {
		return load.respondedAt
	}
	var at time.Time
	if !load.requested {
		at = load.requestAt
	}
	if load.unresponsiveSince.IsZero() || len(p.running) >= p.fallbackConcurrency() {
		return at
	}
	if fallbackAt := p.fallbackStart(load); at.IsZero() || fallbackAt.Before(at) {
		return fallbackAt
	}
	return at
}
