package residency

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// uncertainTTL is how long an order without a response may still be executed.
const uncertainTTL = 15 * time.Second

// uncertainOrder is an order without a response. It is executed if it arrives while the
// runner with its ID has the sequence number that it expects. The sequence number alone
// doesn't rule that out for good: it starts anew when the runner starts again, also under
// its old ID.
type uncertainOrder struct {
	order modelrunner.Order
	until time.Time
}

// recordUncertain records that the response to an order was lost.
func (m *Manager) recordUncertain(now time.Time, order modelrunner.Order) {
	m.uncertain = append(m.uncertain, uncertainOrder{order: order, until: now.Add(uncertainTTL)})
}

func (m *Manager) expireUncertain(now time.Time) {
	known := len(m.uncertain)
	m.uncertain = slices.DeleteFunc(m.uncertain, func(u uncertainOrder) bool { return !now.Before(u.until) })
	if len(m.uncertain) < known {
		m.rebuildLedger()
	}
}

// adoptExecutedOrder recognises an order without a response as the one that the runner
// executes.
func (m *Manager) adoptExecutedOrder(now time.Time) {
	if !m.report.Busy || m.activeChange != nil {
		return
	}
	// Of several the latest is the likeliest, as earlier ones were to an earlier incarnation.
	for _, u := range slices.Backward(m.uncertain) {
		if m.isForRunner(u.order) && u.order.Adapter == "" && u.order.Expected == m.report.Sequence-1 {
			m.activeChange = &change{order: u.order, started: now, tier: m.model(u.order.Model).tier}
			return
		}
	}
}

// isForRunner reports whether the runner has the ID that an order names.
func (m *Manager) isForRunner(order modelrunner.Order) bool { return order.Instance == m.instance }

// mayChangeUnasked reports whether an order without a response may be executed before any
// other order.
func (m *Manager) mayChangeUnasked() bool {
	return slices.ContainsFunc(m.uncertain, func(u uncertainOrder) bool {
		return m.report != nil && m.isForRunner(u.order) && u.order.Expected == m.report.Sequence
	})
}

// followingOrders returns the orders without a response that may be executed as soon as the
// next order was: those that expect the sequence number after it, those that expect the one
// after these, and so on. Those that expect the same number as the next order exclude it, or
// are excluded by it.
func (m *Manager) followingOrders() []modelrunner.Order {
	if m.report == nil {
		return nil
	}
	var following []modelrunner.Order
	for expected := m.report.Sequence + 1; ; expected++ {
		before := len(following)
		for _, u := range m.uncertain {
			if m.isForRunner(u.order) && u.order.Expected == expected {
				following = append(following, u.order)
			}
		}
		if len(following) == before {
			return following
		}
	}
}

// leavesRoom reports whether all orders that may be executed after an unload fit in the
// memory and the adapter slots that it leaves.
func (m *Manager) leavesRoom(unloaded engine.Target) bool {
	if len(m.followingOrders()) == 0 {
		return true
	}
	var freed int64
	freedSlots := 0
	for target, entry := range m.ledger.Entries() {
		if target == unloaded || (unloaded.Adapter == "" && target.Model == unloaded.Model) {
			freed += entry.MiB
			if target.Adapter != "" {
				freedSlots++
			}
		}
	}
	const noAdapter = ""
	occupied := m.occupiedAdapterSlots(adapterID{unloaded.Model, noAdapter})
	return m.ledger.Used()-freed <= m.ledger.Capacity() && occupied-freedSlots <= m.placement.AdapterSlots
}

// orderUnload orders an unload. It returns false if the unload has to wait, as the orders
// without a response that may be executed after it don't fit.
func (m *Manager) orderUnload(unloaded engine.Target) bool {
	if !m.leavesRoom(unloaded) {
		return false
	}
	m.sendOrder(modelrunner.Unload, unloaded.Model, unloaded.Adapter)
	return true
}
