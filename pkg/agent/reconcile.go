package agent

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// reconcileInterval is the interval between reads of the engine's state.
	reconcileInterval = time.Second
	// lateEffectWindow is how long an order whose response was lost may still take
	// effect after the engine's state last showed no change in progress.
	lateEffectWindow = 2 * time.Second
)

// initialize initializes the table from the engine's state at startup.
func (t *modelTable) initialize(now time.Time, state engine.State) {
	t.logLedgerError(t.ledger.SyncFromEngine(state))
	var loaded []placement.ModelVersion
	for _, resident := range state.Residents {
		if resident.Target.Adapter != "" {
			t.initializeAdapter(now, resident)
			continue
		}
		m := t.model(modelOf(resident.Target))
		t.initializeModel(now, m, resident)
		if m.state == wire.ModelLoaded {
			loaded = append(loaded, m.id)
		}
	}
	t.controller.setSlots(state.Slots)
	t.execute(t.enforcer.Step(placement.EngineRead{Loaded: loaded}))
}

func (t *modelTable) initializeModel(now time.Time, m *model, resident engine.Resident) {
	m.cache = resident.Cache
	if resident.MemoryMiB > 0 {
		m.memoryMiB = resident.MemoryMiB
	}
	if resident.State == engine.StateAbsent {
		return
	}
	m.state = wire.ModelLoaded
	m.uncertain = resident.State != engine.StateLoaded
	m.lastUsed = now
	m.orderEnded = now
}

func (t *modelTable) initializeAdapter(now time.Time, resident engine.Resident) {
	if resident.State == engine.StateAbsent {
		return
	}
	t.adapters[resident.Target] = &adapter{
		target:     resident.Target,
		state:      wire.ModelLoaded,
		uncertain:  resident.State != engine.StateLoaded,
		lastUsed:   now,
		orderEnded: now,
	}
}

func modelOf(target engine.Target) placement.ModelVersion {
	return placement.ModelVersion{Model: target.Model, Version: target.Version}
}

// reconcile processes an engine state whose read started at readAt. It resolves
// orders whose responses were lost, and detects models and adapters that the
// engine lost or that it holds without an order of this incarnation.
func (t *modelTable) reconcile(now, readAt time.Time, state engine.State) {
	t.controller.setSlots(state.Slots)
	residents := make(map[engine.Target]engine.Resident, len(state.Residents))
	for _, resident := range state.Residents {
		residents[resident.Target] = resident
		t.reconcileCache(resident)
	}
	for _, a := range t.adapters {
		t.reconcileAdapter(a, readAt, residents[a.target])
	}
	for _, m := range t.models {
		t.reconcileModel(now, m, readAt, residents[m.target()])
	}
	t.unloadUnknown(now, readAt, state.Residents)
	t.controller.schedule(now)
}

func (t *modelTable) reconcileCache(resident engine.Resident) {
	if resident.Target.Adapter != "" {
		return
	}
	t.model(modelOf(resident.Target)).cache = resident.Cache
}

// isResolved reports whether an order that ended at ended can no longer change a
// state whose read started at readAt.
func isResolved(readAt, ended time.Time, resident engine.Resident) bool {
	changing := resident.State == engine.StateLoading || resident.State == engine.StateUnloading
	return !changing && readAt.Sub(ended) >= lateEffectWindow
}

func (t *modelTable) reconcileModel(now time.Time, m *model, readAt time.Time, resident engine.Resident) {
	inOrder := m.state == wire.ModelLoading || m.state == wire.ModelUnloading
	if m.state == wire.ModelAbsent || (inOrder && !m.uncertain) || !isResolved(readAt, m.orderEnded, resident) {
		return
	}
	present := resident.State == engine.StateLoaded
	if !m.uncertain && present {
		return
	}
	if !present {
		t.handleModelLost(now, m)
		return
	}
	t.logLedgerError(t.ledger.Resolve(m.target(), true))
	m.uncertain = false
	m.state = wire.ModelLoaded
	if m.revoked {
		t.startUnload(m, "revoked")
	}
}

