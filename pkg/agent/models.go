package agent

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// comeBackTime is how long a refused caller is expected to come back.
const comeBackTime = 30 * time.Second

// model is the state of one model version at this runner.
type model struct {
	id        placement.ModelVersion
	state     wire.ModelState
	cache     engine.CacheTier
	memoryMiB int64
	// waiting and running count requests.
	waiting int
	running int
	// keep tells that the permit demands a loaded replica.
	keep bool
	// revoked tells that the model must leave memory; revokedEpoch is the permit
	// that the holder wants confirmed by an unload ordered from then on.
	revoked      bool
	revokedEpoch int64
	// confirming tells that such an unload of an absent model is under way.
	confirming bool
	// unloadFor is the revokedEpoch at the time of the last unload's order.
	unloadFor int64
	// uncertain tells that the answer to the last order was lost.
	uncertain bool
	// orderEnded is when the last order ended.
	orderEnded  time.Time
	loadStarted time.Time
	// paced tells that the load under way comes from the weight store.
	paced       bool
	lastUsed    time.Time
	failedUntil time.Time
	// wantedUntil is how long the model is to be loaded although no request
	// waits. A load clears it, so that two such models that don't fit together
	// don't evict each other in turn.
	wantedUntil time.Time
	// deadline is the earliest of the requests that wait for a load.
	deadline time.Time
	policy   lists.Policy
}

func (m *model) target() engine.Target {
	return engine.Target{Model: m.id.Model, Version: m.id.Version}
}

func (m *model) queueTarget() admission.Target {
	return admission.Target{Model: m.id.Model, Version: m.id.Version}
}

// isWanted tells whether the model should be loaded.
func (m *model) isWanted(now time.Time) bool {
	return m.waiting > 0 || m.keep || now.Before(m.wantedUntil)
}

// isIdle tells whether the model is loaded and nothing needs it.
func (m *model) isIdle() bool {
	return m.state == wire.ModelLoaded && !m.uncertain && m.running == 0 && m.waiting == 0
}

// modelTable decides what the engine holds. It owns the memory ledger and the
// permits. Its methods run on the loop.
type modelTable struct {
	controller *controller
	ledger     *ledger.Ledger
	holder     *placement.PermitEnforcer
	orders     orderer
	keeper     *loading.KeepAlivePolicy
	pacer      *loadPacer
	estimates  *loadEstimator
	models     map[placement.ModelVersion]*model
	adapters   map[engine.Target]*adapter
	window     *loading.AdapterWindow
	// adapterLoads holds the adapters that wait for a place in window.
	adapterLoads []adapterLoad
	// meteredAt is when idle time was counted last, idle what isn't reported yet.
	meteredAt time.Time
	idle      time.Duration
}

// orderer carries out what the table decides. Each order runs on its own
// goroutine and reports to the table on the loop.
type orderer interface {
	loadModel(m loadOrder)
	unload(target engine.Target, done func(error))
	loadAdapter(target engine.Target, mib int64, done func(error))
	removePermit(change placement.Change)
	readPlacement(id placement.ModelVersion)
}

func newModelTable(c *controller, capacityMiB int64, orders orderer) *modelTable {
	return &modelTable{
		controller: c,
		ledger:     ledger.New(capacityMiB),
		holder:     placement.NewPermitEnforcer(c.runner),
		orders:     orders,
		keeper:     loading.NewKeepAlivePolicy(),
		estimates:  newLoadEstimator(),
		models:     make(map[placement.ModelVersion]*model),
		adapters:   make(map[engine.Target]*adapter),
		window:     loading.NewAdapterWindow(1),
	}
}

// pace connects the table to the pacing of loads from the weight store.
func (t *modelTable) pace(limits loading.StoreLimits, ask func(wire.LoadRequest, func(wire.LoadGrant, bool))) {
	const alone = 1
	t.pacer = &loadPacer{
		table:   t,
		guided:  loading.NewCoordinatedPacer(limits, alone, loading.FallbackPosition),
		waiting: make(map[engine.Target]pacedLoad),
		ask:     ask,
	}
}

// setRunners takes in the number of runners that share the weight store.
func (t *modelTable) setRunners(runners int) {
	t.pacer.guided.SetAgents(runners)
	t.window.SetAgents(runners)
}

func (t *modelTable) model(id placement.ModelVersion) *model {
	m := t.models[id]
	if m == nil {
		m = &model{id: id, cache: engine.CacheRemote}
		t.models[id] = m
	}
	return m
}

func (t *modelTable) lookup(target admission.Target) *model {
	return t.models[placement.ModelVersion{Model: target.Model, Version: target.Version}]
}

