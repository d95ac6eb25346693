package residency

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// delayedOrder is an order that is executed later although its sender got no
// response.
type delayedOrder struct {
	order     modelrunner.Order
	arrivesAt time.Time
}

// fakeRunner simulates a model runner in virtual time.
type fakeRunner struct {
	t               *rapid.T
	placement       *Placement
	startedAtMillis int64

	sequence int64
	fence    int64
	models   map[string]map[string]bool
	disk     map[string]bool
	memory   map[string]bool
	// loading maps the adapters in transfer to the time at which they are loaded.
	loading map[adapterID]time.Time
	// busy is the order for a model that is being executed.
	busy      *modelrunner.Order
	busyUntil time.Time
	delayed   []delayedOrder
}

func newFakeRunner(t *rapid.T, placement *Placement) *fakeRunner {
	r := &fakeRunner{t: t, placement: placement, disk: map[string]bool{}}
	r.restart()
	return r
}

// restart clears the runner's state except for its disk. Delayed orders still
// arrive.
func (r *fakeRunner) restart() {
	r.startedAtMillis++
	r.sequence = 0
	r.fence = 0
	r.models = map[string]map[string]bool{}
	r.memory = map[string]bool{}
	r.loading = map[adapterID]time.Time{}
	r.busy = nil
}

func (r *fakeRunner) placedModel(model string) PlacedModel {
	for _, p := range r.placement.Models {
		if p.Name == model {
			return p
		}
	}
	r.t.Fatalf("order for the unknown model %q", model)
	return PlacedModel{}
}

// execute executes or refuses an order that has arrived.
func (r *fakeRunner) execute(now time.Time, order modelrunner.Order) modelrunner.Result {
	switch {
	case order.Fence < r.fence:
		return modelrunner.StaleFence
	case order.Expected != r.sequence || r.busy != nil:
		return modelrunner.Conflict
	}
	r.fence = order.Fence
	if order.Adapter != "" {
		return r.executeAdapter(now, order)
	}
	_, loaded := r.models[order.Model]
	if loaded == (order.Operation == modelrunner.Load) {
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

func (r *fakeRunner) loadTime(model string) time.Duration {
	p := r.placedModel(model)
	switch {
	case r.memory[model]:
		return millis(p.MemoryLoadMillis)
	case r.disk[model]:
		return millis(p.DiskLoadMillis)
	default:
		return millis(p.RemoteLoadMillis)
	}
}

func (r *fakeRunner) executeAdapter(now time.Time, order modelrunner.Order) modelrunner.Result {
	adapters, loaded := r.models[order.Model]
	if !loaded {
		return modelrunner.Conflict
	}
	id := adapterID{order.Model, order.Adapter}
	_, isLoading := r.loading[id]
	if order.Operation == modelrunner.Unload {
		if !adapters[order.Adapter] {
			return modelrunner.AlreadyHolds
		}
		r.sequence++
		delete(adapters, order.Adapter)
		return modelrunner.AlreadyHolds
	}
	if adapters[order.Adapter] || isLoading {
		return modelrunner.AlreadyHolds
	}
	r.sequence++
	r.loading[id] = now.Add(20 * time.Millisecond)
	r.checkMemory()
	return modelrunner.Accepted
}

// checkMemory fails the test if the orders exceed what the runner can hold.
func (r *fakeRunner) checkMemory() {
	var mib int64
	slots := len(r.loading)
	for model, adapters := range r.models {
		mib += r.placedModel(model).MiB + int64(len(adapters))*r.placedModel(model).AdapterMiB
		slots += len(adapters)
	}
	for id := range r.loading {
		mib += r.placedModel(id.model).AdapterMiB
	}
	if r.busy != nil && r.busy.Operation == modelrunner.Load {
		mib += r.placedModel(r.busy.Model).MiB
	}
	if mib > r.placement.MiB {
		r.t.Fatalf("orders need %d MiB of %d MiB", mib, r.placement.MiB)
	}
	if slots > r.placement.AdapterSlots {
		r.t.Fatalf("orders need %d adapter slots of %d", slots, r.placement.AdapterSlots)
	}
}

// advance processes everything that is due by now.
func (r *fakeRunner) advance(now time.Time) {
	if r.busy != nil && !now.Before(r.busyUntil) {
		r.finish(*r.busy)
		r.busy = nil
	}
	for id, at := range r.loading {
		if now.Before(at) {
			continue
		}
		delete(r.loading, id)
		if adapters, loaded := r.models[id.model]; loaded {
			adapters[id.name] = true
		}
	}
	due := slices.Clone(r.delayed)
	r.delayed = slices.DeleteFunc(r.delayed, func(d delayedOrder) bool { return !now.Before(d.arrivesAt) })
	for _, d := range due {
		if !now.Before(d.arrivesAt) {
			r.execute(now, d.order)
		}
	}
}

func (r *fakeRunner) finish(order modelrunner.Order) {
	if order.Operation == modelrunner.Unload {
		delete(r.models, order.Model)
		return
	}
	r.models[order.Model] = map[string]bool{}
	r.disk[order.Model] = true
	r.memory[order.Model] = true
}

func (r *fakeRunner) report() modelrunner.Report {
	report := modelrunner.Report{
		State:           fleet.BackendReady,
		Busy:            r.busy != nil,
		Sequence:        r.sequence,
		StartedAtMillis: r.startedAtMillis,
		InMemory:        slices.Sorted(maps.Keys(r.memory)),
		OnDisk:          slices.Sorted(maps.Keys(r.disk)),
	}
	for _, model := range slices.Sorted(maps.Keys(r.models)) {
		loaded := modelrunner.LoadedModel{Name: model, Adapters: slices.Sorted(maps.Keys(r.models[model]))}
		for id := range r.loading {
			if id.model == model {
				loaded.LoadingAdapters = append(loaded.LoadingAdapters, id.name)
			}
		}
		report.Models = append(report.Models, loaded)
	}
	return report
}
