package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// canMakeRoom tells whether free memory, unloads under way and idle models
// together are enough for a model.
func (t *modelTable) canMakeRoom(m *model) bool {
	room := t.ledger.Free()
	for _, other := range t.models {
		if other == m {
			continue
		}
		if other.state == wire.ModelUnloading || (other.isIdle() && !other.keep) {
			room += t.heldWithAdapters(other)
		}
	}
	return room >= m.memoryMiB
}

// heldWithAdapters is the memory that the unload of a model frees.
func (t *modelTable) heldWithAdapters(m *model) int64 {
	held := t.ledger.Get(m.target()).MiB
	for target := range t.adapters {
		if target.Model == m.id.Model && target.Version == m.id.Version {
			held += t.ledger.Get(target).MiB
		}
	}
	return held
}

// makeRoom unloads idle models until the unloads under way free enough memory
// for a model. If they can't, the requests that wait for it are refused.
func (t *modelTable) makeRoom(now time.Time, m *model) {
	if !t.canMakeRoom(m) {
		t.controller.failWaiting(now, m.queueTarget(), wire.ReasonNoMemory, "")
		return
	}
	room := t.ledger.Free()
	var idle []*model
	for _, other := range t.models {
		if other.state == wire.ModelUnloading {
			room += t.heldWithAdapters(other)
		}
		if other != m && other.isIdle() && !other.keep {
			idle = append(idle, other)
		}
	}
	t.evict(now, idle, m.memoryMiB-room, m.policy)
}

// evict unloads the idle models whose loss costs least until needed MiB will be
// free.
func (t *modelTable) evict(now time.Time, idle []*model, needed int64, policy lists.Policy) {
	if needed <= 0 {
		return
	}
	candidates := make([]loading.Candidate, 0, len(idle))
	for _, m := range idle {
		candidates = append(candidates, loading.Candidate{
			Target:   m.target(),
			MiB:      t.heldWithAdapters(m),
			LoadTime: t.estimates.expected(engine.CacheMemory),
		})
	}
	victims, _ := t.keeper.ChooseVictims(now, candidates, needed, policy)
	for _, victim := range victims {
		t.beginUnload(t.model(modelOf(victim)), "evicted")
	}
}

// tick unloads models whose expected idle time costs more than a cold start.
func (t *modelTable) tick(now time.Time) {
	for _, m := range t.models {
		if m.revoked {
			t.retryRevoked(now, m)
			continue
		}
		if !m.isIdle() || m.keep {
			continue
		}
		loadTime := t.estimates.expected(engine.CacheMemory)
		if now.After(t.keeper.UnloadAt(now, m.target(), loadTime, t.share(m), m.policy)) {
			t.beginUnload(m, "idle")
		}
	}
	t.pumpAdapters(now)
	t.meter(now)
}

// meter counts idle accelerator time, each model by its share of the memory, and
// shows the memory.
func (t *modelTable) meter(now time.Time) {
	since := now.Sub(t.meteredAt)
	if t.meteredAt.IsZero() {
		since = 0
	}
	t.meteredAt = now
	for _, m := range t.models {
		if m.isIdle() {
			t.idle += time.Duration(t.share(m) * float64(since))
		}
	}
	whole := t.idle.Truncate(time.Millisecond)
	t.idle -= whole
	t.controller.metrics.IdleAccelerator(whole)
	t.controller.metrics.Memory(t.ledger.Capacity(), t.ledger.Used())
}

// share is the model's part of the engine's memory.
func (t *modelTable) share(m *model) float64 {
	capacity := t.ledger.Capacity()
	if capacity <= 0 {
		return 0
	}
	return float64(t.ledger.Get(m.target()).MiB) / float64(capacity)
}
