package agent

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// loadFailureBackoff is how long a model isn't loaded again after a failure.
	loadFailureBackoff = 2 * time.Second
	// unloadRetry is the pause before an unload that failed is ordered again.
	unloadRetry = time.Second
	// comeBackTime is how long a refused caller is expected to come back.
	comeBackTime = 30 * time.Second
	// keptLoadDeadline is the urgency of a load that no request waits for.
	keptLoadDeadline = time.Minute
)

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
	holder     *placement.Holder
	orders     orderer
	keeper     *loading.Keeper
	pacer      *loadPacer
	estimates  *loadEstimator
	models     map[placement.ModelVersion]*model
	adapters   map[engine.Target]*adapter
	window     *loading.AdapterWindow
	// adapterLoads holds the adapters that wait for a place in window.
	adapterLoads []adapterLoad
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

// loadOrder is a decided load of a model.
type loadOrder struct {
	id        placement.ModelVersion
	target    engine.Target
	memoryMiB int64
	remote    bool
	waiting   int
	deadline  time.Time
}

func newModelTable(c *controller, capacityMiB int64, orders orderer) *modelTable {
	return &modelTable{
		controller: c,
		ledger:     ledger.New(capacityMiB),
		holder:     placement.NewHolder(c.runner),
		orders:     orders,
		keeper:     loading.NewKeeper(),
		estimates:  newLoadEstimator(),
		models:     make(map[placement.ModelVersion]*model),
		adapters:   make(map[engine.Target]*adapter),
		window:     loading.NewAdapterWindow(1),
	}
}

