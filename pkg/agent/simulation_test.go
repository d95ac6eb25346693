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
	cancelled func()
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
	// running is set if the engine runs the request.
	running  bool
	adapter  engine.Target
	acquired bool
	// ran is set if the request was sent to the engine.
	ran bool
	// interrupted is set if the engine restarted while it ran the request.
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
	// lossesNoticed is set if the agent knows everything that the engine lost.
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
	s := &simulation{
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
	s.controller = newController(context.Background(), config, "incarnation-1", metrics.NewAgent(tally.NoopScope), logger)
	s.controller.now = func() time.Time { return s.now }
	s.controller.start = s.start
	stopped, stop := context.WithCancel(context.Background())
	stop()
	s.controller.loop.Run(stopped)
	s.table = newModelTable(s.controller, simCapacityMiB, s)
	s.controller.models = s.table
	s.table.enablePacing(loading.StoreLimits{StartsPerSecond: 4, MaxConcurrent: 4}, func(_ wire.LoadRequest, done func(wire.LoadGrant, bool)) {
		s.loadRequests = append(s.loadRequests, func() { done(wire.LoadGrant{}, false) })
	})
	for i := range simModels {
		s.grantPermit(i)
	}
	s.table.initialize(s.now, s.state())
	s.table.execute(s.table.enforcer.Step(placement.PlacementRead{Revision: s.revision, Placements: s.stored()}))
	return s
}

// loadModel implements executor.
func (s *simulation) loadModel(load loadOrder) {
	s.orders = append(s.orders, order{
		kind:      orderLoad,
		target:    load.target,
		mib:       load.memoryMiB,
		permitted: func() bool { return s.table.beginLoadIfPermitted(load.id) },
		cancelled: func() { s.table.cancelLoad(s.now, load.id, wire.ReasonNoPermit) },
		done:      func(err error) { s.table.loadEnded(s.now, load.id, err) },
	})
}

// unload implements executor.
func (s *simulation) unload(target engine.Target, done func(error)) {
	s.orders = append(s.orders, order{kind: orderUnload, target: target, done: done})
}

// loadAdapter implements executor.
func (s *simulation) loadAdapter(target engine.Target, mib int64, done func(error)) {
	s.orders = append(s.orders, order{kind: orderLoadAdapter, target: target, mib: mib, done: done})
}

// removePermit implements executor.
func (s *simulation) removePermit(change placement.Change) { s.changes = append(s.changes, change) }

// readPlacement implements executor.
func (s *simulation) readPlacement(id placement.ModelVersion) { s.reads = append(s.reads, id) }

// applyOrder lets an order take effect in the engine.
func (s *simulation) applyOrder(o order) {
	if o.kind == orderUnload {
		s.applyUnload(o.target)
		return
	}
	if o.kind == orderLoadAdapter && s.loaded[baseOf(o.target)] == 0 {
		return
	}
	s.loaded[o.target] = o.mib
}

func (s *simulation) applyUnload(target engine.Target) {
	for _, r := range s.requests {
		if r.running && !r.interrupted && s.loaded[target] > 0 && (r.target() == target || r.adapter == target) {
			s.t.Fatalf("%v was unloaded while the request %s used it", target, r.state.request.ID)
		}
	}
	delete(s.loaded, target)
	if target.Adapter != "" {
		return
	}
	for loaded := range s.loaded {
		if baseOf(loaded) == target {
			s.t.Fatalf("%v was unloaded before its adapter %v", target, loaded)
		}
	}
}

func baseOf(target engine.Target) engine.Target {
	return engine.Target{Model: target.Model, Version: target.Version}
}

// state returns the state that the engine reports.
func (s *simulation) state() engine.State {
	state := engine.State{MemoryMiB: simCapacityMiB, Slots: simSlots}
	for i := range simModels {
		target := engine.Target{Model: modelID(i).Model, Version: "1"}
		resident := engine.Resident{Target: target, State: engine.StateAbsent, Cache: engine.CacheDisk}
		if i == 0 {
			resident.Cache = engine.CacheRemote
		}
		if mib := s.loaded[target]; mib > 0 {
			resident.State, resident.MemoryMiB, resident.Cache = engine.StateLoaded, mib, engine.CacheMemory
		}
		state.Residents = append(state.Residents, resident)
	}
	for target, mib := range s.loaded {
		if target.Adapter != "" {
			state.Residents = append(state.Residents, engine.Resident{Target: target, State: engine.StateLoaded, MemoryMiB: mib})
		}
	}
	return state
}

