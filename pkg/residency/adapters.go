package residency

import (
	"cmp"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxComing bounds the adapters on their way to one runner.
const maxComing = 4

// orderAdapter orders an adapter that a use waits for, or makes room for it. The
// runner refuses it while an order for a model is carried out.
func (m *Manager) orderAdapter(now time.Time) bool {
	id, ok := m.wantedAdapter()
	if !ok || m.changing != nil || m.report.Busy {
		return false
	}
	if m.comingAdapters() >= maxComing {
		return false
	}
	if m.heldAdapters(id) >= m.plan.AdapterSlots {
		return m.evictAdapter()
	}
	wanted := engine.Target{Model: id.model, Adapter: id.name}
	if needed := m.models[id.model].AdapterMiB - m.freeFor(wanted); needed > 0 {
		return m.evictAdapter() || m.makeRoom(needed, m.roomForUses(now, m.models[id.model]))
	}
	m.give(modelrunner.Load, id.model, id.name)
	return true
}

// wantedAdapter returns the adapter that most uses wait for and that can be
// loaded now.
func (m *Manager) wantedAdapter() (adapterID, bool) {
	var best adapterID
	most := 0
	for id, a := range m.adapters {
		if a.waiting == 0 || a.loaded || a.coming || m.state(m.models[id.model]) != wire.ModelLoaded {
			continue
		}
		if a.waiting > most || (a.waiting == most && compareAdapters(id, best) < 0) {
			best = id
			most = a.waiting
		}
	}
	return best, most > 0
}

func compareAdapters(a, b adapterID) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.name, b.name))
}

// freeFor is the memory that a target may take: what is free, and what an order
// for it that is in doubt takes already.
func (m *Manager) freeFor(wanted engine.Target) int64 {
	return m.ledger.Free() + m.ledger.Get(wanted).MiB
}

// heldAdapters counts the adapters other than the wanted one that take a slot,
// those in doubt included.
func (m *Manager) heldAdapters(wanted adapterID) int {
	count := 0
	for _, a := range m.adapters {
		if a.loaded || a.coming {
			count++
		}
	}
	for _, order := range m.loadsUnderWay() {
		if order.Adapter != "" && (adapterID{order.Model, order.Adapter}) != wanted {
			count++
		}
	}
	return count
}

func (m *Manager) comingAdapters() int {
	count := 0
	for _, a := range m.adapters {
		if a.coming {
			count++
		}
	}
	return count
}

// evictAdapter orders the adapter that was idle longest out, if there is one.
func (m *Manager) evictAdapter() bool {
	var victim adapterID
	var since time.Time
	for id, a := range m.adapters {
		if !a.loaded || a.running > 0 || a.waiting > 0 || m.state(m.models[id.model]) != wire.ModelLoaded {
			continue
		}
		if since.IsZero() || a.lastUsed.Before(since) {
			victim = id
			since = a.lastUsed
		}
	}
	if victim == (adapterID{}) {
		return false
	}
	m.give(modelrunner.Unload, victim.model, victim.name)
	return true
}
