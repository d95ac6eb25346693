package residency

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// interactiveCost and patientCost weigh a request a second that would find
	// its model absent: one that can't wait for a load, and one that can.
	interactiveCost = 10.0
	patientCost     = 0.5
	// keptCost is the cost of unloading a model that the placement wants kept,
	// interactiveKeptCost that of one that interactive requests ask for.
	keptCost            = 0.2
	interactiveKeptCost = 5.0
	// recentCost keeps a model for a moment after its last use.
	recentCost = 0.3
	recentUse  = 2 * time.Second
	// keepGain is how much more than its victims a model must be worth to be
	// loaded without a request.
	keepGain = 0.5
	// copyWorth is what a copy of a model's weights is worth in models that make
	// way for its load.
	copyWorth = 0.6
	// emptyGain is how much more than its victims a model must be worth for their
	// uses to make way, and emptyTime how long these get no new ones.
	emptyGain = 2.0
	// patientRate is the rate of interactive requests a second below which a model
	// counts as patient.
	patientRate = 0.1
	emptyTime   = 5 * time.Second
	// conflictPause is the time to the next order after one that was refused.
	conflictPause = 50 * time.Millisecond
	// maxComing bounds the adapters on their way to one runner.
	maxComing = 4
)

// advance gives answers and orders that the present state calls for.
func (m *Manager) advance(now time.Time) []Action {
	m.expire(now)
	m.grantReady(now)
	if m.calling == nil && m.report != nil && m.plan != nil && m.canOrder(now) {
		if !m.orderAdapter(now) {
			m.orderModel(now)
		}
	}
	return m.flush()
}

// canOrder tells whether the runner is known well enough to get an order.
func (m *Manager) canOrder(now time.Time) bool {
	return !m.isDown(now) && !m.isLeaving() && !now.Before(m.pausedUntil) && m.fence > 0 && m.instance != "" &&
		(m.instanceBorn == 0 || m.instanceBorn == m.report.BornMillis)
}

func (m *Manager) give(operation modelrunner.Operation, model, adapter string) {
	m.calling = &modelrunner.Order{
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  m.report.Sequence,
		Instance:  m.instance,
		Holder:    m.holder,
		Fence:     m.fence,
	}
	m.rebuildLedger()
	m.act(GiveOrder{Order: *m.calling})
}

// Answered takes in the answer to the last order and the report that was read
// after it, if there was one.
func (m *Manager) Answered(now time.Time, result modelrunner.Result, report *modelrunner.Report) []Action {
	order := *m.calling
	m.calling = nil
	switch result {
	case modelrunner.Accepted:
		if order.Adapter == "" {
			m.changing = &change{order: order, started: now, tier: m.model(order.Model).tier}
		}
	case modelrunner.Unanswered:
		m.doubtful = append(m.doubtful, doubtfulOrder{order: order, until: now.Add(doubtTTL)})
	case modelrunner.Conflict, modelrunner.Invalid:
		m.pausedUntil = now.Add(conflictPause)
	case modelrunner.StaleFence:
		// A later incarnation of this agent has taken over; this one orders no more.
		m.fence = 0
	case modelrunner.OtherInstance:
		m.instance = ""
	}
	if report != nil {
		m.take(now, *report)
	} else {
		m.rebuildLedger()
	}
	return m.advance(now)
}

// Fence returns the fencing token, which is zero once a higher one was seen.
func (m *Manager) Fence() int64 { return m.fence }

// Fenced sets a new fencing token.
func (m *Manager) Fenced(now time.Time, fence int64) []Action {
	m.fence = max(m.fence, fence)
	return m.advance(now)
}

// orderAdapter orders an adapter that a use waits for, or makes room for it. The
// runner refuses it while an order for a model is carried out.
func (m *Manager) orderAdapter(now time.Time) bool {
	id, ok := m.wantedAdapter()
	if !ok || m.changing != nil || m.report.Busy {
		return false
	}
	if m.comingAdapters() >= maxComing {
		return false
	}
	if m.heldAdapters(id) >= m.plan.AdapterSlots {
		return m.evictAdapter()
	}
	wanted := engine.Target{Model: id.model, Adapter: id.name}
	if needed := m.models[id.model].AdapterMiB - m.freeFor(wanted); needed > 0 {
		return m.evictAdapter() || m.makeRoom(now, id.model, needed)
	}
	m.give(modelrunner.Load, id.model, id.name)
	return true
}

// wantedAdapter returns the adapter that most uses wait for and that can be
// loaded now.
func (m *Manager) wantedAdapter() (adapterID, bool) {
	var best adapterID
	most := 0
	for id, a := range m.adapters {
		if a.waiting == 0 || a.loaded || a.coming || m.state(m.models[id.model]) != wire.ModelLoaded {
			continue
		}
		if a.waiting > most || (a.waiting == most && compareAdapters(id, best) < 0) {
			best = id
			most = a.waiting
		}
	}
	return best, most > 0
}

