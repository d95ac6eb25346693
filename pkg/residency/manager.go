package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// maxQueued limits the waiting leases of all routes together.
	maxQueued = 1024
	// reportTimeout is the time without reports after which a runner counts as
	// down.
	reportTimeout = 600 * time.Millisecond
	// loadGrantTTL is how long a load grant is valid. The limit prevents delayed
	// loads from all starting at the same time.
	loadGrantTTL = time.Second
	// defaultRetryAfter is the retry delay after a refusal whose cause is likely to
	// be temporary or limited to this runner.
	defaultRetryAfter = 500 * time.Millisecond
)

// model is the state of one model on the runner.
type model struct {
	PlacedModel
	// loaded indicates that the runner's last report lists the model.
	loaded  bool
	version int
	tier    wire.CacheTier
	// waiting and running count leases.
	waiting     int
	running     int
	interactive decayingRate
	batch       decayingRate
	// prefill is the share of the runner's time spent on prefill for the model.
	prefill prefillShare
	// eventInterval is the mean interval between the events of the model's streams.
	eventInterval eventInterval
	lastUsed      time.Time
	// loadGrantUntil is the expiry of a load grant from the weight store.
	loadGrantUntil time.Time
	// wantedSince is the start of the current demand; zero after the model was
	// loaded.
	wantedSince time.Time
	// wantedUntil is the end of the period in which a refused caller is expected to
	// retry. The model counts as wanted until then, even without waiting leases.
	wantedUntil time.Time
	// drainUntil is the end of the period in which the model gets no new leases, so
	// that it can be evicted for one with a higher cost of absence.
	drainUntil time.Time
}

// isDraining reports whether new leases of the model are refused.
func (known *model) isDraining(now time.Time) bool { return now.Before(known.drainUntil) }

// isWanted reports whether a lease of the model is waiting or a retry is expected.
func (known *model) isWanted(now time.Time) bool {
	return known.waiting > 0 || now.Before(known.wantedUntil)
}

// adapterID identifies an adapter.
type adapterID struct{ model, name string }

// adapter is the state of one adapter.
type adapter struct {
	loaded bool
	// loading indicates that the adapter is being transferred from the weight
	// store.
	loading  bool
	waiting  int
	running  int
	lastUsed time.Time
}

// lease is a requested or granted Lease until its release.
type lease struct {
	Lease
	granted   bool
	grantedAt time.Time
}

// Manager controls one runner. Use NewManager.
type Manager struct {
	holder string
	fence  int64
	// instance is the runner's registered ID; no order is sent before it is known.
	instance string
	// instanceStartedAt identifies the incarnation that instance belongs to, if
	// known.
	instanceStartedAt int64
	placement         *Placement
	report            *modelrunner.Report
	reportedAt        time.Time
	// notRunning is set if no process accepted connections at the last attempt to get
	// a report.
	notRunning bool
	ledger     *ledger.Ledger
	queue      *admission.Queue
	models     map[string]*model
	adapters   map[adapterID]*adapter
	leases     map[string]*lease
	pacer      prefillPacer
	estimator  prefillEstimator
	// prefill is the share of the runner's time spent on prefill.
	prefill  prefillShare
	failures backends.FailureRate
	// reportedLimit is the rate limit that the runner names in its reports,
	// observedLimit the one in its responses to requests.
	reportedLimit ratelimit.Record
	observedLimit ratelimit.Record
	bucket        ratelimit.Bucket
	// arrivals is the rate of requested leases.
	arrivals decayingRate
	// leased is set once the first lease was requested.
	leased bool
	// pendingOrder is the order whose response is outstanding.
	pendingOrder *modelrunner.Order
	// activeChange is the accepted order for a model that is being executed.
	activeChange *change
	// uncertain are orders without a response, by the time at which they were sent.
	uncertain []uncertainOrder
	// loadGrantWanted is the next model to be loaded, if it needs a load grant from
	// the weight store; empty if there is none.
	loadGrantWanted string
	// pausedUntil delays the next order after one that had no effect.
	pausedUntil time.Time
	actions     []Action
}