// prepare tells when a request's model is expected to be loaded, or why it
// can't be served here.
func (t *modelTable) prepare(now time.Time, request *wire.Request) (time.Duration, wire.Reason) {
	m := t.model(placement.ModelVersion{Model: request.Model, Version: request.Version})
	if request.MemoryMiB > 0 && m.state == wire.ModelAbsent {
		m.memoryMiB = request.MemoryMiB
	}
	m.policy = lists.Policy{ColdStartWeight: request.ColdStartWeight, IdleWeight: request.IdleWeight}
	t.keeper.Arrived(now, m.target())
	if m.revoked {
		return 0, wire.ReasonNoPermit
	}
	if m.uncertain {
		return 0, wire.ReasonLoadFailed
	}
	switch m.state {
	case wire.ModelLoaded:
		return 0, t.mayServe(m)
	case wire.ModelLoading:
		return t.remaining(now, m), ""
	default:
		return t.prepareAbsent(now, m)
	}
}

func (t *modelTable) mayLoad(m *model) bool {
	_, ok := t.holder.MayLoad(m.id.Model, m.id.Version)
	return ok
}

func (t *modelTable) mayServe(m *model) wire.Reason {
	if !t.holder.MayServe(m.id.Model, m.id.Version) {
		return wire.ReasonNoPermit
	}
	return ""
}

func (t *modelTable) prepareAbsent(now time.Time, m *model) (time.Duration, wire.Reason) {
	if _, ok := t.holder.MayLoad(m.id.Model, m.id.Version); !ok {
		return 0, wire.ReasonNoPermit
	}
	if now.Before(m.failedUntil) {
		return 0, wire.ReasonLoadFailed
	}
	if m.memoryMiB <= 0 {
		return 0, wire.ReasonInvalid
	}
	if !t.canMakeRoom(m) {
		return 0, wire.ReasonNoMemory
	}
	return t.estimates.expected(m.cache), ""
}

func (t *modelTable) remaining(now time.Time, m *model) time.Duration {
	left := t.estimates.expected(m.cache) - now.Sub(m.loadStarted)
	return max(left, 0)
}

func (t *modelTable) isLoaded(target admission.Target) bool {
	m := t.lookup(target)
	return m != nil && m.state == wire.ModelLoaded && !m.uncertain && !m.revoked
}

func (t *modelTable) queued(target admission.Target, deadline time.Time) {
	m := t.lookup(target)
	if m.waiting == 0 || deadline.Before(m.deadline) {
		m.deadline = deadline
	}
	m.waiting++
}

// wantSoon has a model loaded for requests that are expected to come back.
func (t *modelTable) wantSoon(now time.Time, target admission.Target) {
	t.lookup(target).wantedUntil = now.Add(comeBackTime)
}

func (t *modelTable) dequeued(target admission.Target) {
	t.lookup(target).waiting--
}

func (t *modelTable) started(target admission.Target) {
	t.lookup(target).running++
}

func (t *modelTable) finished(now time.Time, target admission.Target) {
	m := t.lookup(target)
	m.running--
	m.lastUsed = now
	if m.running == 0 {
		t.keeper.Finished(now, m.target())
	}
	if m.revoked && m.running == 0 {
		t.beginUnload(m, "revoked")
	}
}

// describe adds the engine's memory and models to a status.
func (t *modelTable) describe(now time.Time, status *wire.Status) {
	status.MemoryMiB = t.ledger.Capacity()
	status.FreeMemoryMiB = t.ledger.Free()
	wait := t.controller.expectedWait(now)
	for _, m := range t.models {
		tier := wireTier(m.cache)
		if m.state == wire.ModelAbsent && tier == wire.CacheRemote && !t.mayLoad(m) {
			continue
		}
		status.Models = append(status.Models, wire.ModelStatus{
			Model:      m.id.Model,
			Version:    m.id.Version,
			State:      m.state,
			Cache:      tier,
			Queued:     m.waiting,
			WaitMillis: millis(t.modelWait(now, m, wait)),
		})
	}
	slices.SortFunc(status.Models, func(a, b wire.ModelStatus) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
}

func (t *modelTable) modelWait(now time.Time, m *model, queueWait time.Duration) time.Duration {
	switch m.state {
	case wire.ModelLoaded:
		return queueWait
	case wire.ModelLoading:
		return max(queueWait, t.remaining(now, m))
	default:
		return max(queueWait, t.estimates.expected(m.cache))
	}
}

func wireTier(tier engine.CacheTier) wire.CacheTier {
	switch tier {
	case engine.CacheMemory:
		return wire.CacheMemory
	case engine.CacheDisk:
		return wire.CacheDisk
	default:
		return wire.CacheRemote
	}
}

// note logs an account that doesn't fit its ledger, which is a defect.
func (t *modelTable) note(err error) {
	if err != nil {
		t.controller.logger.Error("memory ledger refused a change", "error", err)
	}
}
