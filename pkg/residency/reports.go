package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// ReportReceived processes a report of the runner.
func (m *Manager) ReportReceived(now time.Time, report modelrunner.Report) []Action {
	m.applyReport(now, report)
	return m.advance(now)
}

// ReportFailed handles a failed attempt to get a report from the runner. notRunning
// is set if no process accepts connections there.
func (m *Manager) ReportFailed(now time.Time, notRunning bool) []Action {
	m.notRunning = notRunning
	return m.Tick(now)
}

func (m *Manager) applyReport(now time.Time, report modelrunner.Report) {
	if m.report != nil && m.report.StartedAtMillis != report.StartedAtMillis {
		m.resetRunnerState()
	}
	m.notRunning = false
	m.report = &report
	m.reportedAt = now
	m.adoptExecutedOrder(now)
	m.updateModels(now, report)
	m.updateAdapters(report)
	if report.InvalidLimit == "" {
		// Reports are requested one after the other.
		m.reportedLimit.Observe(ratelimit.Observation{Limit: report.Limit, SentAt: now, ReceivedAt: now})
	}
	if !report.Busy {
		m.completeChange(now)
	}
	m.rebuildLedger()
	m.refuseWaiting(func(l *lease) (wire.Reason, bool) { return wire.ReasonReplaced, m.isForOtherIncarnation(l.Lease) }, now)
	if m.isLeaving() {
		m.refuseWaiting(func(*lease) (wire.Reason, bool) { return wire.ReasonLeaving, true }, now)
	}
}

// completeChange ends the active change.
func (m *Manager) completeChange(now time.Time) {
	c := m.activeChange
	if c == nil {
		return
	}
	m.activeChange = nil
	loaded := m.model(c.order.Model).loaded
	m.emit(OrderCompleted{
		Order:     c.order,
		Tier:      c.tier,
		Took:      now.Sub(c.started),
		Succeeded: loaded == (c.order.Operation == modelrunner.Load),
	})
}

// resetRunnerState discards what an earlier incarnation of the runner loaded. Orders
// without a response are kept, as they may reach the new incarnation if it has the same ID.
func (m *Manager) resetRunnerState() {
	m.reportedLimit = ratelimit.Record{}
	m.observedLimit = ratelimit.Record{}
	m.activeChange = nil
	for _, known := range m.models {
		known.loaded = false
		known.loadGrantUntil = time.Time{}
	}
}

func (m *Manager) updateModels(now time.Time, report modelrunner.Report) {
	for _, known := range m.models {
		known.tier = wire.CacheRemote
	}
	for _, name := range report.OnDisk {
		m.model(name).tier = wire.CacheDisk
	}
	for _, name := range report.InMemory {
		m.model(name).tier = wire.CacheMemory
	}
	loaded := make(map[string]bool, len(report.Models))
	for _, reported := range report.Models {
		loaded[reported.Name] = true
		known := m.model(reported.Name)
		known.version = reported.Version
		if !known.loaded {
			known.lastUsed = now
			known.wantedSince = time.Time{}
			known.wantedUntil = time.Time{}
			known.drainUntil = time.Time{}
			known.loadGrantUntil = time.Time{}
		}
	}
	for name, known := range m.models {
		known.loaded = loaded[name]
	}
}

func (m *Manager) updateAdapters(report modelrunner.Report) {
	for _, known := range m.adapters {
		known.loaded = false
		known.loading = false
	}
	for _, reported := range report.Models {
		for _, name := range reported.Adapters {
			m.adapter(adapterID{reported.Name, name}).loaded = true
		}
		for _, name := range reported.LoadingAdapters {
			a := m.adapter(adapterID{reported.Name, name})
			a.loading = !a.loaded
		}
	}
	for id, known := range m.adapters {
		if !known.loaded && !known.loading && known.waiting == 0 && known.running == 0 {
			delete(m.adapters, id)
		}
	}
}
