package agent

import (
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// adapter is the state of one adapter on a loaded model.
type adapter struct {
	target    engine.Target
	state     wire.ModelState
	uncertain bool
	// baseLost is set if the engine lost the base model while an order for
	// the adapter was in progress, so that the order's response may be stale.
	baseLost bool
	// users counts the running requests that use the adapter.
	users    int
	lastUsed time.Time
	// waiters are called when the load has ended; the reason is empty on success.
	waiters    []func(wire.Reason)
	orderEnded time.Time
}

// errBaseLost makes the outcome of an adapter load uncertain.
var errBaseLost = errors.New("the engine lost the base model during the adapter's load")

// adapterLoadRequest is an adapter load that waits for a free slot in the
// adapter window.
type adapterLoadRequest struct {
	adapter *adapter
	mib     int64
}

// acquireAdapter makes an adapter ready for one request and calls done on the
// loop. The request's model is loaded and the request counts as running.
func (t *modelTable) acquireAdapter(now time.Time, target engine.Target, mib int64, done func(wire.Reason)) {
	a := t.adapters[target]
	if a == nil {
		a = &adapter{target: target}
		t.adapters[target] = a
	}
	if a.uncertain || a.state == wire.ModelUnloading {
		done(wire.ReasonLoadFailed)
		return
	}
	a.users++
	switch a.state {
	case wire.ModelLoaded:
		done("")
	case wire.ModelLoading:
		a.waiters = append(a.waiters, done)
	default:
		a.waiters = append(a.waiters, done)
		t.loadAdapter(now, a, mib)
	}
}

// releaseAdapter releases an adapter that one request has used.
func (t *modelTable) releaseAdapter(now time.Time, target engine.Target) {
	if a := t.adapters[target]; a != nil {
		a.users--
		a.lastUsed = now
	}
}

func (t *modelTable) loadAdapter(now time.Time, a *adapter, mib int64) {
	err := t.ledger.Reserve(a.target, mib)
	if errors.Is(err, ledger.ErrNoMemory) {
		t.evictIdleAdapter(a)
		t.evictIdleModel(now, a.target)
		t.notifyAdapterWaiters(now, a, wire.ReasonNoMemory)
		return
	}
	if err != nil {
		t.logLedgerError(err)
		t.notifyAdapterWaiters(now, a, wire.ReasonLoadFailed)
		return
	}
	a.state = wire.ModelLoading
	t.adapterLoads = append(t.adapterLoads, adapterLoadRequest{adapter: a, mib: mib})
	t.startAdapterLoads(now)
}

// startAdapterLoads starts queued adapter loads while the window has free slots.
func (t *modelTable) startAdapterLoads(now time.Time) {
	for len(t.adapterLoads) > 0 && t.window.Start(now) {
		load := t.adapterLoads[0]
		t.adapterLoads = t.adapterLoads[1:]
		t.executor.loadAdapter(load.adapter.target, load.mib, func(err error) {
			t.adapterLoadEnded(t.controller.now(), now, load.adapter, err)
		})
	}
}

func (t *modelTable) adapterLoadEnded(now, started time.Time, a *adapter, err error) {
	a.orderEnded = now
	t.window.Done(now, now.Sub(started))
	t.controller.metrics.Load("adapter", loadResult(err), now.Sub(started))
	t.startAdapterLoads(now)
	if err == nil && a.baseLost {
		err = errBaseLost
	}
	a.baseLost = false
	if err == nil {
		t.logLedgerError(t.ledger.ConfirmLoad(a.target))
		a.state = wire.ModelLoaded
		t.notifyAdapterWaiters(now, a, "")
		return
	}
	t.controller.logger.Warn("adapter load failed", "adapter", a.target.Adapter, "model", a.target.Model, "error", err)
	if isNotRun(err) {
		t.logLedgerError(t.ledger.Cancel(a.target))
		a.state = wire.ModelAbsent
	} else {
		t.logLedgerError(t.ledger.MarkUncertain(a.target))
		a.uncertain = true
	}
	t.notifyAdapterWaiters(now, a, wire.ReasonLoadFailed)
}

// notifyAdapterWaiters reports the result of a load to the waiting requests. On
// failure they no longer count as users.
func (t *modelTable) notifyAdapterWaiters(now time.Time, a *adapter, reason wire.Reason) {
	waiters := a.waiters
	a.waiters = nil
	a.lastUsed = now
	if reason != "" {
		a.users -= len(waiters)
	}
	for _, done := range waiters {
		done(reason)
	}
}

// evictIdleAdapter unloads the least recently used idle adapter.
func (t *modelTable) evictIdleAdapter(wanted *adapter) {
	var victim *adapter
	for _, a := range t.adapters {
		if a == wanted || a.state != wire.ModelLoaded || a.users > 0 || a.uncertain {
			continue
		}
		if victim == nil || a.lastUsed.Before(victim.lastUsed) {
			victim = a
		}
	}
	if victim != nil {
		t.unloadAdapter(victim, func() {})
	}
}

// evictIdleModel unloads the idle model with the lowest eviction cost.
func (t *modelTable) evictIdleModel(now time.Time, wanted engine.Target) {
	var idle []*model
	for _, m := range t.models {
		if m.isIdle() && !m.kept {
			idle = append(idle, m)
		}
	}
	const anySize = 1
	t.evict(now, idle, anySize, t.model(modelOf(wanted)).policy)
}

// unloadAdaptersOf unloads a model's adapters one after the other and then calls
// done. If an unload fails, done isn't called, and the model waits for the next
// reconciliation with the engine's state.
func (t *modelTable) unloadAdaptersOf(m *model, done func()) {
	for _, a := range t.adapters {
		ofModel := a.target.Model == m.id.Model && a.target.Version == m.id.Version
		if !ofModel || a.state == wire.ModelAbsent {
			continue
		}
		if a.state != wire.ModelLoaded || a.uncertain {
			m.state = wire.ModelLoaded
			return
		}
		t.unloadAdapter(a, func() { t.unloadAdaptersOf(m, done) })
		return
	}
	done()
}

func (t *modelTable) unloadAdapter(a *adapter, done func()) {
	if err := t.ledger.Release(a.target); err != nil {
		t.logLedgerError(err)
		return
	}
	a.state = wire.ModelUnloading
	t.executor.unload(a.target, func(err error) {
		a.orderEnded = t.controller.now()
		if err != nil {
			t.logLedgerError(t.ledger.MarkUncertain(a.target))
			a.uncertain = true
		} else {
			t.logLedgerError(t.ledger.Resolve(a.target, false))
			delete(t.adapters, a.target)
		}
		done()
	})
}
