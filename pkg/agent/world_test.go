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
	worldRunner      = "runner-1"
	worldCapacityMiB = 100
	worldSlots       = 2
	worldModels      = 4
	worldAdapters    = 2
	adapterMiB       = 8
)

// worldStart is far in the future, so that no timer of a request's context ends
// in the test.
var worldStart = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

var errLostAnswer = errors.New("lost answer")

// modelMiB is the size of the i-th model. Not all of them fit together.
func modelMiB(i int) int64 { return int64(30 + 10*i) }

func modelID(i int) placement.ModelVersion {
	return placement.ModelVersion{Model: fmt.Sprintf("model-%d", i), Version: "1"}
}

// orderKind is what an order asks of the engine.
type orderKind int

const (
	orderLoad orderKind = iota
	orderUnload
	orderAdapter
)

// order is an order that the table decided on.
type order struct {
	kind   orderKind
	target engine.Target
	mib    int64
	// permitted is asked right before a load is sent; nil for other orders.
	permitted func() bool
	dropped   func()
	done      func(error)
}

// lateOrder is an order that takes effect after its answer was lost.
type lateOrder struct {
	order order
	until time.Time
}

// served is one request and what became of it.
type served struct {
	ticket *ticket
	starts int
	ends   int
	// running tells that the engine has the request.
	running  bool
	adapter  engine.Target
	acquired bool
	// ran tells that the engine was asked to run the request.
	ran bool
	// broken tells that the engine restarted under the request.
	broken bool
}

// world drives an agent's control state beside a fake engine and a fake store,
// and checks what must always hold. It implements orderer.
type world struct {
	t          *rapid.T
	now        time.Time
	controller *controller
	table      *modelTable

	// held is what the engine holds, in MiB.
	held map[engine.Target]int64
	// intact tells that the engine lost nothing that wasn't observed since.
	intact  bool
	orders  []order
	late    []lateOrder
	changes []placement.Change
	reads   []placement.ModelVersion
	asks    []func()

	revision   int64
	placements map[placement.ModelVersion]wire.Placement

	requests []*served
}

// errorHandler fails the test on a log line of a defect.
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

func newWorld(t *rapid.T) *world {
	w := &world{
		t:          t,
		now:        worldStart,
		held:       map[engine.Target]int64{},
		intact:     true,
		placements: map[placement.ModelVersion]wire.Placement{},
		revision:   1,
	}
	var config settings.Agent
	config.Host.ID = worldRunner
	config.Limits.MaxQueued = 6
	config.Backend.Slots = worldSlots
	logger := slog.New(&errorHandler{Handler: slog.DiscardHandler, t: t})
	w.controller = newController(context.Background(), config, "incarnation-1", metrics.NewAgent(tally.NoopScope), logger)
	w.controller.now = func() time.Time { return w.now }
	w.controller.start = w.start
	stopped, stop := context.WithCancel(context.Background())
	stop()
	w.controller.loop.Run(stopped)
	w.table = newModelTable(w.controller, worldCapacityMiB, w)
	w.controller.models = w.table
	w.table.pace(loading.StoreLimits{StartsPerSecond: 4, MaxConcurrent: 4}, func(_ wire.LoadRequest, done func(wire.LoadGrant, bool)) {
		w.asks = append(w.asks, func() { done(wire.LoadGrant{}, false) })
	})
	for i := range worldModels {
		w.grantPermit(i)
	}
	w.table.adopt(w.now, w.state())
	w.table.perform(w.table.holder.Step(placement.PlacementRead{Revision: w.revision, Placements: w.stored()}))
	return w
}

// loadModel implements orderer.
func (w *world) loadModel(load loadOrder) {
	w.orders = append(w.orders, order{
		kind:      orderLoad,
		target:    load.target,
		mib:       load.memoryMiB,
		permitted: func() bool { return w.table.mayOrderLoad(load.id) },
		dropped:   func() { w.table.loadNotOrdered(w.now, load.id, wire.ReasonNoPermit) },
		done:      func(err error) { w.table.loadEnded(w.now, load.id, err) },
	})
}

// unload implements orderer.
func (w *world) unload(target engine.Target, done func(error)) {
	w.orders = append(w.orders, order{kind: orderUnload, target: target, done: done})
}

// loadAdapter implements orderer.
func (w *world) loadAdapter(target engine.Target, mib int64, done func(error)) {
	w.orders = append(w.orders, order{kind: orderAdapter, target: target, mib: mib, done: done})
}

// removePermit implements orderer.
func (w *world) removePermit(change placement.Change) { w.changes = append(w.changes, change) }

// readPlacement implements orderer.
func (w *world) readPlacement(id placement.ModelVersion) { w.reads = append(w.reads, id) }

// carryOut lets an order take effect in the engine.
func (w *world) carryOut(o order) {
	if o.kind == orderUnload {
		w.carryOutUnload(o.target)
		return
	}
	if o.kind == orderAdapter && w.held[baseOf(o.target)] == 0 {
		return
	}
	w.held[o.target] = o.mib
}

