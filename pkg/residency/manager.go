package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// maxQueued bounds the waiting uses of all routes together.
	maxQueued = 1024
	// downAfter is how long a runner that doesn't report is still taken to be
	// up.
	downAfter = 600 * time.Millisecond
	// startTTL is how long a leave to load from the weight store lasts, so that
	// loads that were held up don't begin together.
	startTTL = time.Second
	// comeBackSoon is when to come back after a refusal that another runner or a
	// moment may undo.
	comeBackSoon = 500 * time.Millisecond
)

// model is the state of one model at the runner.
type model struct {
	PlacedModel
	// held tells that the runner's last report names the model.
	held    bool
	version int
	tier    wire.CacheTier
	// waiting and running count uses.
	waiting     int
	running     int
	interactive rate
	patient     rate
	// reading is the part of its time that the runner reads prompts for the model.
	reading  readingShare
	lastUsed time.Time
	// startUntil is how long the model may begin to load from the weight store.
	startUntil time.Time
	// wantedSince is since when the model has been wanted; zero after it was loaded.
	wantedSince time.Time
	// wantedUntil is how long the model is to be loaded although no use waits,
	// because a refused caller is expected to come back.
	wantedUntil time.Time
	// emptyUntil is how long the model gets no new uses, so that it can make way
	// for one that is worth more.
	emptyUntil time.Time
}

// isEmptying tells whether the model gets no new uses.
func (known *model) isEmptying(now time.Time) bool { return now.Before(known.emptyUntil) }

// isWanted tells whether a use waits for the model or is expected back.
func (known *model) isWanted(now time.Time) bool {
	return known.waiting > 0 || now.Before(known.wantedUntil)
}

// adapterID names an adapter.
type adapterID struct{ model, name string }

// adapter is the state of one adapter.
type adapter struct {
	loaded bool
	// coming tells that it is on its way from the weight store.
	coming   bool
	waiting  int
	running  int
	lastUsed time.Time
}

// use is a Use from its arrival to its release.
type use struct {
	Lease
	granted   bool
	grantedAt time.Time
}

// Manager decides for one runner. Use NewManager.
type Manager struct {
	holder string
	fence  int64
	// instance is the runner's ID as entries know it; orders wait for it.
	instance string
	// instanceBorn is the incarnation that instance belongs to, if known.
	instanceBorn int64
	plan         *Placement
	report       *modelrunner.Report
	reportedAt   time.Time
	ledger       *ledger.Ledger
	queue        *admission.Queue
	models       map[string]*model
	adapters     map[adapterID]*adapter
	uses         map[string]*use
	prompts      promptPacer
	reader       promptReader
	// reading is the part of its time that the runner reads prompts.
	reading  readingShare
	failures backends.FailureRate
	// used tells that a use has come.
	used bool
	// calling is the order whose answer is awaited.
	calling *modelrunner.Order
	// changing is the accepted order for a model that is being carried out.
	changing *change
	// doubtful are orders without an answer that may still be carried out.
	doubtful []doubtfulOrder
	// startWanted is the model whose load comes next and needs leave to load from
	// the weight store; empty if there is none.
	startWanted string
	// pausedUntil puts the next order off after one that had no effect.
	pausedUntil time.Time
	actions     []Action
}

// change is an order for a model under way.
type change struct {
	order   modelrunner.Order
	started time.Time
	// tier is where a load's weights come from.
	tier wire.CacheTier
}

// doubtfulOrder is an order without an answer.
type doubtfulOrder struct {
	order modelrunner.Order
	until time.Time
}

// NewManager returns the manager of an agent's incarnation. Orders are given
// under its name and fencing token.
func NewManager(holder string, fence int64) *Manager {
	const untilPlanned = 1
	return &Manager{
		holder:   holder,
		fence:    fence,
		ledger:   ledger.New(0),
		queue:    admission.New(admission.Limits{MaxQueued: maxQueued, Slots: untilPlanned}),
		models:   make(map[string]*model),
		adapters: make(map[adapterID]*adapter),
		uses:     make(map[string]*use),
		reader:   newPromptReader(),
	}
}

// flush returns the actions that have come together.
func (m *Manager) flush() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Manager) act(action Action) { m.actions = append(m.actions, action) }

// UpdatePlacement takes in the runner's part of a placement, unless a newer one is
// known.
func (m *Manager) UpdatePlacement(now time.Time, plan *Placement) []Action {
	if m.plan != nil && plan.Revision < m.plan.Revision {
		return nil
	}
	m.plan = plan
	m.reader.assume(plan.TokenNanos)
	m.queue.SetLimits(admission.Limits{MaxQueued: maxQueued, Slots: plan.Slots})
	planned := make(map[string]bool, len(plan.Models))
	for _, p := range plan.Models {
		planned[p.Name] = true
		m.model(p.Name).PlacedModel = p
	}
	for name, known := range m.models {
		if !planned[name] {
			known.Permit = 0
			known.Keep = false
		}
	}
	m.rebuildLedger()
	m.refuseUnpermitted(now)
	return m.advance(now)
}

// UpdateInstance takes in the runner's ID as it registered itself.
func (m *Manager) UpdateInstance(now time.Time, instance string, bornMillis int64) []Action {
	if instance == "" || bornMillis < m.instanceBorn {
		return nil
	}
	m.instance = instance
	m.instanceBorn = bornMillis
	return m.advance(now)
}

// LoadGranted takes in the coordinator's leave to load a model from the weight
// store.
func (m *Manager) LoadGranted(now time.Time, name string) []Action {
	if known := m.models[name]; known != nil && known.isPermitted() {
		known.startUntil = now.Add(startTTL)
	}
	return m.advance(now)
}

// Tick gives the final answer to uses that can't start in time any more.
func (m *Manager) Tick(now time.Time) []Action {
	m.dropDoubts(now)
	if m.isDown(now) {
		m.refuseWaiting(func(*use) (wire.Reason, bool) { return wire.ReasonUnavailable, true }, now)
	}
	return m.advance(now)
}

// isDown tells whether the runner has not reported for a while.
func (m *Manager) isDown(now time.Time) bool {
	return m.report == nil || now.Sub(m.reportedAt) > downAfter
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

// state is a model's state by the last report and the order under way.
func (m *Manager) state(known *model) wire.ModelState {
	if m.changing != nil && m.changing.order.Model == known.Name {
		if m.changing.order.Operation == modelrunner.Load {
			return wire.ModelLoading
		}
		return wire.ModelUnloading
	}
	if known.held {
		return wire.ModelLoaded
	}
	return wire.ModelAbsent
}
