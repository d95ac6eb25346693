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
	// reconcileInterval is the time between two reads of the engine's state.
	reconcileInterval = time.Second
	// settleDelay is how long an order with a lost answer may still take effect
	// after the engine's state last showed no change under way.
	settleDelay = 2 * time.Second
)

// adopt takes in the engine's state at the start of the incarnation.
func (t *modelTable) adopt(now time.Time, state engine.State) {
	t.note(t.ledger.SyncFromEngine(state))
	var held []placement.ModelVersion
	for _, resident := range state.Residents {
		if resident.Target.Adapter != "" {
			t.adoptAdapter(now, resident)
			continue
		}
		m := t.model(modelOf(resident.Target))
		t.adoptModel(now, m, resident)
		if m.state == wire.ModelLoaded {
			held = append(held, m.id)
		}
	}
	t.controller.resize(state.Slots)
	t.perform(t.holder.Step(placement.EngineRead{Held: held}))
}

func (t *modelTable) adoptModel(now time.Time, m *model, resident engine.Resident) {
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

func (t *modelTable) adoptAdapter(now time.Time, resident engine.Resident) {
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

// observe takes in a state of the engine that was read from readAt on. It
// settles orders whose answers were lost, and notices what the engine lost or
// holds without an order of this incarnation.
func (t *modelTable) observe(now, readAt time.Time, state engine.State) {
	t.controller.resize(state.Slots)
	residents := make(map[engine.Target]engine.Resident, len(state.Residents))
	for _, resident := range state.Residents {
		residents[resident.Target] = resident
		t.observeCache(resident)
	}
	for _, a := range t.adapters {
		t.observeAdapter(a, readAt, residents[a.target])
	}
	for _, m := range t.models {
		t.observeModel(now, m, readAt, residents[m.target()])
	}
	t.observeUnknown(now, readAt, state.Residents)
	t.controller.advance(now)
}

func (t *modelTable) observeCache(resident engine.Resident) {
	if resident.Target.Adapter != "" {
		return
	}
	t.model(modelOf(resident.Target)).cache = resident.Cache
}

// isSettled tells whether an order that ended at ended can no longer be seen to
// change a state that was read from readAt on.
func isSettled(readAt, ended time.Time, resident engine.Resident) bool {
	changing := resident.State == engine.StateLoading || resident.State == engine.StateUnloading
	return !changing && readAt.Sub(ended) >= settleDelay
}

func (t *modelTable) observeModel(now time.Time, m *model, readAt time.Time, resident engine.Resident) {
	inOrder := m.state == wire.ModelLoading || m.state == wire.ModelUnloading
	if m.state == wire.ModelAbsent || (inOrder && !m.uncertain) || !isSettled(readAt, m.orderEnded, resident) {
		return
	}
	present := resident.State == engine.StateLoaded
	if !m.uncertain && present {
		return
	}
	if !present {
		t.modelLost(now, m)
		return
	}
	t.note(t.ledger.Resolve(m.target(), true))
	m.uncertain = false
	m.state = wire.ModelLoaded
	if m.revoked {
		t.beginUnload(m, "revoked")
	}
}

// modelLost records that the engine doesn't hold a model, after an order with a
// lost answer or a restart of the engine.
func (t *modelTable) modelLost(now time.Time, m *model) {
	if !m.uncertain {
		t.controller.logger.Warn("engine lost a model", "model", m.id.String())
	}
	for target, a := range t.adapters {
		if modelOf(target) == m.id {
			t.adapterLost(now, a)
		}
	}
	t.dropAccount(m.target())
	t.becameAbsent(m)
}

// adapterLost records that the engine lost the base model of an adapter. An
// adapter with an order that may still take effect keeps its account until the
// engine's state settles it, as the base model may be loaded again before.
func (t *modelTable) adapterLost(now time.Time, a *adapter) {
	t.adapterEnded(now, a, wire.ReasonLoadFailed)
	queued := t.dropQueuedLoad(a)
	changing := a.state == wire.ModelLoading || a.state == wire.ModelUnloading
	if a.uncertain || (changing && !queued) {
		a.baseLost = true
		return
	}
	t.dropAccount(a.target)
	t.forgetAdapter(a)
}

// forgetAdapter records that the engine doesn't hold an adapter. Requests that
// still run with it keep its count of users.
func (t *modelTable) forgetAdapter(a *adapter) {
	a.state = wire.ModelAbsent
	a.uncertain = false
	if a.users == 0 {
		delete(t.adapters, a.target)
	}
}

// dropQueuedLoad takes back an adapter's load that wasn't ordered yet, and tells
// whether there was one.
func (t *modelTable) dropQueuedLoad(a *adapter) bool {
	before := len(t.adapterLoads)
	t.adapterLoads = slices.DeleteFunc(t.adapterLoads, func(load adapterLoad) bool {
		return load.adapter == a
	})
	return len(t.adapterLoads) < before
}

// dropAccount frees the memory of a target that the engine doesn't hold.
func (t *modelTable) dropAccount(target engine.Target) {
	if t.ledger.Get(target).State == ledger.Absent {
		return
	}
	if t.ledger.Get(target).State != ledger.Uncertain {
		t.note(t.ledger.MarkUncertain(target))
	}
	t.note(t.ledger.Resolve(target, false))
}

func (t *modelTable) observeAdapter(a *adapter, readAt time.Time, resident engine.Resident) {
	if !a.uncertain || !isSettled(readAt, a.orderEnded, resident) {
		return
	}
	present := resident.State == engine.StateLoaded
	t.note(t.ledger.Resolve(a.target, present))
	a.uncertain = false
	a.baseLost = false
	if present {
		a.state = wire.ModelLoaded
		return
	}
	t.forgetAdapter(a)
}

// observeUnknown unloads what the engine holds without an account: the late
// effect of an order of an earlier incarnation.
func (t *modelTable) observeUnknown(now, readAt time.Time, residents []engine.Resident) {
	for _, resident := range residents {
		if resident.State != engine.StateLoaded || resident.Target.Adapter != "" {
			continue
		}
		m := t.model(modelOf(resident.Target))
		if m.state != wire.ModelAbsent || readAt.Sub(m.orderEnded) < settleDelay {
			continue
		}
		t.controller.logger.Warn("engine holds a model without an order", "model", m.id.String())
		if err := t.ledger.Reserve(m.target(), resident.MemoryMiB); err != nil {
			t.note(err)
		} else {
			t.note(t.ledger.ConfirmLoad(m.target()))
		}
		m.memoryMiB = resident.MemoryMiB
		m.state = wire.ModelLoaded
		m.lastUsed = now
		if _, ok := t.holder.BeginLoad(m.id.Model, m.id.Version); !ok {
			t.beginUnload(m, "no permit")
		}
	}
}
