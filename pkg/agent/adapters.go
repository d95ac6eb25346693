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
	// baseLost tells that the engine lost the base model while an order for the
	// adapter was under way, so that the order's answer may be out of date.
	baseLost bool
	// users counts the requests that run with the adapter.
	users    int
	lastUsed time.Time
	// waiters are told when the load has ended; the reason is empty on success.
	waiters    []func(wire.Reason)
	orderEnded time.Time
}

// errBaseLost makes the answer to an adapter's load count as lost.
var errBaseLost = errors.New("the engine lost the base model during the adapter's load")

// adapterLoad is an adapter's load that waits for a place in the window.
type adapterLoad struct {
	adapter *adapter
	mib     int64
}

// acquireAdapter makes an adapter ready for one request and calls done on the
// loop. The request's model is loaded and counts the request as running.
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

// releaseAdapter ends one request's use of an adapter.
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
		t.adapterEnded(now, a, wire.ReasonNoMemory)
		return
	}
	if err != nil {
		t.note(err)
		t.adapterEnded(now, a, wire.ReasonLoadFailed)
		return
	}
	a.state = wire.ModelLoading
	t.adapterLoads = append(t.adapterLoads, adapterLoad{adapter: a, mib: mib})
	t.pumpAdapters(now)
}

// pumpAdapters starts the adapter loads for which the window has a place.
func (t *modelTable) pumpAdapters(now time.Time) {
	for len(t.adapterLoads) > 0 && t.window.Start(now) {
		load := t.adapterLoads[0]
		t.adapterLoads = t.adapterLoads[1:]
		t.orders.loadAdapter(load.adapter.target, load.mib, func(err error) {
			t.adapterLoaded(t.controller.now(), now, load.adapter, err)
		})
	}
}

func (t *modelTable) adapterLoaded(now, started time.Time, a *adapter, err error) {
	a.orderEnded = now
	t.window.Done(now, now.Sub(started))
	t.controller.metrics.Load("adapter", loadResult(err), now.Sub(started))
	t.pumpAdapters(now)
	if err == nil && a.baseLost {
		err = errBaseLost
	}
	a.baseLost = false
	if err == nil {
		t.note(t.ledger.ConfirmLoad(a.target))
		a.state = wire.ModelLoaded
		t.adapterEnded(now, a, "")
		return
	}
	t.controller.logger.Warn("adapter load failed", "adapter", a.target.Adapter, "model", a.target.Model, "error", err)
	if isNotRun(err) {
		t.note(t.ledger.Cancel(a.target))
		a.state = wire.ModelAbsent
	} else {
		t.note(t.ledger.MarkUncertain(a.target))
		a.uncertain = true
	}
	t.adapterEnded(now, a, wire.ReasonLoadFailed)
}

// adapterEnded tells the waiters how the load ended. Those who get no adapter
// don't count as users.
func (t *modelTable) adapterEnded(now time.Time, a *adapter, reason wire.Reason) {
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

// evictIdleAdapter orders the least recently used idle adapter out of memory.
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

// evictIdleModel orders the idle model whose loss costs least out of memory.
func (t *modelTable) evictIdleModel(now time.Time, wanted engine.Target) {
	var idle []*model
	for _, m := range t.models {
		if m.isIdle() && !m.keep {
			idle = append(idle, m)
		}
	}
	const anySize = 1
	t.evict(now, idle, anySize, t.model(modelOf(wanted)).policy)
}

// unloadAdaptersOf unloads a model's adapters and then calls done, unless an
// unload fails; then the model waits for the next look at the engine's state.
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
		t.note(err)
		return
	}
	a.state = wire.ModelUnloading
	t.orders.unload(a.target, func(err error) {
		a.orderEnded = t.controller.now()
		if err != nil {
			t.note(t.ledger.MarkUncertain(a.target))
			a.uncertain = true
		} else {
			t.note(t.ledger.Resolve(a.target, false))
			delete(t.adapters, a.target)
		}
		done()
	})
}
