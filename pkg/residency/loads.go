package residency

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// keepGain is how much more than its victims a model must be worth to be
	// loaded without a request.
	keepGain = 0.5
	// copyWorth is what a copy of a model's weights is worth in models that make
	// way for its load: less than a kept one, which would take the room back.
	copyWorth = keptCost / 2
)

// orderModel orders the load or unload of a model that matters most.
func (m *Manager) orderModel(now time.Time) {
	m.startWanted = ""
	if m.changing != nil || m.report.Busy {
		return
	}
	if m.orderWaitedFor(now) || m.unloadUnpermitted() {
		return
	}
	// Before the first request there is time for the long loads.
	if !m.used && m.orderCopy(now) {
		return
	}
	if !m.orderKept(now) {
		m.orderCopy(now)
	}
}

// orderCopy loads a model of whose weights the runner should have a copy, if what
// makes way for it is worth little.
func (m *Manager) orderCopy(now time.Time) bool {
	var wanted []*model
	for _, known := range m.models {
		if known.Copy && known.isPermitted() && known.tier == wire.CacheRemote && !known.held {
			wanted = append(wanted, known)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int { return cmp.Compare(a.Name, b.Name) })
	return slices.ContainsFunc(wanted, func(known *model) bool {
		return m.orderLoad(now, known, m.roomWorth(now, known, copyWorth))
	})
}

// orderKept loads a model that the placement wants kept, the one worth most
// first, if it is worth more than what makes way for it.
func (m *Manager) orderKept(now time.Time) bool {
	var kept []*model
	for _, known := range m.models {
		if known.Keep && !known.held && known.isPermitted() {
			kept = append(kept, known)
		}
	}
	slices.SortFunc(kept, func(a, b *model) int {
		return cmp.Or(
			cmp.Compare(m.worth(now, b), m.worth(now, a)),
			cmp.Compare(b.Rate, a.Rate),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return slices.ContainsFunc(kept, func(known *model) bool {
		return m.orderLoad(now, known, m.roomWorth(now, known, m.worth(now, known)-keepGain))
	})
}

// orderWaitedFor loads the most urgent model that uses wait for. It returns false
// if something else may be ordered.
func (m *Manager) orderWaitedFor(now time.Time) bool {
	var waited []*model
	for _, known := range m.models {
		if known.isWanted(now) && !known.held && known.isPermitted() {
			waited = append(waited, known)
		}
	}
	slices.SortFunc(waited, func(a, b *model) int { return compareUrgency(now, a, b) })
	return slices.ContainsFunc(waited, func(known *model) bool {
		return m.orderLoad(now, known, m.roomForUses(now, known)) || m.emptyFor(now, known)
	})
}

// compareUrgency puts the models first that interactive requests ask for, the most
// wanted first, then those that have been wanted longest.
func compareUrgency(now time.Time, a, b *model) int {
	rateA, rateB := a.urgentRate(now), b.urgentRate(now)
	return cmp.Or(
		cmp.Compare(rateB, rateA),
		a.wantedSince.Compare(b.wantedSince),
		cmp.Compare(a.Name, b.Name),
	)
}

// emptyFor makes models idle that an urgent one needs the room of. It returns true
// while that room is coming, as another load would take it.
func (m *Manager) emptyFor(now time.Time, known *model) bool {
	victims, ok := m.emptiable(now, known, m.missingRoom(known))
	if !ok || len(victims) == 0 {
		return false
	}
	if !m.mayStart(now, known) {
		m.wantStart(known)
		return false
	}
	m.empty(now, victims)
	return known.urgentRate(now) > 0
}

// missingRoom is the memory that must be freed for a model.
func (m *Manager) missingRoom(known *model) int64 {
	return known.MiB - m.freeFor(engine.Target{Model: known.Name})
}

// mayStart tells whether a load of the model may begin as far as the weight store
// is concerned.
func (m *Manager) mayStart(now time.Time, known *model) bool {
	return known.tier != wire.CacheRemote || now.Before(known.startUntil)
}

// wantStart has the entries asked for leave to load a model from the weight store,
// unless a model that goes before it needs one.
func (m *Manager) wantStart(known *model) {
	if m.startWanted == "" {
		m.startWanted = known.Name
	}
}

// orderLoad orders a load, or the first of the unloads that make room for it. It
// returns false if there is no room to be had, or if the load must wait for its
// start.
func (m *Manager) orderLoad(now time.Time, known *model, find findRoom) bool {
	var victims []engine.Target
	if needed := m.missingRoom(known); needed > 0 {
		var ok bool
		if victims, ok = find(needed); !ok {
			return false
		}
	}
	if !m.mayStart(now, known) {
		m.wantStart(known)
		return false
	}
	if m.unloadFirst(victims) {
		return true
	}
	known.startUntil = time.Time{}
	m.give(modelrunner.Load, known.Name, "")
	return true
}

// makeRoom orders the first of the unloads that free an amount of memory.
func (m *Manager) makeRoom(needed int64, find findRoom) bool {
	victims, ok := find(needed)
	return ok && m.unloadFirst(victims)
}

func (m *Manager) unloadFirst(victims []engine.Target) bool {
	if len(victims) == 0 {
		return false
	}
	m.give(modelrunner.Unload, victims[0].Model, "")
	return true
}

// unloadUnpermitted unloads an idle model that the runner may not hold any more.
func (m *Manager) unloadUnpermitted() bool {
	var revoked []string
	for name, known := range m.models {
		if known.held && !known.isPermitted() && known.running == 0 {
			revoked = append(revoked, name)
		}
	}
	if len(revoked) == 0 {
		return false
	}
	m.give(modelrunner.Unload, slices.Min(revoked), "")
	return true
}