func (w *world) carryOutUnload(target engine.Target) {
	for _, r := range w.requests {
		if r.running && !r.broken && w.held[target] > 0 && (r.target() == target || r.adapter == target) {
			w.t.Fatalf("%v was unloaded under the running request %s", target, r.ticket.request.ID)
		}
	}
	delete(w.held, target)
	if target.Adapter != "" {
		return
	}
	for held := range w.held {
		if baseOf(held) == target {
			w.t.Fatalf("%v was unloaded under its adapter %v", target, held)
		}
	}
}

func baseOf(target engine.Target) engine.Target {
	return engine.Target{Model: target.Model, Version: target.Version}
}

// state is what the engine says of itself.
func (w *world) state() engine.State {
	state := engine.State{MemoryMiB: worldCapacityMiB, Slots: worldSlots}
	for i := range worldModels {
		target := engine.Target{Model: modelID(i).Model, Version: "1"}
		resident := engine.Resident{Target: target, State: engine.StateAbsent, Cache: engine.CacheDisk}
		if i == 0 {
			resident.Cache = engine.CacheRemote
		}
		if mib := w.held[target]; mib > 0 {
			resident.State, resident.MemoryMiB, resident.Cache = engine.StateLoaded, mib, engine.CacheMemory
		}
		state.Residents = append(state.Residents, resident)
	}
	for target, mib := range w.held {
		if target.Adapter != "" {
			state.Residents = append(state.Residents, engine.Resident{Target: target, State: engine.StateLoaded, MemoryMiB: mib})
		}
	}
	return state
}

// start implements the start of a request at the engine.
func (w *world) start(t *ticket) {
	index := slices.IndexFunc(w.requests, func(r *served) bool { return r.ticket == t })
	if index < 0 {
		// The request started on arrival.
		w.requests = append(w.requests, w.newServed(t))
		index = len(w.requests) - 1
	}
	r := w.requests[index]
	r.starts++
	if r.starts > 1 || r.ends > 0 {
		w.t.Fatalf("request %s was started %d times, ended %d times", t.request.ID, r.starts, r.ends)
	}
	if w.intact && w.held[r.target()] == 0 {
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

func (w *world) adapterReady(r *served, reason wire.Reason) {
	if reason == "" {
		r.acquired = true
		r.ran = true
		if w.intact && w.held[r.adapter] == 0 {
			w.t.Fatalf("request %s got the adapter %v, which isn't loaded", r.ticket.request.ID, r.adapter)
		}
		return
	}
	r.adapter = engine.Target{}
	r.ticket.refuse(wire.OutcomeNotRun, reason, retryAfterEngineFailure, "adapter")
}

func (w *world) newServed(t *ticket) *served {
	r := &served{ticket: t}
	t.finished = func(*ticket) { r.ends++ }
	return r
}

func (r *served) target() engine.Target {
	return engine.Target{Model: r.ticket.request.Model, Version: r.ticket.request.Version}
}

// grantPermit gives the runner a permit for a model that it has none for.
func (w *world) grantPermit(i int) {
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
		Permits:   []wire.Permit{{Runner: worldRunner, Epoch: w.revision}},
		MemoryMiB: modelMiB(i),
	}
}

func (w *world) stored() []wire.Placement {
	var all []wire.Placement
	for i := range worldModels {
		if p, ok := w.placements[modelID(i)]; ok {
			all = append(all, p)
		}
	}
	return all
}

// check demands what must hold after every step.
func (w *world) check(t *rapid.T) {
	var used int64
	for target, mib := range w.held {
		used += mib
		id := modelOf(target)
		if len(w.placements[id].Permits) == 0 {
			t.Fatalf("the engine holds %v without a permit", target)
		}
	}
	if used > worldCapacityMiB {
		t.Fatalf("the engine holds %d MiB of %d MiB: %v", used, worldCapacityMiB, w.held)
	}
	running := 0
	for _, r := range w.requests {
		w.checkRequest(t, r)
		if r.running {
			running++
		}
	}
	if running > worldSlots {
		t.Fatalf("%d requests run in %d slots", running, worldSlots)
	}
}

func (w *world) checkRequest(t *rapid.T, r *served) {
	_, _, refusal := r.ticket.answer.result()
	id := r.ticket.request.ID
	switch {
	case r.ends > 1:
		t.Fatalf("request %s ended %d times", id, r.ends)
	case refusal != nil && refusal.Outcome == wire.OutcomeNotRun && r.ran:
		t.Fatalf("request %s is told %q after it ran", id, refusal.Reason)
	case r.starts == 0 && r.ends == 0 && w.now.After(r.ticket.deadline.Add(2*tickInterval)):
		t.Fatalf("request %s waits after its deadline", id)
	}
}
