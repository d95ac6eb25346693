package residency

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// rebuildLedger computes the memory use from the runner's report and from the load orders
// that may add to it.
func (m *Manager) rebuildLedger() {
	if m.placement == nil || m.report == nil {
		return
	}
	state := engine.State{MemoryMiB: m.placement.MiB}
	add := func(model, adapter string, load engine.LoadState) {
		known := m.models[model]
		if known == nil {
			return
		}
		mib := known.MiB
		if adapter != "" {
			mib = known.AdapterMiB
		}
		state.Residents = append(state.Residents, engine.Resident{
			Target:    engine.Target{Model: model, Adapter: adapter},
			State:     load,
			MemoryMiB: mib,
		})
	}
	for _, reported := range m.report.Models {
		add(reported.Name, "", engine.StateLoaded)
	}
	for id, known := range m.adapters {
		if known.loaded || known.loading {
			add(id.model, id.name, engine.StateLoaded)
		}
	}
	for _, order := range m.pendingLoads() {
		add(order.Model, order.Adapter, engine.StateLoading)
	}
	// An overcommitted runner shows up in the ledger as no free memory, which
	// blocks further loads. No other handling is needed here.
	_ = m.ledger.SyncFromEngine(state)
}

// pendingLoads returns the load orders that may add to what the runner reports by the time
// the next order has been executed.
func (m *Manager) pendingLoads() []modelrunner.Order {
	orders := m.followingOrders()
	if m.activeChange != nil {
		orders = append(orders, m.activeChange.order)
	}
	if m.pendingOrder != nil {
		orders = append(orders, *m.pendingOrder)
	}
	return slices.DeleteFunc(orders, func(o modelrunner.Order) bool { return o.Operation != modelrunner.Load })
}
