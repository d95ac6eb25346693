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
	// minKeepGain is how much the cost of a model's absence must exceed that of its
	// victims for the model to be loaded without a request.
	minKeepGain = 0.5
	// copyValue is the highest cost of eviction that a local copy of a model's
	// weights justifies. It is below keptCost: the eviction of a kept model would
	// be followed by its reload, which would evict the copied one.
	copyValue = keptCost / 2
)

// orderModel orders the most important load or unload of a model.
func (m *Manager) orderModel(now time.Time) {
	m.loadGrantWanted = ""
	if m.activeChange != nil || m.report.Busy {
		return
	}
	if m.orderRequested(now) || m.unloadUnpermitted() {
		return
	}
	// Until the first request arrives, the long loads of copies delay no request.
	if !m.leased && m.orderCopy(now) {
		return
	}
	if !m.orderKept(now) {
		m.orderCopy(now)
	}
}

// orderCopy loads a model of which the runner should store a local copy of the
// weights, if the cost of the required evictions is low.
func (m *Manager) orderCopy(now time.Time) bool {
	var wanted []*model
	for _, known := range m.models {
		if known.isPermitted() && known.Permit.Copy && known.tier == wire.CacheRemote && !known.loaded {
			wanted = append(wanted, known)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int { return cmp.Compare(a.Name, b.Name) })
	return slices.ContainsFunc(wanted, func(known *model) bool {
		return m.orderLoad(now, known, m.idleVictimsWithin(now, known, copyValue))
	})
}

// orderKept loads a model that the placement marks as kept, in descending order of
// the cost of its absence, if that cost exceeds the one of the required evictions.
func (m *Manager) orderKept(now time.Time) bool {
	var kept []*model
	for _, known := range m.models {
		if known.isKept() && !known.loaded {
			kept = append(kept, known)
		}
	}
	slices.SortFunc(kept, func(a, b *model) int {
		return cmp.Or(
			cmp.Compare(m.absenceCost(now, b), m.absenceCost(now, a)),
			cmp.Compare(b.Permit.Rate, a.Permit.Rate),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return slices.ContainsFunc(kept, func(known *model) bool {
		return m.orderLoad(now, known, m.idleVictimsWithin(now, known, m.absenceCost(now, known)-minKeepGain))
	})
}

// orderRequested loads the highest-priority model that leases wait for. It returns
// false if another order may be sent.
func (m *Manager) orderRequested(now time.Time) bool {
	var requested []*model
	for _, known := range m.models {
		if known.isWanted(now) && !known.loaded && known.isPermitted() {
			requested = append(requested, known)
		}
	}
	slices.SortFunc(requested, func(a, b *model) int { return comparePriority(now, a, b) })
	return slices.ContainsFunc(requested, func(known *model) bool {
		return m.orderLoad(now, known, m.idleVictims(now, known)) || m.drainFor(now, known)
	})
}

// comparePriority sorts models with interactive demand first, by descending rate,
// then the others by how long they have been wanted.
func comparePriority(now time.Time, a, b *model) int {
	rateA, rateB := a.interactiveRate(now), b.interactiveRate(now)
	return cmp.Or(
		cmp.Compare(rateB, rateA),
		a.wantedSince.Compare(b.wantedSince),
		cmp.Compare(a.Name, b.Name),
	)
}

// drainFor drains models to free memory for an interactive one. It returns true
// while that memory is being freed, because another load would use it.
func (m *Manager) drainFor(now time.Time, known *model) bool {
	victims, ok := m.drainableVictims(now, known, m.memoryShortfall(known))
	if !ok || len(victims) == 0 {
		return false
	}
	if !m.mayStartLoad(now, known) {
		m.requestLoadGrant(known)
		return false
	}
	m.drain(now, victims)
	return known.interactiveRate(now) > 0
}

// memoryShortfall returns the memory that must be freed to load a model.
func (m *Manager) memoryShortfall(known *model) int64 {
	return known.MiB - m.availableFor(engine.Target{Model: known.Name})
}

// mayStartLoad reports whether the weight store's limits allow the load of the
// model to start.
func (m *Manager) mayStartLoad(now time.Time, known *model) bool {
	return known.tier != wire.CacheRemote || now.Before(known.loadGrantUntil)
}

// requestLoadGrant makes the status request a load grant from the weight store for
// the model, unless a model of higher priority already needs one.
func (m *Manager) requestLoadGrant(known *model) {
	if m.loadGrantWanted == "" {
		m.loadGrantWanted = known.Name
	}
}

// orderLoad orders a load, or the first of the unloads that free memory for it. It
// returns false if the memory can't be freed, or if the load has to wait for a load
// grant.
func (m *Manager) orderLoad(now time.Time, known *model, find victimSelector) bool {
	var victims []engine.Target
	if needed := m.memoryShortfall(known); needed > 0 {
		var ok bool
		if victims, ok = find(needed); !ok {
			return false
		}
	}
	if !m.mayStartLoad(now, known) {
		m.requestLoadGrant(known)
		return false
	}
	if m.unloadFirst(victims) {
		return true
	}
	known.loadGrantUntil = time.Time{}
	m.sendOrder(modelrunner.Load, known.Name, "")
	return true
}

// freeMemory orders the first of the unloads that free the needed memory.
func (m *Manager) freeMemory(needed int64, find victimSelector) bool {
	victims, ok := find(needed)
	return ok && m.unloadFirst(victims)
}

func (m *Manager) unloadFirst(victims []engine.Target) bool {
	return len(victims) > 0 && m.orderUnload(victims[0])
}

// unloadUnpermitted unloads an idle model whose permit was withdrawn.
func (m *Manager) unloadUnpermitted() bool {
	var revoked []string
	for name, known := range m.models {
		if known.loaded && !known.isPermitted() && known.running == 0 {
			revoked = append(revoked, name)
		}
	}
	if len(revoked) == 0 {
		return false
	}
	return m.orderUnload(engine.Target{Model: slices.Min(revoked)})
}