func compareAdapters(a, b adapterID) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.name, b.name))
}

// freeFor is the memory that a target may take: what is free, and what an order
// for it that is in doubt takes already.
func (m *Manager) freeFor(wanted engine.Target) int64 {
	return m.ledger.Free() + m.ledger.Get(wanted).MiB
}

// heldAdapters counts the adapters other than the wanted one that take a slot,
// those in doubt included.
func (m *Manager) heldAdapters(wanted adapterID) int {
	count := 0
	for _, a := range m.adapters {
		if a.loaded || a.coming {
			count++
		}
	}
	for _, order := range m.loadsUnderWay() {
		if order.Adapter != "" && (adapterID{order.Model, order.Adapter}) != wanted {
			count++
		}
	}
	return count
}

func (m *Manager) comingAdapters() int {
	count := 0
	for _, a := range m.adapters {
		if a.coming {
			count++
		}
	}
	return count
}

// evictAdapter orders the adapter that was idle longest out, if there is one.
func (m *Manager) evictAdapter() bool {
	var victim adapterID
	var since time.Time
	for id, a := range m.adapters {
		if !a.loaded || a.running > 0 || a.waiting > 0 || m.state(m.models[id.model]) != wire.ModelLoaded {
			continue
		}
		if since.IsZero() || a.lastUsed.Before(since) {
			victim = id
			since = a.lastUsed
		}
	}
	if victim == (adapterID{}) {
		return false
	}
	m.give(modelrunner.Unload, victim.model, victim.name)
	return true
}

// orderModel orders the load or unload of a model that matters most.
func (m *Manager) orderModel(now time.Time) {
	if m.changing != nil || m.report.Busy {
		return
	}
	if m.orderWaitedFor(now) || m.unloadUnpermitted() {
		return
	}
	// Before the first request there is time for the long loads.
	if !m.used && m.orderCopy(now) {
		return
	}
	if !m.orderKept(now) {
		m.orderCopy(now)
	}
}

