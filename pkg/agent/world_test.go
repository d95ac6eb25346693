package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	simRunner      = "runner-1"
	simCapacityMiB = 100
	simSlots       = 2
	simModels      = 4
	simAdapters    = 2
	adapterMiB     = 8
)

// simStart is far in the future, so that no timer of a request's context expires
// during the test.
var simStart = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

var errLostResponse = errors.New("lost response")

// modelMiB returns the size of the i-th model. Not all of them fit together.
func modelMiB(i int) int64 { return int64(30 + 10*i) }

func modelID(i int) placement.ModelVersion {
	return placement.ModelVersion{Model: fmt.Sprintf("model-%d", i), Version: "1"}
}

// orderKind is the kind of an order to the engine.
type orderKind int

const (
	orderLoad orderKind = iota
	orderUnload
	orderLoadAdapter
)

// order is an order that the table has issued.
type order struct {
	kind   orderKind
	target engine.Target
	mib    int64
	// permitted is called right before a load is sent; nil for other orders.
	permitted func() bool
	dropped   func()
	done      func(error)
}

// lateOrder is an order that takes effect after its response was lost.
type lateOrder struct {
	order order
	until time.Time
}

// simulatedRequest is one request and its observed history.
type simulatedRequest struct {
	state  *requestState
	starts int
	ends   int
	// running reports whether the engine runs the request.
	running  bool
	adapter  engine.Target
	acquired bool
	// ran reports whether the request was sent to the engine.
	ran bool
	// interrupted reports that the engine restarted while it ran the request.
	interrupted bool
}

// simulation drives an agent's control state with a fake engine and a fake store,
// and checks its invariants. It implements executor.
type simulation struct {
	t          *rapid.T
	now        time.Time
	controller *controller
	table      *modelTable

	// loaded is what the engine holds, in MiB.
	loaded map[engine.Target]int64
	// lossesNoticed reports whether the agent knows everything that the engine lost.
	lossesNoticed bool
	orders        []order
	late          []lateOrder
	changes       []placement.Change
	reads         []placement.ModelVersion
	loadRequests  []func()

	revision   int64
	placements map[placement.ModelVersion]wire.Placement

	requests []*simulatedRequest
}

// errorHandler fails the test when an error is logged, as that indicates a bug.
type errorHandler struct {
	slog.Handler
	t *rapid.T
}

// Enabled implements slog.Handler.
func (h *errorHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

// Handle implements slog.Handler.
func (h *errorHandler) Handle(_ context.Context, record slog.Record) error {
	var attributes []string
	record.Attrs(func(a slog.Attr) bool {
		attributes = append(attributes, a.String())
		return true
	})
	h.t.Fatalf("%s: %v", record.Message, attributes)
	return nil
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t:             t,
		now:           simStart,
		loaded:        map[engine.Target]int64{},
		lossesNoticed: true,
		placements:    map[placement.ModelVersion]wire.Placement{},
		revision:      1,
	}
	var config settings.Agent
	config.Host.ID = simRunner
	config.Limits.MaxQueued = 6
	config.Backend.Slots = simSlots
	logger := slog.New(&errorHandler{Handler: slog.DiscardHandler, t: t})
	w.controller = newController(context.Background(), config, "incarnation-1", metrics.NewAgent(tally.NoopScope), logger)
	w.controller.now = func() time.Time { return w.now }
	w.controller.start = w.start
	stopped, stop := context.WithCancel(context.Background())
	stop()
	w.controller.loop.Run(stopped)
	w.table = newModelTable(w.controller, simCapacityMiB, w)
	w.controller.models = w.table
	w.table.enablePacing(loading.StoreLimits{StartsPerSecond: 4, MaxConcurrent: 4}, func(_ wire.LoadRequest, done func(wire.LoadGrant, bool)) {
		w.loadRequests = append(w.loadRequests, func() { done(wire.LoadGrant{}, false) })
	})
	for i := range simModels {
		w.grantPermit(i)
	}
	w.table.initialize(w.now, w.state())
	w.table.execute(w.table.enforcer.Step(placement.PlacementRead{Revision: w.revision, Placements: w.stored()}))
	return w
}

// loadModel implements executor.
func (w *simulation) loadModel(load loadOrder) {
	w.orders = append(w.orders, order{
		kind:      orderLoad,
		target:    load.target,
		mib:       load.memoryMiB,
		permitted: func() bool { return w.table.beginLoadIfPermitted(load.id) },
		dropped:   func() { w.table.loadNotStarted(w.now, load.id, wire.ReasonNoPermit) },
		done:      func(err error) { w.table.loadEnded(w.now, load.id, err) },
	})
}

// unload implements executor.
func (w *simulation) unload(target engine.Target, done func(error)) {
	w.orders = append(w.orders, order{kind: orderUnload, target: target, done: done})
}

// loadAdapter implements executor.
func (w *simulation) loadAdapter(target engine.Target, mib int64, done func(error)) {
	w.orders = append(w.orders, order{kind: orderLoadAdapter, target: target, mib: mib, done: done})
}

// removePermit implements executor.
func (w *simulation) removePermit(change placement.Change) { w.changes = append(w.changes, change) }

// readPlacement implements executor.
func (w *simulation) readPlacement(id placement.ModelVersion) { w.reads = append(w.reads, id) }

// applyOrder lets an order take effect in the engine.
func (w *simulation) applyOrder(o order) {
	if o.kind == orderUnload {
		w.applyUnload(o.target)
		return
	}
	if o.kind == orderLoadAdapter && w.loaded[baseOf(o.target)] == 0 {
		return
	}
	w.loaded[o.target] = o.mib
}