// change is an order for a model that is being executed.
type change struct {
	order   modelrunner.Order
	started time.Time
	// tier is the source of the weights of a load.
	tier wire.CacheTier
}

// NewManager returns the manager of an agent's incarnation. Orders carry the
// holder's name and its fencing token.
func NewManager(holder string, fence int64) *Manager {
	const initialSlots = 1
	return &Manager{
		holder:    holder,
		fence:     fence,
		ledger:    ledger.New(0),
		queue:     admission.New(admission.Limits{MaxQueued: maxQueued, Slots: initialSlots}),
		models:    make(map[string]*model),
		adapters:  make(map[adapterID]*adapter),
		leases:    make(map[string]*lease),
		estimator: newPrefillEstimator(),
	}
}

// flush returns the collected actions and clears them.
func (m *Manager) flush() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Manager) emit(action Action) { m.actions = append(m.actions, action) }

// UpdatePlacement applies the runner's part of a placement, unless a newer one is
// known.
func (m *Manager) UpdatePlacement(now time.Time, placement *Placement) []Action {
	if m.placement != nil && placement.Revision < m.placement.Revision {
		return nil
	}
	m.placement = placement
	m.estimator.setDefault(placement.PrefillNanosPerToken)
	m.queue.SetLimits(admission.Limits{MaxQueued: maxQueued, Slots: placement.Slots})
	placed := make(map[string]bool, len(placement.Models))
	for _, p := range placement.Models {
		placed[p.Name] = true
		m.model(p.Name).PlacedModel = p
	}
	for name, known := range m.models {
		if !placed[name] {
			known.Permit = wire.ModelPermit{}
		}
	}
	m.rebuildLedger()
	m.refuseUnpermitted(now)
	return m.advance(now)
}

// UpdateInstance records the ID under which the runner registered.
func (m *Manager) UpdateInstance(now time.Time, instance string, startedAtMillis int64) []Action {
	if instance == "" || startedAtMillis < m.instanceStartedAt {
		return nil
	}
	m.instance = instance
	m.instanceStartedAt = startedAtMillis
	m.rebuildLedger()
	return m.advance(now)
}

// LoadGranted records the coordinator's permission to load a model from the weight
// store.
func (m *Manager) LoadGranted(now time.Time, name string) []Action {
	if known := m.models[name]; known != nil && known.isPermitted() {
		known.loadGrantUntil = now.Add(loadGrantTTL)
	}
	return m.advance(now)
}

// Tick refuses leases that can no longer start in time.
func (m *Manager) Tick(now time.Time) []Action {
	m.expireUncertain(now)
	if m.isDown(now) {
		m.refuseWaiting(func(*lease) (wire.Reason, bool) { return wire.ReasonUnavailable, true }, now)
	}
	return m.advance(now)
}

// isDown reports whether no report has arrived within reportTimeout.
func (m *Manager) isDown(now time.Time) bool {
	return m.report == nil || now.Sub(m.reportedAt) > reportTimeout
}

func (m *Manager) isLeaving() bool {
	return m.report != nil && m.report.State == fleet.BackendDraining
}

func (m *Manager) model(name string) *model {
	known := m.models[name]
	if known == nil {
		known = &model{PlacedModel: PlacedModel{EngineModel: wire.EngineModel{Name: name}}}
		m.models[name] = known
	}
	return known
}

func (m *Manager) adapter(id adapterID) *adapter {
	known := m.adapters[id]
	if known == nil {
		known = &adapter{}
		m.adapters[id] = known
	}
	return known
}

// state returns a model's state according to the last report and the active change.
func (m *Manager) state(known *model) wire.ModelState {
	if m.activeChange != nil && m.activeChange.order.Model == known.Name {
		if m.activeChange.order.Operation == modelrunner.Load {
			return wire.ModelLoading
		}
		return wire.ModelUnloading
	}
	if known.loaded {
		return wire.ModelLoaded
	}
	return wire.ModelAbsent
}
