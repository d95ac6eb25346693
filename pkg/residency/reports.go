package residency

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// doubtTTL is how long an order without an answer may still be carried out.
const doubtTTL = 15 * time.Second

// ReportReceived takes in a report of the runner.
func (m *Manager) ReportReceived(now time.Time, report modelrunner.Report) []Action {
	m.take(now, report)
	return m.advance(now)
}

// ReportFailed notes that the runner gave no report.
func (m *Manager) ReportFailed(now time.Time) []Action { return m.Tick(now) }

func (m *Manager) take(now time.Time, report modelrunner.Report) {
	if m.report != nil && m.report.StartedAtMillis != report.StartedAtMillis {
		m.restarted()
	}
	m.settleDoubts(report)
	m.report = &report
	m.reportedAt = now
	m.noteModels(now, report)
	m.noteAdapters(report)
	if !report.Busy {
		m.endChange(now)
	}
	m.rebuildLedger()
	if m.isLeaving() {
		m.refuseWaiting(func(*use) (wire.Reason, bool) { return wire.ReasonLeaving, true }, now)
	}
}

// endChange notes that the order under way has been carried out.
func (m *Manager) endChange(now time.Time) {
	c := m.changing
	if c == nil {
		return
	}
	m.changing = nil
	held := m.model(c.order.Model).held
	m.act(OrderCompleted{
		Order:     c.order,
		Tier:      c.tier,
		Took:      now.Sub(c.started),
		Succeeded: held == (c.order.Operation == modelrunner.Load),
	})
}

// restarted forgets what an earlier incarnation of the runner held.
func (m *Manager) restarted() {
	m.changing = nil
	m.doubtful = nil
	for _, known := range m.models {
		known.held = false
		known.startUntil = time.Time{}
	}
}

func (m *Manager) noteModels(now time.Time, report modelrunner.Report) {
	for _, known := range m.models {
		known.tier = wire.CacheRemote
	}
	for _, name := range report.OnDisk {
		m.model(name).tier = wire.CacheDisk
	}
	for _, name := range report.InMemory {
		m.model(name).tier = wire.CacheMemory
	}
	held := make(map[string]bool, len(report.Models))
	for _, reported := range report.Models {
		held[reported.Name] = true
		known := m.model(reported.Name)
		known.version = reported.Version
		if !known.held {
			known.lastUsed = now
			known.wantedSince = time.Time{}
			known.wantedUntil = time.Time{}
			known.emptyUntil = time.Time{}
			known.startUntil = time.Time{}
		}
	}
	for name, known := range m.models {
		known.held = held[name]
	}
}

func (m *Manager) noteAdapters(report modelrunner.Report) {
	for _, known := range m.adapters {
		known.loaded = false
		known.coming = false
	}
	for _, reported := range report.Models {
		for _, name := range reported.Adapters {
			m.adapter(adapterID{reported.Name, name}).loaded = true
		}
		for _, name := range reported.LoadingAdapters {
			a := m.adapter(adapterID{reported.Name, name})
			a.coming = !a.loaded
		}
	}
	for id, known := range m.adapters {
		if !known.loaded && !known.coming && known.waiting == 0 && known.running == 0 {
			delete(m.adapters, id)
		}
	}
}

// settleDoubts drops the orders without an answer that can't be carried out any
// more, because the runner's sequence has moved past them.
func (m *Manager) settleDoubts(report modelrunner.Report) {
	m.doubtful = slices.DeleteFunc(m.doubtful, func(d doubtfulOrder) bool {
		if d.order.Expected >= report.Sequence {
			return false
		}
		// It may be the one that moved the sequence and that is under way now.
		if report.Busy && m.changing == nil && d.order.Adapter == "" && d.order.Expected == report.Sequence-1 {
			m.changing = &change{order: d.order, started: m.reportedAt, tier: m.model(d.order.Model).tier}
		}
		return true
	})
}

func (m *Manager) dropDoubts(now time.Time) {
	m.doubtful = slices.DeleteFunc(m.doubtful, func(d doubtfulOrder) bool { return !now.Before(d.until) })
}

// rebuildLedger accounts for what the runner holds and for what orders under way
// and in doubt may add.
func (m *Manager) rebuildLedger() {
	if m.plan == nil || m.report == nil {
		return
	}
	state := engine.State{MemoryMiB: m.plan.MiB}
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
		if known.loaded || known.coming {
			add(id.model, id.name, engine.StateLoaded)
		}
	}
	for _, order := range m.loadsUnderWay() {
		add(order.Model, order.Adapter, engine.StateLoading)
	}
	// An overcommitment shows in the ledger as no free memory, and the runner
	// reports what it holds; there is nothing else to do about it here.
	_ = m.ledger.SyncFromEngine(state)
}

// loadsUnderWay are the load orders that may add to what the runner reports.
func (m *Manager) loadsUnderWay() []modelrunner.Order {
	var orders []modelrunner.Order
	if m.changing != nil {
		orders = append(orders, m.changing.order)
	}
	if m.calling != nil {
		orders = append(orders, *m.calling)
	}
	for _, d := range m.doubtful {
		orders = append(orders, d.order)
	}
	return slices.DeleteFunc(orders, func(o modelrunner.Order) bool { return o.Operation != modelrunner.Load })
}