// handleModelLost records that the engine doesn't hold a model, after an order
// whose response was lost or after a restart of the engine.
func (t *modelTable) handleModelLost(now time.Time, m *model) {
	if !m.uncertain {
		t.controller.logger.Warn("engine no longer holds a loaded model", "model", m.id.String())
	}
	for target, a := range t.adapters {
		if modelOf(target) == m.id {
			t.handleBaseModelLost(now, a)
		}
	}
	t.releaseMemory(m.target())
	t.markAbsent(m)
}

// handleBaseModelLost records that the engine lost the base model of an adapter.
// An adapter with an order that may still take effect keeps its ledger entry
// until the engine's state resolves it, as the base model may be reloaded before.
func (t *modelTable) handleBaseModelLost(now time.Time, a *adapter) {
	t.notifyAdapterWaiters(now, a, wire.ReasonLoadFailed)
	queued := t.cancelQueuedLoad(a)
	changing := a.state == wire.ModelLoading || a.state == wire.ModelUnloading
	if a.uncertain || (changing && !queued) {
		a.baseLost = true
		return
	}
	t.releaseMemory(a.target)
	t.markAdapterAbsent(a)
}

// markAdapterAbsent records that the engine doesn't hold an adapter. The adapter
// stays in the table while running requests still count as its users.
func (t *modelTable) markAdapterAbsent(a *adapter) {
	a.state = wire.ModelAbsent
	a.uncertain = false
	if a.users == 0 {
		delete(t.adapters, a.target)
	}
}

// cancelQueuedLoad removes an adapter's load from the queue and reports whether
// there was one.
func (t *modelTable) cancelQueuedLoad(a *adapter) bool {
	before := len(t.adapterLoads)
	t.adapterLoads = slices.DeleteFunc(t.adapterLoads, func(load adapterLoadRequest) bool {
		return load.adapter == a
	})
	return len(t.adapterLoads) < before
}

// releaseMemory removes the ledger entry of a target that the engine doesn't hold.
func (t *modelTable) releaseMemory(target engine.Target) {
	if t.ledger.Get(target).State == ledger.Absent {
		return
	}
	if t.ledger.Get(target).State != ledger.Uncertain {
		t.logLedgerError(t.ledger.MarkUncertain(target))
	}
	t.logLedgerError(t.ledger.Resolve(target, false))
}

func (t *modelTable) reconcileAdapter(a *adapter, readAt time.Time, resident engine.Resident) {
	if !a.uncertain || !isResolved(readAt, a.orderEnded, resident) {
		return
	}
	present := resident.State == engine.StateLoaded
	t.logLedgerError(t.ledger.Resolve(a.target, present))
	a.uncertain = false
	a.baseLost = false
	if present {
		a.state = wire.ModelLoaded
		return
	}
	t.markAdapterAbsent(a)
}

// unloadUnknown unloads models that the engine holds without a ledger entry: the
// late effect of an order of an earlier incarnation.
func (t *modelTable) unloadUnknown(now, readAt time.Time, residents []engine.Resident) {
	for _, resident := range residents {
		if resident.State != engine.StateLoaded || resident.Target.Adapter != "" {
			continue
		}
		m := t.model(modelOf(resident.Target))
		if m.state != wire.ModelAbsent || readAt.Sub(m.orderEnded) < lateEffectWindow {
			continue
		}
		t.controller.logger.Warn("engine holds a model that was not requested", "model", m.id.String())
		if err := t.ledger.Reserve(m.target(), resident.MemoryMiB); err != nil {
			t.logLedgerError(err)
		} else {
			t.logLedgerError(t.ledger.ConfirmLoad(m.target()))
		}
		m.memoryMiB = resident.MemoryMiB
		m.state = wire.ModelLoaded
		m.lastUsed = now
		if _, ok := t.enforcer.BeginLoad(m.id.Model, m.id.Version); !ok {
			t.startUnload(m, "no permit")
		}
	}
}
