package residency

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// interactiveCost and batchCost weight one request per second that would find
	// its model absent. Interactive requests can't wait for a load, batch requests
	// can.
	interactiveCost = 10.0
	batchCost       = 0.5
	// keptCost is the additional cost of unloading a kept model, and
	// interactiveKeptCost that of a kept model with interactive demand.
	keptCost            = 0.2
	interactiveKeptCost = 5.0
	// recentCost protects a model for recentUse after its last lease.
	recentCost = 0.3
	recentUse  = 2 * time.Second
	// minDrainGain is how much a model's cost of absence must exceed that of its
	// victims for those to be drained, and drainTime how long they get no new
	// leases.
	minDrainGain = 2.0
	drainTime    = 5 * time.Second
	// minInteractiveRate is the rate in interactive requests per second below which
	// a model counts as a batch model.
	minInteractiveRate = 0.1
)

// victimSelector returns models that together free the needed memory, or false if
// that isn't possible now.
type victimSelector func(needed int64) ([]engine.Target, bool)

// idleVictims selects idle models to evict for a model that leases wait for.
func (m *Manager) idleVictims(now time.Time, wanted *model) victimSelector {
	return func(needed int64) ([]engine.Target, bool) {
		return loading.CheapestVictims(m.victims(now, wanted.Name, isIdle), needed)
	}
}

// idleVictimsWithin selects idle models to evict for a model that no lease waits
// for. Their total cost of absence is at most maxCost.
func (m *Manager) idleVictimsWithin(now time.Time, wanted *model, maxCost float64) victimSelector {
	return func(needed int64) ([]engine.Target, bool) {
		chosen, ok := loading.CheapestVictims(m.victims(now, wanted.Name, isIdle), needed)
		var cost float64
		for _, victim := range chosen {
			cost += m.absenceCost(now, m.models[victim.Model])
		}
		return chosen, ok && cost <= maxCost
	}
}

// drainableVictims returns the models that must be drained to free memory for an
// interactive one: batch models with a lower cost of absence.
func (m *Manager) drainableVictims(now time.Time, wanted *model, needed int64) ([]engine.Target, bool) {
	absenceCost := m.absenceCost(now, wanted)
	return loading.CheapestVictims(m.victims(now, wanted.Name, func(known *model) bool {
		return known.interactiveRate(now) == 0 && m.absenceCost(now, known)+minDrainGain < absenceCost
	}), needed)
}

// drain refuses new leases of models for a while, so that they become idle.
func (m *Manager) drain(now time.Time, victims []engine.Target) {
	for _, victim := range victims {
		m.models[victim.Model].drainUntil = now.Add(drainTime)
	}
	m.refuseWaiting(func(l *lease) (wire.Reason, bool) {
		return wire.ReasonNoMemory, m.models[l.Model].isDraining(now)
	}, now)
}

// isIdle reports whether no lease is running or waiting.
func isIdle(known *model) bool { return known.running == 0 && known.waiting == 0 }

// victims returns the loaded models that satisfy a condition, with the cost of
// their absence.
func (m *Manager) victims(now time.Time, wanted string, condition func(*model) bool) []loading.Victim {
	var idle []loading.Victim
	for name, known := range m.models {
		if name == wanted || m.state(known) != wire.ModelLoaded || known.MiB == 0 || !condition(known) {
			continue
		}
		idle = append(idle, loading.Victim{
			Target: engine.Target{Model: name},
			MiB:    known.MiB,
			Cost:   m.absenceCost(now, known),
		})
	}
	slices.SortFunc(idle, func(a, b loading.Victim) int { return cmp.Compare(a.Target.Model, b.Target.Model) })
	return idle
}

// absenceCost returns the expected cost of a model's absence.
func (m *Manager) absenceCost(now time.Time, known *model) float64 {
	cost := interactiveCost*known.interactive.current(now) + batchCost*known.batch.current(now)
	if !known.isPermitted() {
		return cost
	}
	if known.isKept() && known.Permit.Interactive {
		cost += interactiveKeptCost
	}
	if known.isKept() {
		cost += keptCost
	}
	if now.Sub(known.lastUsed) < recentUse {
		cost += recentCost
	}
	return cost
}

// interactiveRate returns the rate of interactive requests, or zero below
// minInteractiveRate.
func (known *model) interactiveRate(now time.Time) float64 {
	if rate := known.interactive.current(now); rate >= minInteractiveRate {
		return rate
	}
	return 0
}