func (w *simulation) applyUnload(target engine.Target) {
	for _, r := range w.requests {
		if r.running && !r.interrupted && w.loaded[target] > 0 && (r.target() == target || r.adapter == target) {
			w.t.Fatalf("%v was unloaded while the request %s used it", target, r.state.request.ID)
		}
	}
	delete(w.loaded, target)
	if target.Adapter != "" {
		return
	}
	for loaded := range w.loaded {
		if baseOf(loaded) == target {
			w.t.Fatalf("%v was unloaded before its adapter %v", target, loaded)
		}
	}
}

func baseOf(target engine.Target) engine.Target {
	return engine.Target{Model: target.Model, Version: target.Version}
}

// state returns the state that the engine reports.
func (w *simulation) state() engine.State {
	state := engine.State{MemoryMiB: simCapacityMiB, Slots: simSlots}
	for i := range simModels {
		target := engine.Target{Model: modelID(i).Model, Version: "1"}
		resident := engine.Resident{Target: target, State: engine.StateAbsent, Cache: engine.CacheDisk}
		if i == 0 {
			resident.Cache = engine.CacheRemote
		}
		if mib := w.loaded[target]; mib > 0 {
			resident.State, resident.MemoryMiB, resident.Cache = engine.StateLoaded, mib, engine.CacheMemory
		}
		state.Residents = append(state.Residents, resident)
	}
	for target, mib := range w.loaded {
		if target.Adapter != "" {
			state.Residents = append(state.Residents, engine.Resident{Target: target, State: engine.StateLoaded, MemoryMiB: mib})
		}
	}
	return state
}

// start runs a request at the fake engine.
func (w *simulation) start(t *requestState) {
	index := slices.IndexFunc(w.requests, func(r *simulatedRequest) bool { return r.state == t })
	if index < 0 {
		// The request was started on arrival.
		w.requests = append(w.requests, w.newSimulatedRequest(t))
		index = len(w.requests) - 1
	}
	r := w.requests[index]
	r.starts++
	if r.starts > 1 || r.ends > 0 {
		w.t.Fatalf("request %s was started %d times, ended %d times", t.request.ID, r.starts, r.ends)
	}
	if w.lossesNoticed && w.loaded[r.target()] == 0 {
		w.t.Fatalf("request %s was started without its model", t.request.ID)
	}
	r.running = true
	if t.request.Adapter == "" {
		r.ran = true
		return
	}
	r.adapter = engine.Target{Model: t.request.Model, Version: t.request.Version, Adapter: t.request.Adapter, AdapterVersion: "1"}
	w.table.acquireAdapter(w.now, r.adapter, adapterMiB, func(reason wire.Reason) { w.adapterReady(r, reason) })
}

func (w *simulation) adapterReady(r *simulatedRequest, reason wire.Reason) {
	if reason == "" {
		r.acquired = true
		r.ran = true
		if w.lossesNoticed && w.loaded[r.adapter] == 0 {
			w.t.Fatalf("request %s got the adapter %v, which isn't loaded", r.state.request.ID, r.adapter)
		}
		return
	}
	r.adapter = engine.Target{}
	r.state.refuse(wire.OutcomeNotRun, reason, retryAfterEngineFailure, "adapter")
}

func (w *simulation) newSimulatedRequest(t *requestState) *simulatedRequest {
	r := &simulatedRequest{state: t}
	t.onCompleted = func(*requestState) { r.ends++ }
	return r
}

func (r *simulatedRequest) target() engine.Target {
	return engine.Target{Model: r.state.request.Model, Version: r.state.request.Version}
}

// grantPermit grants the runner a permit for a model unless it has one.
func (w *simulation) grantPermit(i int) {
	id := modelID(i)
	current := w.placements[id]
	if len(current.Permits) > 0 {
		return
	}
	w.revision++
	w.placements[id] = wire.Placement{
		Model:     id.Model,
		Version:   id.Version,
		Revision:  w.revision,
		Permits:   []wire.Permit{{Runner: simRunner, Epoch: w.revision}},
		MemoryMiB: modelMiB(i),
	}
}

func (w *simulation) stored() []wire.Placement {
	var all []wire.Placement
	for i := range simModels {
		if p, ok := w.placements[modelID(i)]; ok {
			all = append(all, p)
		}
	}
	return all
}

// check checks the invariants that hold after every step.
func (w *simulation) check(t *rapid.T) {
	var used int64
	for target, mib := range w.loaded {
		used += mib
		id := modelOf(target)
		if len(w.placements[id].Permits) == 0 {
			t.Fatalf("the engine holds %v without a permit", target)
		}
	}
	if used > simCapacityMiB {
		t.Fatalf("the engine holds %d MiB of %d MiB: %v", used, simCapacityMiB, w.loaded)
	}
	running := 0
	for _, r := range w.requests {
		w.checkRequest(t, r)
		if r.running {
			running++
		}
	}
	if running > simSlots {
		t.Fatalf("%d requests run in %d slots", running, simSlots)
	}
}

func (w *simulation) checkRequest(t *rapid.T, r *simulatedRequest) {
	_, _, refusal := r.state.response.result()
	id := r.state.request.ID
	switch {
	case r.ends > 1:
		t.Fatalf("request %s ended %d times", id, r.ends)
	case refusal != nil && refusal.Outcome == wire.OutcomeNotRun && r.ran:
		t.Fatalf("request %s is refused as not run with reason %q after it ran", id, refusal.Reason)
	case r.starts == 0 && r.ends == 0 && w.now.After(r.state.deadline.Add(2*tickInterval)):
		t.Fatalf("request %s waits after its deadline", id)
	}
}
