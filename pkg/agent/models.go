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

// retryWindow is the time in which a refused caller is expected to retry.
const retryWindow = 30 * time.Second

// model is the state of one model version at this agent's engine.
type model struct {
	id        placement.ModelVersion
	state     wire.ModelState
	cache     engine.CacheTier
	memoryMiB int64
	// waiting and running count requests.
	waiting int
	running int
	// kept is set if the permit requires a loaded replica.
	kept bool
	// revoked is set if the model must be unloaded. revokedEpoch is the epoch of
	// the revoked permit, which an unload sent after the revocation must confirm.
	revoked      bool
	revokedEpoch int64
	// confirming is set if such an unload of an absent model is in progress.
	confirming bool
	// unloadEpoch is the revokedEpoch at the time when the last unload was sent.
	unloadEpoch int64
	// uncertain is set if the response to the last order was lost.
	uncertain bool
	// orderEnded is when the last order ended.
	orderEnded  time.Time
	loadStarted time.Time
	// paced is set if the load in progress reads from the weight store.
	paced       bool
	lastUsed    time.Time
	failedUntil time.Time
	// wantedUntil is how long the model should be loaded although no request waits.
	// A completed load clears it, so that two such models that don't fit into memory
	// together don't evict each other in turn.
	wantedUntil time.Time
	// deadline is the earliest deadline of the requests that wait for a load.
	deadline time.Time
	policy   lists.Policy
}

func (m *model) target() engine.Target {
	return engine.Target{Model: m.id.Model, Version: m.id.Version}
}

func (m *model) queueTarget() admission.Target {
	return admission.Target{Model: m.id.Model, Version: m.id.Version}
}

// isWanted reports whether the model should be loaded.
func (m *model) isWanted(now time.Time) bool {
	return m.waiting > 0 || m.kept || now.Before(m.wantedUntil)
}

// isIdle reports whether the model is loaded and no request needs it.
func (m *model) isIdle() bool {
	return m.state == wire.ModelLoaded && !m.uncertain && m.running == 0 && m.waiting == 0
}

// modelTable decides which models and adapters the engine holds. It owns the
// memory ledger and the permits. Its methods run on the loop.
type modelTable struct {
	controller *controller
	ledger     *ledger.Ledger
	enforcer   *placement.PermitEnforcer
	executor   executor
	keepAlive  *loading.KeepAlivePolicy
	pacer      *loadPacer
	estimates  *loadEstimator
	models     map[placement.ModelVersion]*model
	adapters   map[engine.Target]*adapter
	window     *loading.AdapterWindow
	// adapterLoads holds the adapter loads that wait for a slot in window.
	adapterLoads []adapterLoadRequest
	// meteredAt is when idle time was last measured; idle is the idle time that isn't
	// reported yet.
	meteredAt time.Time
	idle      time.Duration
}

// executor carries out the table's decisions. Each order runs on its own
// goroutine and reports to the table on the loop.
type executor interface {
	loadModel(m loadOrder)
	unload(target engine.Target, done func(error))
	loadAdapter(target engine.Target, mib int64, done func(error))
	removePermit(change placement.Change)
	readPlacement(id placement.ModelVersion)
}

func newModelTable(c *controller, capacityMiB int64, exec executor) *modelTable {
	return &modelTable{
		controller: c,
		ledger:     ledger.New(capacityMiB),
		enforcer:   placement.NewPermitEnforcer(c.runner),
		executor:   exec,
		keepAlive:  loading.NewKeepAlivePolicy(),
		estimates:  newLoadEstimator(),
		models:     make(map[placement.ModelVersion]*model),
		adapters:   make(map[engine.Target]*adapter),
		window:     loading.NewAdapterWindow(1),
	}
}

// enablePacing paces loads from the weight store.
func (t *modelTable) enablePacing(limits loading.StoreLimits, sendRequest func(wire.LoadRequest, func(wire.LoadGrant, bool))) {
	const singleRunner = 1
	t.pacer = &loadPacer{
		table:       t,
		coordinated: loading.NewCoordinatedPacer(limits, singleRunner, loading.FallbackPosition),
		waiting:     make(map[engine.Target]pacedLoad),
		sendRequest: sendRequest,
	}
}

