package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// canFreeMemory reports whether free memory, unloads in progress and idle models
// together are enough for a model.
func (t *modelTable) canFreeMemory(m *model) bool {
	available := t.ledger.Free()
	for _, other := range t.models {
		if other == m {
			continue
		}
		if other.state == wire.ModelUnloading || (other.isIdle() && !other.kept) {
			available += t.memoryWithAdapters(other)
		}
	}
	return available >= m.memoryMiB
}

// memoryWithAdapters returns the memory that unloading a model frees.
func (t *modelTable) memoryWithAdapters(m *model) int64 {
	memory := t.ledger.Get(m.target()).MiB
	for target := range t.adapters {
		if target.Model == m.id.Model && target.Version == m.id.Version {
			memory += t.ledger.Get(target).MiB
		}
	}
	return memory
}

// freeMemoryFor unloads idle models until the unloads in progress free enough
// memory for a model. If they can't, it refuses the requests that wait for it.
func (t *modelTable) freeMemoryFor(now time.Time, m *model) {
	if !t.canFreeMemory(m) {
		t.controller.refuseWaiting(now, m.queueTarget(), wire.ReasonNoMemory, "")
		return
	}
	available := t.ledger.Free()
	var idle []*model
	for _, other := range t.models {
		if other.state == wire.ModelUnloading {
			available += t.memoryWithAdapters(other)
		}
		if other != m && other.isIdle() && !other.kept {
			idle = append(idle, other)
		}
	}
	t.evict(now, idle, m.memoryMiB-available, m.policy)
}

// evict unloads the idle models with the lowest eviction cost until needed MiB
// will be free.
func (t *modelTable) evict(now time.Time, idle []*model, needed int64, policy lists.Policy) {
	if needed <= 0 {
		return
	}
	candidates := make([]loading.Candidate, 0, len(idle))
	for _, m := range idle {
		candidates = append(candidates, loading.Candidate{
			Target:   m.target(),
			MiB:      t.memoryWithAdapters(m),
			LoadTime: t.estimates.expected(engine.CacheMemory),
		})
	}
	victims, _ := t.keepAlive.ChooseVictims(now, candidates, needed, policy)
	for _, victim := range victims {
		t.startUnload(t.model(modelOf(victim)), "evicted")
	}
}

// tick unloads models whose expected idle time costs more than a cold start.
func (t *modelTable) tick(now time.Time) {
	for _, m := range t.models {
		if m.revoked {
			t.retryRevoked(now, m)
			continue
		}
		if !m.isIdle() || m.kept {
			continue
		}
		loadTime := t.estimates.expected(engine.CacheMemory)
		if now.After(t.keepAlive.UnloadAt(now, m.target(), loadTime, t.memoryShare(m), m.policy)) {
			t.startUnload(m, "idle")
		}
	}
	t.startAdapterLoads(now)
	t.recordUsage(now)
}

// recordUsage adds up idle accelerator time, weighted by each model's share of the
// memory, and reports memory use.
func (t *modelTable) recordUsage(now time.Time) {
	since := now.Sub(t.meteredAt)
	if t.meteredAt.IsZero() {
		since = 0
	}
	t.meteredAt = now
	for _, m := range t.models {
		if m.isIdle() {
			t.idle += time.Duration(t.memoryShare(m) * float64(since))
		}
	}
	whole := t.idle.Truncate(time.Millisecond)
	t.idle -= whole
	t.controller.metrics.IdleAccelerator(whole)
	t.controller.metrics.Memory(t.ledger.Capacity(), t.ledger.Used())
}

// memoryShare returns the model's fraction of the engine's memory.
func (t *modelTable) memoryShare(m *model) float64 {
	capacity := t.ledger.Capacity()
	if capacity <= 0 {
		return 0
	}
	return float64(t.ledger.Get(m.target()).MiB) / float64(capacity)
}