// pace connects the table to the pacing of loads from the weight store.
func (t *modelTable) pace(limits loading.StoreLimits, ask func(wire.LoadAsk, func(wire.LoadSlot, bool))) {
	const alone = 1
	t.pacer = &loadPacer{
		table:   t,
		guided:  loading.NewGuided(limits, alone, loading.FallbackPosition),
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

// loadWanted starts the loads of models that requests wait for or that the
// permits keep, the longest queue first.
func (t *modelTable) loadWanted(now time.Time) {
	var wanted []*model
	for _, m := range t.models {
		if m.state == wire.ModelAbsent && !m.revoked && !m.uncertain && m.isWanted(now) {
			wanted = append(wanted, m)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, m := range wanted {
		t.startLoad(now, m)
	}
	t.pacer.pump(now)
}

func (t *modelTable) startLoad(now time.Time, m *model) {
	if now.Before(m.failedUntil) || m.memoryMiB <= 0 {
		return
	}
	if _, ok := t.holder.MayLoad(m.id.Model, m.id.Version); !ok {
		t.controller.failWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
		return
	}
	err := t.ledger.Reserve(m.target(), m.memoryMiB)
	if errors.Is(err, ledger.ErrNoMemory) {
		t.makeRoom(now, m)
		return
	}
	if err != nil {
		t.controller.logger.Error("memory reservation failed", "model", m.id.String(), "error", err)
		t.controller.failWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
		return
	}
	m.state = wire.ModelLoading
	m.loadStarted = now
	order := loadOrder{
		id:        m.id,
		target:    m.target(),
		memoryMiB: m.memoryMiB,
		remote:    m.cache == engine.CacheRemote || m.cache == "",
		waiting:   m.waiting,
		deadline:  now.Add(keptLoadDeadline),
	}
	if m.waiting > 0 {
		order.deadline = m.deadline
	}
	m.paced = order.remote
	if m.paced {
		t.pacer.want(now, order)
		return
	}
	t.orders.loadModel(order)
}

// pacedEnded tells the pacer of the end of a load from the weight store.
func (t *modelTable) pacedEnded(now time.Time, m *model, took time.Duration) {
	if m.paced {
		m.paced = false
		t.pacer.ended(now, m.target(), took, t.estimates.expected(m.cache))
	}
}

// loadDropped gives up a load that waited for its turn.
func (t *modelTable) loadDropped(_ time.Time, m *model) {
	t.note(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.settleRevoked(m)
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

// mayOrderLoad is asked on the loop right before the load is ordered.
func (t *modelTable) mayOrderLoad(id placement.ModelVersion) bool {
	m := t.model(id)
	if m.revoked {
		return false
	}
	_, ok := t.holder.BeginLoad(id.Model, id.Version)
	return ok
}

// loadNotOrdered gives up a load before its order.
func (t *modelTable) loadNotOrdered(now time.Time, id placement.ModelVersion, reason wire.Reason) {
	m := t.model(id)
	t.note(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.pacedEnded(now, m, 0)
	t.controller.failWaiting(now, m.queueTarget(), reason, "")
	t.settleRevoked(m)
	t.controller.advance(now)
}

// loadEnded takes in the result of a load.
func (t *modelTable) loadEnded(now time.Time, id placement.ModelVersion, err error) {
	m := t.model(id)
	m.orderEnded = now
	took := now.Sub(m.loadStarted)
	t.pacedEnded(now, m, took)
	t.controller.metrics.Load("model", loadResult(err), took)
	if err != nil {
		t.loadFailed(now, m, err)
		return
	}
	t.note(t.ledger.Hold(m.target()))
	t.estimates.observe(m.cache, took)
	m.state = wire.ModelLoaded
	m.cache = engine.CacheMemory
	m.lastUsed = now
	m.wantedUntil = time.Time{}
	t.controller.logger.Info("model loaded", "model", id.String(), "took_ms", took.Milliseconds(), "waiting", m.waiting)
	if m.revoked {
		t.beginUnload(m, "revoked")
	}
	t.controller.advance(now)
}

func (t *modelTable) loadFailed(now time.Time, m *model, err error) {
	t.controller.logger.Warn("load failed", "model", m.id.String(), "error", err)
	m.failedUntil = now.Add(loadFailureBackoff)
	if isNotRun(err) {
		t.note(t.ledger.Cancel(m.target()))
		t.becameAbsent(m)
	} else {
		t.note(t.ledger.Uncertain(m.target()))
		m.uncertain = true
	}
	t.controller.failWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
	t.controller.advance(now)
}

func loadResult(err error) metrics.Result {
	switch {
	case err == nil:
		return metrics.ResultOK
	case isNotRun(err):
		return metrics.ResultError
	default:
		return metrics.ResultUncertain
	}
}

func isNotRun(err error) bool {
	var engineErr *engine.Error
	return errors.As(err, &engineErr) && engineErr.NotRun
}

// becameAbsent records that the engine surely doesn't hold the model.
func (t *modelTable) becameAbsent(m *model) {
	m.state = wire.ModelAbsent
	m.uncertain = false
	if m.revoked {
		t.settleRevoked(m)
		return
	}
	t.perform(t.holder.Step(placement.Unloaded{Model: m.id}))
}

// settleRevoked confirms the revocation of a model that isn't in memory. The
// engine must carry out an unload that was ordered after the revocation was
// seen, as this incarnation may have been replaced while it was paused.
func (t *modelTable) settleRevoked(m *model) {
	if !m.revoked || m.state != wire.ModelAbsent || m.confirming {
		return
	}
	m.confirming = true
	epoch := m.revokedEpoch
	t.orders.unload(m.target(), func(err error) {
		m.confirming = false
		m.orderEnded = t.controller.now()
		if err != nil {
			t.controller.logger.Warn("unload not confirmed", "model", m.id.String(), "error", err)
			return
		}
		t.confirmRevoked(m, epoch)
	})
}

// confirmRevoked tells the holder that an unload ordered for an epoch was
// carried out.
func (t *modelTable) confirmRevoked(m *model, epoch int64) {
	if epoch != m.revokedEpoch {
		t.settleRevoked(m)
		return
	}
	m.revoked = false
	t.perform(t.holder.Step(placement.Unloaded{Model: m.id, Epoch: epoch}))
}

// beginUnload orders a loaded model without running requests out of memory.
func (t *modelTable) beginUnload(m *model, cause string) {
	if m.state != wire.ModelLoaded || m.running > 0 || m.uncertain {
		return
	}
	m.state = wire.ModelUnloading
	t.controller.metrics.Unload(cause)
	t.controller.logger.Info("unloading model", "model", m.id.String(), "cause", cause)
	t.unloadAdaptersOf(m, func() { t.unloadModel(m) })
}

func (t *modelTable) unloadModel(m *model) {
	if err := t.ledger.Release(m.target()); err != nil {
		t.note(err)
		m.state = wire.ModelLoaded
		return
	}
	m.unloadFor = 0
	if m.revoked {
		m.unloadFor = m.revokedEpoch
	}
	t.orders.unload(m.target(), func(err error) { t.unloadEnded(t.controller.now(), m, err) })
}

func (t *modelTable) unloadEnded(now time.Time, m *model, err error) {
	m.orderEnded = now
	if err != nil {
		t.controller.logger.Warn("unload failed", "model", m.id.String(), "error", err)
		t.note(t.ledger.Uncertain(m.target()))
		m.uncertain = true
		return
	}
	t.note(t.ledger.Settle(m.target(), false))
	if m.revoked && m.unloadFor == m.revokedEpoch {
		m.state = wire.ModelAbsent
		t.confirmRevoked(m, m.unloadFor)
	} else {
		t.becameAbsent(m)
	}
	t.controller.advance(now)
}

// perform carries out what the permits call for.
func (t *modelTable) perform(actions []placement.HolderAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case placement.Unload:
			t.revoke(t.controller.now(), a)
		case placement.RemovePermit:
			t.orders.removePermit(a.Change)
		case placement.ReadPlacement:
			t.orders.readPlacement(a.Model)
		}
	}
	t.takeKeeps()
}

// revoke takes a model out of service and, once it is unused, out of memory.
func (t *modelTable) revoke(now time.Time, order placement.Unload) {
	m := t.model(order.Model)
	m.revoked = true
	m.revokedEpoch = order.Epoch
	m.keep = false
	t.controller.failWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
	t.settleRevoked(m)
	t.beginUnload(m, "revoked")
}

// takeKeeps copies from the permits which models stay loaded.
func (t *modelTable) takeKeeps() {
	for _, kept := range t.holder.Kept() {
		m := t.model(kept.Model)
		m.keep = kept.Keep
		if m.state == wire.ModelAbsent && kept.MemoryMiB > 0 {
			m.memoryMiB = kept.MemoryMiB
		}
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
		if now.After(t.keeper.KeepUntil(now, m.target(), loadTime, t.share(m), m.policy)) {
			t.beginUnload(m, "idle")
		}
	}
	t.pumpAdapters(now)
}

// retryRevoked goes on with a revocation that isn't confirmed yet.
func (t *modelTable) retryRevoked(now time.Time, m *model) {
	if now.Sub(m.orderEnded) < unloadRetry {
		return
	}
	t.settleRevoked(m)
	t.beginUnload(m, "revoked")
}

// share is the model's part of the engine's memory.
func (t *modelTable) share(m *model) float64 {
	capacity := t.ledger.Capacity()
	if capacity <= 0 {
		return 0
	}
	return float64(t.ledger.Get(m.target()).MiB) / float64(capacity)
}

// describe adds the engine's memory and models to a status.
func (t *modelTable) describe(now time.Time, status *wire.Status) {
	status.MemoryMiB = t.ledger.Capacity()
	status.FreeMemoryMiB = t.ledger.Free()
	wait := t.controller.expectedWait(now)
	for _, m := range t.models {
		tier := wireTier(m.cache)
		if m.state == wire.ModelAbsent && tier == wire.CacheRemote {
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