// setRunnerCount applies the number of runners that share the weight store.
func (t *modelTable) setRunnerCount(runners int) {
	t.pacer.coordinated.SetAgents(runners)
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

// admit returns when a request's model is expected to be loaded, or why the
// request can't be served here.
func (t *modelTable) admit(now time.Time, request *wire.Request) (time.Duration, wire.Reason) {
	m := t.model(placement.ModelVersion{Model: request.Model, Version: request.Version})
	if request.MemoryMiB > 0 && m.state == wire.ModelAbsent {
		m.memoryMiB = request.MemoryMiB
	}
	m.policy = lists.Policy{ColdStartWeight: request.ColdStartWeight, IdleWeight: request.IdleWeight}
	t.keepAlive.Arrived(now, m.target())
	if m.revoked {
		return 0, wire.ReasonNoPermit
	}
	if m.uncertain {
		return 0, wire.ReasonLoadFailed
	}
	switch m.state {
	case wire.ModelLoaded:
		return 0, t.checkServe(m)
	case wire.ModelLoading:
		return t.remainingLoadTime(now, m), ""
	default:
		return t.admitAbsent(now, m)
	}
}

func (t *modelTable) mayLoad(m *model) bool {
	_, ok := t.enforcer.MayLoad(m.id.Model, m.id.Version)
	return ok
}

func (t *modelTable) checkServe(m *model) wire.Reason {
	if !t.enforcer.MayServe(m.id.Model, m.id.Version) {
		return wire.ReasonNoPermit
	}
	return ""
}

func (t *modelTable) admitAbsent(now time.Time, m *model) (time.Duration, wire.Reason) {
	if _, ok := t.enforcer.MayLoad(m.id.Model, m.id.Version); !ok {
		return 0, wire.ReasonNoPermit
	}
	if now.Before(m.failedUntil) {
		return 0, wire.ReasonLoadFailed
	}
	if m.memoryMiB <= 0 {
		return 0, wire.ReasonInvalid
	}
	if !t.canFreeMemory(m) {
		return 0, wire.ReasonNoMemory
	}
	return t.estimates.expected(m.cache), ""
}

func (t *modelTable) remainingLoadTime(now time.Time, m *model) time.Duration {
	left := t.estimates.expected(m.cache) - now.Sub(m.loadStarted)
	return max(left, 0)
}

func (t *modelTable) isLoaded(target admission.Target) bool {
	m := t.lookup(target)
	return m != nil && m.state == wire.ModelLoaded && !m.uncertain && !m.revoked
}

func (t *modelTable) requestQueued(target admission.Target, deadline time.Time) {
	m := t.lookup(target)
	if m.waiting == 0 || deadline.Before(m.deadline) {
		m.deadline = deadline
	}
	m.waiting++
}

// wantForRetries has a model loaded for requests that are expected to be retried.
func (t *modelTable) wantForRetries(now time.Time, target admission.Target) {
	t.lookup(target).wantedUntil = now.Add(retryWindow)
}

func (t *modelTable) requestDequeued(target admission.Target) {
	t.lookup(target).waiting--
}

func (t *modelTable) requestStarted(target admission.Target) {
	t.lookup(target).running++
}

func (t *modelTable) requestFinished(now time.Time, target admission.Target) {
	m := t.lookup(target)
	m.running--
	m.lastUsed = now
	if m.running == 0 {
		t.keepAlive.Finished(now, m.target())
	}
	if m.revoked && m.running == 0 {
		t.startUnload(m, "revoked")
	}
}

// addToStatus adds the engine's memory and models to a status.
func (t *modelTable) addToStatus(now time.Time, status *wire.Status) {
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
		return max(queueWait, t.remainingLoadTime(now, m))
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

// logLedgerError logs a change that the ledger refused, which indicates a bug.
func (t *modelTable) logLedgerError(err error) {
	if err != nil {
		t.controller.logger.Error("memory ledger refused a change", "error", err)
	}
}