// orderCopy loads a model of whose weights the runner should have a copy, if what
// makes way for it is worth little.
func (m *Manager) orderCopy(now time.Time) bool {
	var wanted []*model
	for _, known := range m.models {
		if known.Copy && known.Permitted && known.tier == wire.CacheRemote && !known.held {
			wanted = append(wanted, known)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int { return cmp.Compare(a.Name, b.Name) })
	for _, known := range wanted {
		if m.loadOrMakeRoom(now, known, func(needed int64) bool { return m.makeRoomWorth(now, known, needed, copyWorth) }) {
			return true
		}
	}
	return false
}

// orderWaitedFor loads the most urgent model that uses wait for. It returns false
// if something else may be ordered.
func (m *Manager) orderWaitedFor(now time.Time) bool {
	var waited []*model
	for _, known := range m.models {
		if known.isWanted(now) && !known.held && known.Permitted {
			waited = append(waited, known)
		}
	}
	slices.SortFunc(waited, func(a, b *model) int { return compareUrgency(now, a, b) })
	for _, known := range waited {
		if m.loadOrMakeRoom(now, known, func(needed int64) bool { return m.makeRoom(now, known.Name, needed) }) {
			return true
		}
		if m.isRoomComing(now, known) {
			// Another load would take the room that this one waits for.
			return true
		}
	}
	return false
}

// compareUrgency puts the models first that interactive requests ask for, the most
// wanted first, then those that have been wanted longest.
func compareUrgency(now time.Time, a, b *model) int {
	rateA, rateB := a.urgentRate(now), b.urgentRate(now)
	return cmp.Or(
		cmp.Compare(rateB, rateA),
		a.wantedSince.Compare(b.wantedSince),
		cmp.Compare(a.Name, b.Name),
	)
}

// urgentRate is the rate of interactive requests, or zero below patientRate.
func (known *model) urgentRate(now time.Time) float64 {
	if rate := known.interactive.current(now); rate >= patientRate {
		return rate
	}
	return 0
}

// isRoomComing tells whether models are being emptied to make room for an urgent
// one whose weights may be loaded as soon as there is room.
func (m *Manager) isRoomComing(now time.Time, known *model) bool {
	if known.urgentRate(now) == 0 || !m.mayStart(now, known) {
		return false
	}
	room := m.freeFor(engine.Target{Model: known.Name})
	for _, victim := range m.victims(now, known.Name, func(other *model) bool { return other.isEmptying(now) || isIdle(other) }) {
		room += victim.MiB
	}
	return room >= known.MiB
}

// mayStart tells whether a load of the model may begin as far as the weight store
// is concerned.
func (m *Manager) mayStart(now time.Time, known *model) bool {
	return known.tier != wire.CacheRemote || now.Before(known.startUntil)
}

// loadOrMakeRoom orders a load if it may start and there is room, or else what
// makes room.
func (m *Manager) loadOrMakeRoom(now time.Time, known *model, makeRoom func(needed int64) bool) bool {
	if !m.mayStart(now, known) {
		return false
	}
	if needed := known.MiB - m.freeFor(engine.Target{Model: known.Name}); needed > 0 {
		return makeRoom(needed)
	}
	known.startUntil = time.Time{}
	m.give(modelrunner.Load, known.Name, "")
	return true
}

// makeRoom orders the first of the idle models out that together free enough
// memory at the least cost. If too few are idle, models that are worth less than
// the wanted one are emptied: they get no new uses.
func (m *Manager) makeRoom(now time.Time, wanted string, needed int64) bool {
	victims, ok := loading.Cheapest(m.victims(now, wanted, isIdle), needed)
	if ok && len(victims) > 0 {
		m.give(modelrunner.Unload, victims[0].Model, "")
		return true
	}
	m.empty(now, wanted, needed)
	return false
}

// empty marks the models that must lose their uses to make room for a wanted one:
// patient ones that are worth less than it.
func (m *Manager) empty(now time.Time, wanted string, needed int64) {
	worth := m.worth(now, m.models[wanted])
	victims, ok := loading.Cheapest(m.victims(now, wanted, func(known *model) bool {
		return known.urgentRate(now) == 0 && m.worth(now, known)+emptyGain < worth
	}), needed)
	if !ok {
		return
	}
	for _, victim := range victims {
		m.models[victim.Model].emptyUntil = now.Add(emptyTime)
	}
	m.refuseWaiting(func(u *use) (wire.Reason, bool) {
		return wire.ReasonNoMemory, m.models[u.Model].isEmptying(now)
	}, now)
}

// isIdle tells whether no use runs or waits.
func isIdle(known *model) bool { return known.running == 0 && known.waiting == 0 }

// victims lists the loaded models that a condition names, with the cost of their
// absence.
func (m *Manager) victims(now time.Time, wanted string, condition func(*model) bool) []loading.Victim {
	var idle []loading.Victim
	for name, known := range m.models {
		if name == wanted || m.state(known) != wire.ModelLoaded || known.MiB == 0 || !condition(known) {
			continue
		}
		idle = append(idle, loading.Victim{
			Target: engine.Target{Model: name},
			MiB:    known.MiB,
			Cost:   m.worth(now, known),
		})
	}
	slices.SortFunc(idle, func(a, b loading.Victim) int { return cmp.Compare(a.Target.Model, b.Target.Model) })
	return idle
}

// worth is the expected cost of a model's absence.
func (m *Manager) worth(now time.Time, known *model) float64 {
	cost := interactiveCost*known.interactive.current(now) + patientCost*known.patient.current(now)
	if !known.Permitted {
		return cost
	}
	if known.Keep && known.Interactive {
		cost += interactiveKeptCost
	}
	if known.Keep {
		cost += keptCost
	}
	if now.Sub(known.lastUsed) < recentUse {
		cost += recentCost
	}
	return cost
}

// unloadUnpermitted unloads an idle model that the runner may not hold any more.
func (m *Manager) unloadUnpermitted() bool {
	var revoked []string
	for name, known := range m.models {
		if known.held && !known.Permitted && known.running == 0 {
			revoked = append(revoked, name)
		}
	}
	if len(revoked) == 0 {
		return false
	}
	m.give(modelrunner.Unload, slices.Min(revoked), "")
	return true
}

// orderKept loads a model that the placement wants kept, the one worth most
// first, if it is worth more than what makes way for it.
func (m *Manager) orderKept(now time.Time) bool {
	var kept []*model
	for _, known := range m.models {
		if known.Keep && !known.held && known.Permitted {
			kept = append(kept, known)
		}
	}
	slices.SortFunc(kept, func(a, b *model) int {
		return cmp.Or(cmp.Compare(m.worth(now, b), m.worth(now, a)), cmp.Compare(a.Name, b.Name))
	})
	for _, known := range kept {
		worth := m.worth(now, known) - keepGain
		if m.loadOrMakeRoom(now, known, func(needed int64) bool { return m.makeRoomWorth(now, known, needed, worth) }) {
			return true
		}
	}
	return false
}

// makeRoomWorth is makeRoom for a model that no use waits for: its victims must
// not be worth more than a bound.
func (m *Manager) makeRoomWorth(now time.Time, known *model, needed int64, bound float64) bool {
	idle := m.victims(now, known.Name, isIdle)
	victims, ok := loading.Cheapest(idle, needed)
	if !ok || len(victims) == 0 {
		return false
	}
	var cost float64
	for _, victim := range victims {
		cost += m.worth(now, m.models[victim.Model])
	}
	if cost > bound {
		return false
	}
	m.give(modelrunner.Unload, victims[0].Model, "")
	return true
}
