package residency

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// lateOrder is an order that reached the runner, or will, although nobody got an
// answer to it.
type lateOrder struct {
	order   modelrunner.Order
	arrives time.Time
}

// virtualRunner is a model runner as the platform describes it, in virtual time.
type virtualRunner struct {
	t    *rapid.T
	plan *Placement
	born int64

	sequence int64
	fence    int64
	models   map[string]map[string]bool
	disk     map[string]bool
	memory   map[string]bool
	// coming holds the adapters under way and when they are there.
	coming map[adapterID]time.Time
	// busy is the order for a model under way.
	busy      *modelrunner.Order
	busyUntil time.Time
	late      []lateOrder
}

func newVirtualRunner(t *rapid.T, plan *Placement) *virtualRunner {
	r := &virtualRunner{t: t, plan: plan, disk: map[string]bool{}}
	r.restart()
	return r
}

// restart empties the runner; only its disk stays, and orders on their way still
// arrive.
func (r *virtualRunner) restart() {
	r.born++
	r.sequence = 0
	r.fence = 0
	r.models = map[string]map[string]bool{}
	r.memory = map[string]bool{}
	r.coming = map[adapterID]time.Time{}
	r.busy = nil
}

func (r *virtualRunner) planned(model string) PlacedModel {
	for _, p := range r.plan.Models {
		if p.Name == model {
			return p
		}
	}
	r.t.Fatalf("order for the unknown model %q", model)
	return PlacedModel{}
}

// take carries out or refuses an order that has arrived.
func (r *virtualRunner) take(now time.Time, order modelrunner.Order) modelrunner.Result {
	switch {
	case order.Fence < r.fence:
		return modelrunner.StaleFence
	case order.Expected != r.sequence || r.busy != nil:
		return modelrunner.Conflict
	}
	r.fence = order.Fence
	if order.Adapter != "" {
		return r.takeAdapter(now, order)
	}
	_, held := r.models[order.Model]
	if held == (order.Operation == modelrunner.Load) {
		return modelrunner.AlreadyHolds
	}
	r.sequence++
	r.busy = &order
	r.busyUntil = now
	if order.Operation == modelrunner.Load {
		r.busyUntil = now.Add(r.loadTime(order.Model))
	}
	r.checkMemory()
	return modelrunner.Accepted
}

func (r *virtualRunner) loadTime(model string) time.Duration {
	p := r.planned(model)
	switch {
	case r.memory[model]:
		return millis(p.MemoryLoadMillis)
	case r.disk[model]:
		return millis(p.DiskLoadMillis)
	default:
		return millis(p.RemoteLoadMillis)
	}
}

func (r *virtualRunner) takeAdapter(now time.Time, order modelrunner.Order) modelrunner.Result {
	adapters, held := r.models[order.Model]
	if !held {
		return modelrunner.Conflict
	}
	id := adapterID{order.Model, order.Adapter}
	_, isComing := r.coming[id]
	if order.Operation == modelrunner.Unload {
		if !adapters[order.Adapter] {
			return modelrunner.AlreadyHolds
		}
		r.sequence++
		delete(adapters, order.Adapter)
		return modelrunner.AlreadyHolds
	}
	if adapters[order.Adapter] || isComing {
		return modelrunner.AlreadyHolds
	}
	r.sequence++
	r.coming[id] = now.Add(20 * time.Millisecond)
	r.checkMemory()
	return modelrunner.Accepted
}

// checkMemory fails the test if more was ordered than the runner can hold.
func (r *virtualRunner) checkMemory() {
	var mib int64
	slots := len(r.coming)
	for model, adapters := range r.models {
		mib += r.planned(model).MiB + int64(len(adapters))*r.planned(model).AdapterMiB
		slots += len(adapters)
	}
	for id := range r.coming {
		mib += r.planned(id.model).AdapterMiB
	}
	if r.busy != nil && r.busy.Operation == modelrunner.Load {
		mib += r.planned(r.busy.Model).MiB
	}
	if mib > r.plan.MiB {
		r.t.Fatalf("%d MiB ordered into %d MiB", mib, r.plan.MiB)
	}
	if slots > r.plan.AdapterSlots {
		r.t.Fatalf("%d adapters ordered into %d slots", slots, r.plan.AdapterSlots)
	}
}

// pass lets time go by up to now.
func (r *virtualRunner) pass(now time.Time) {
	if r.busy != nil && !now.Before(r.busyUntil) {
		r.finish(*r.busy)
		r.busy = nil
	}
	for id, at := range r.coming {
		if now.Before(at) {
			continue
		}
		delete(r.coming, id)
		if adapters, held := r.models[id.model]; held {
			adapters[id.name] = true
		}
	}
	due := slices.Clone(r.late)
	r.late = slices.DeleteFunc(r.late, func(l lateOrder) bool { return !now.Before(l.arrives) })
	for _, l := range due {
		if !now.Before(l.arrives) {
			r.take(now, l.order)
		}
	}
}

func (r *virtualRunner) finish(order modelrunner.Order) {
	if order.Operation == modelrunner.Unload {
		delete(r.models, order.Model)
		return
	}
	r.models[order.Model] = map[string]bool{}
	r.disk[order.Model] = true
	r.memory[order.Model] = true
}

func (r *virtualRunner) report() modelrunner.Report {
	report := modelrunner.Report{
		State:           fleet.BackendReady,
		Busy:            r.busy != nil,
		Sequence:        r.sequence,
		StartedAtMillis: r.born,
		InMemory:        slices.Sorted(maps.Keys(r.memory)),
		OnDisk:          slices.Sorted(maps.Keys(r.disk)),
	}
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		held := modelrunner.LoadedModel{Name: model, Adapters: slices.Sorted(maps.Keys(r.models[model]))}
		for id := range r.coming {
			if id.model == model {
				held.LoadingAdapters = append(held.LoadingAdapters, id.name)
			}
		}
		report.Models = append(report.Models, held)
	}
	return report
}
