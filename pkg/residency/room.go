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
	// interactiveCost and patientCost weigh a request a second that would find
	// its model absent: one that can't wait for a load, and one that can.
	interactiveCost = 10.0
	patientCost     = 0.5
	// keptCost is the cost of unloading a model that the placement wants kept,
	// interactiveKeptCost that of one that interactive requests ask for.
	keptCost            = 0.2
	interactiveKeptCost = 5.0
	// recentCost keeps a model for a moment after its last use.
	recentCost = 0.3
	recentUse  = 2 * time.Second
	// emptyGain is how much more than its victims a model must be worth for their
	// uses to make way, and emptyTime how long these get no new ones.
	emptyGain = 2.0
	emptyTime = 5 * time.Second
	// patientRate is the rate of interactive requests a second below which a model
	// counts as patient.
	patientRate = 0.1
)

// findRoom returns models that together free an amount of memory, or false if
// there is no way to have it now.
type findRoom func(needed int64) ([]engine.Target, bool)

// roomForUses finds room for a model that uses wait for: idle models.
func (m *Manager) roomForUses(now time.Time, wanted *model) findRoom {
	return func(needed int64) ([]engine.Target, bool) {
		return loading.CheapestVictims(m.victims(now, wanted.Name, isIdle), needed)
	}
}

// roomWorth finds room for a model that no use waits for: idle models that
// together aren't worth more than a bound.
func (m *Manager) roomWorth(now time.Time, wanted *model, bound float64) findRoom {
	return func(needed int64) ([]engine.Target, bool) {
		chosen, ok := loading.CheapestVictims(m.victims(now, wanted.Name, isIdle), needed)
		var cost float64
		for _, victim := range chosen {
			cost += m.worth(now, m.models[victim.Model])
		}
		return chosen, ok && cost <= bound
	}
}

// emptiable returns the models that must lose their uses to make room for an
// urgent one: patient ones that are worth less than it.
func (m *Manager) emptiable(now time.Time, wanted *model, needed int64) ([]engine.Target, bool) {
	worth := m.worth(now, wanted)
	return loading.CheapestVictims(m.victims(now, wanted.Name, func(known *model) bool {
		return known.urgentRate(now) == 0 && m.worth(now, known)+emptyGain < worth
	}), needed)
}

// empty lets models have no new uses for a while, so that they become idle.
func (m *Manager) empty(now time.Time, victims []engine.Target) {
	for _, victim := range victims {
		m.models[victim.Model].emptyUntil = now.Add(emptyTime)
	}
	m.refuseWaiting(func(u *use) (wire.Reason, bool) {
		return wire.ReasonNoMemory, m.models[u.Model].isEmptying(now)
	}, now)
}

// isIdle tells whether no use runs or waits.
func isIdle(known *model) bool { return known.running == 0 && known.waiting == 0 }

// victims lists the loaded models that a condition names, with the cost of their
// absence.
func (m *Manager) victims(now time.Time, wanted string, condition func(*model) bool) []loading.Victim {
	var idle []loading.Victim
	for name, known := range m.models {
		if name == wanted || m.state(known) != wire.ModelLoaded || known.MiB == 0 || !condition(known) {
			continue
		}
		idle = append(idle, loading.Victim{
			Target: engine.Target{Model: name},
			MiB:    known.MiB,
			Cost:   m.worth(now, known),
		})
	}
	slices.SortFunc(idle, func(a, b loading.Victim) int { return cmp.Compare(a.Target.Model, b.Target.Model) })
	return idle
}

// worth is the expected cost of a model's absence.
func (m *Manager) worth(now time.Time, known *model) float64 {
	cost := interactiveCost*known.interactive.current(now) + patientCost*known.patient.current(now)
	if !known.isPermitted() {
		return cost
	}
	if known.Keep && known.Interactive {
		cost += interactiveKeptCost
	}
	if known.Keep {
		cost += keptCost
	}
	if now.Sub(known.lastUsed) < recentUse {
		cost += recentCost
	}
	return cost
}

// urgentRate is the rate of interactive requests, or zero below patientRate.
func (known *model) urgentRate(now time.Time) float64 {
	if rate := known.interactive.current(now); rate >= patientRate {
		return rate
	}
	return 0
}