// start runs a request at the fake engine.
func (s *simulation) start(rs *requestState) {
	index := slices.IndexFunc(s.requests, func(r *simulatedRequest) bool { return r.state == rs })
	if index < 0 {
		// The request was started on arrival.
		s.requests = append(s.requests, s.newSimulatedRequest(rs))
		index = len(s.requests) - 1
	}
	r := s.requests[index]
	r.starts++
	if r.starts > 1 || r.ends > 0 {
		s.t.Fatalf("request %s was started %d times, ended %d times", rs.request.ID, r.starts, r.ends)
	}
	if s.lossesNoticed && s.loaded[r.target()] == 0 {
		s.t.Fatalf("request %s was started without its model", rs.request.ID)
	}
	r.running = true
	if rs.request.Adapter == "" {
		r.ran = true
		return
	}
	r.adapter = engine.Target{Model: rs.request.Model, Version: rs.request.Version, Adapter: rs.request.Adapter, AdapterVersion: "1"}
	s.table.acquireAdapter(s.now, r.adapter, adapterMiB, func(reason wire.Reason) { s.adapterReady(r, reason) })
}

func (s *simulation) adapterReady(r *simulatedRequest, reason wire.Reason) {
	if reason == "" {
		r.acquired = true
		r.ran = true
		if s.lossesNoticed && s.loaded[r.adapter] == 0 {
			s.t.Fatalf("request %s got the adapter %v, which isn't loaded", r.state.request.ID, r.adapter)
		}
		return
	}
	r.adapter = engine.Target{}
	r.state.refuse(wire.OutcomeNotRun, reason, retryAfterEngineFailure, "adapter")
}

func (s *simulation) newSimulatedRequest(rs *requestState) *simulatedRequest {
	r := &simulatedRequest{state: rs}
	rs.onCompleted = func(*requestState) { r.ends++ }
	return r
}

func (r *simulatedRequest) target() engine.Target {
	return engine.Target{Model: r.state.request.Model, Version: r.state.request.Version}
}

// grantPermit grants the runner a permit for a model unless it has one.
func (s *simulation) grantPermit(i int) {
	id := modelID(i)
	current := s.placements[id]
	if len(current.Permits) > 0 {
		return
	}
	s.revision++
	s.placements[id] = wire.Placement{
		Model:     id.Model,
		Version:   id.Version,
		Revision:  s.revision,
		Permits:   []wire.Permit{{Runner: simRunner, Epoch: s.revision}},
		MemoryMiB: modelMiB(i),
	}
}

func (s *simulation) stored() []wire.Placement {
	var all []wire.Placement
	for i := range simModels {
		if p, ok := s.placements[modelID(i)]; ok {
			all = append(all, p)
		}
	}
	return all
}

// check checks the invariants that hold after every step.
func (s *simulation) check(t *rapid.T) {
	var used int64
	for target, mib := range s.loaded {
		used += mib
		id := modelOf(target)
		if len(s.placements[id].Permits) == 0 {
			t.Fatalf("the engine holds %v without a permit", target)
		}
	}
	if used > simCapacityMiB {
		t.Fatalf("the engine holds %d MiB of %d MiB: %v", used, simCapacityMiB, s.loaded)
	}
	running := 0
	for _, r := range s.requests {
		s.checkRequest(t, r)
		if r.running {
			running++
		}
	}
	if running > simSlots {
		t.Fatalf("%d requests run in %d slots", running, simSlots)
	}
}

func (s *simulation) checkRequest(t *rapid.T, r *simulatedRequest) {
	_, _, refusal := r.state.response.result()
	id := r.state.request.ID
	switch {
	case r.ends > 1:
		t.Fatalf("request %s ended %d times", id, r.ends)
	case refusal != nil && refusal.Outcome == wire.OutcomeNotRun && r.ran:
		t.Fatalf("request %s is refused as not run with reason %q after it ran", id, refusal.Reason)
	case r.starts == 0 && r.ends == 0 && s.now.After(r.state.deadline.Add(2*tickInterval)):
		t.Fatalf("request %s waits after its deadline", id)
	}
}
