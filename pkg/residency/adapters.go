package residency

import (
	"cmp"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxLoadingAdapters limits the adapters that one runner loads concurrently.
const maxLoadingAdapters = 4

// orderAdapter orders the load of an adapter that leases wait for, or an eviction
// that frees a slot or memory for it. It does nothing while an order for a model is
// in progress, because the runner refuses adapter orders then.
func (m *Manager) orderAdapter(now time.Time) bool {
	id, ok := m.mostRequestedAdapter()
	if !ok || m.activeChange != nil || m.report.Busy {
		return false
	}
	if m.loadingAdapters() >= maxLoadingAdapters {
		return false
	}
	if m.occupiedAdapterSlots(id) >= m.placement.AdapterSlots {
		return m.evictIdleAdapter()
	}
	wanted := engine.Target{Model: id.model, Adapter: id.name}
	if needed := m.models[id.model].AdapterMiB - m.availableFor(wanted); needed > 0 {
		return m.evictIdleAdapter() || m.freeMemory(needed, m.idleVictims(now, m.models[id.model]))
	}
	m.sendOrder(modelrunner.Load, id.model, id.name)
	return true
}

// mostRequestedAdapter returns the adapter with the most waiting leases among those
// that can be loaded now.
func (m *Manager) mostRequestedAdapter() (adapterID, bool) {
	var best adapterID
	most := 0
	for id, a := range m.adapters {
		if a.waiting == 0 || a.loaded || a.loading || m.state(m.models[id.model]) != wire.ModelLoaded {
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

// availableFor returns the memory that a target may use: the free memory plus what
// an order without a response for the same target has already reserved. It is negative if
// the orders that may be executed don't fit.
func (m *Manager) availableFor(wanted engine.Target) int64 {
	return m.ledger.Capacity() - m.ledger.Used() + m.ledger.Get(wanted).MiB
}

// occupiedAdapterSlots counts the adapters that occupy a slot, including those of
// load orders that may still be executed, but without the wanted one.
func (m *Manager) occupiedAdapterSlots(wanted adapterID) int {
	count := 0
	for _, a := range m.adapters {
		if a.loaded || a.loading {
			count++
		}
	}
	for _, order := range m.pendingLoads() {
		if order.Adapter != "" && (adapterID{order.Model, order.Adapter}) != wanted {
			count++
		}
	}
	return count
}

func (m *Manager) loadingAdapters() int {
	count := 0
	for _, a := range m.adapters {
		if a.loading {
			count++
		}
	}
	return count
}

// evictIdleAdapter orders the unload of the least recently used idle adapter. It
// returns false if there is none.
func (m *Manager) evictIdleAdapter() bool {
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
	return m.orderUnload(engine.Target{Model: victim.model, Adapter: victim.name})
}
