package residency

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// adapterPoll, changePoll, waitPoll and idlePoll are the times between two
	// reports while an adapter comes, an order for a model is carried out, uses
	// wait, and otherwise.
	adapterPoll = 4 * time.Millisecond
	changePoll  = 10 * time.Millisecond
	waitPoll    = 50 * time.Millisecond
	idlePoll    = 250 * time.Millisecond
)

// PollInterval is the time after which the next report is due.
func (m *Manager) PollInterval() time.Duration {
	for _, a := range m.adapters {
		if a.coming && a.waiting > 0 {
			return adapterPoll
		}
	}
	if m.changing != nil || len(m.doubtful) > 0 || (m.report != nil && m.report.Busy) {
		return changePoll
	}
	if m.queue.Len() > 0 {
		return waitPoll
	}
	return idlePoll
}

// NextWake is when Tick may grant a use that waits only for its turn to be let in, or
// the zero time.
func (m *Manager) NextWake(now time.Time) time.Time {
	if opens := m.prompts.opensAt(); m.queue.Len() > 0 && opens.After(now) {
		return opens
	}
	return time.Time{}
}

// Status describes the runner. Models that are neither held nor near nor permitted
// are left out.
func (m *Manager) Status(now time.Time) *wire.RunnerStatus {
	status := &wire.RunnerStatus{
		Instance: m.instance,
		Leaving:  m.isLeaving(),
		Down:     m.isDown(now),
		Running:  m.queue.Running(),
		Waiting:  m.queue.Len(),
		Failing:  m.failures.ShouldAvoid(now),
	}
	status.SetLoad(m.load(now))
	status.PrefillNanosPerToken = m.reader.tokenNanos()
	if m.report != nil {
		status.StartedAtMillis = m.report.StartedAtMillis
	}
	if m.plan != nil {
		status.PlacementRevision = m.plan.Revision
		status.Slots = m.plan.Slots
	}
	for _, known := range m.models {
		if m.state(known) == wire.ModelAbsent && known.tier == wire.CacheRemote && !known.isPermitted() {
			continue
		}
		status.Models = append(status.Models, m.describe(now, known))
	}
	slices.SortFunc(status.Models, func(a, b wire.RunnerModel) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

// load is the load of the runner: the slots that are taken, or the reading of prompts
// as a part of what it should take, whichever is more.
func (m *Manager) load(now time.Time) float64 {
	load := m.reading.current(now) / promptShare
	if m.plan != nil && m.plan.Slots > 0 {
		load = max(load, float64(m.queue.Running()+m.queue.Len())/float64(m.plan.Slots))
	}
	return load
}

func (m *Manager) describe(now time.Time, known *model) wire.RunnerModel {
	state := m.state(known)
	return wire.RunnerModel{
		Name:            known.Name,
		State:           state,
		Tier:            known.tier,
		Waiting:         known.waiting,
		Running:         known.running,
		Interactive:     known.interactive.current(now),
		Batch:           known.patient.current(now),
		AwaitsLoadGrant: known.Name == m.startWanted,
		FromStore:       state == wire.ModelLoading && m.changing.tier == wire.CacheRemote,
		Wanted:          known.isWanted(now),
		WaitMillis:      m.waitMillis(now, known),
		PermitRank:      known.Permit,
		PrefillShare:    known.reading.current(now),
	}
}

// waitStep is the resolution of the waits that entries learn, so that they don't
// get a status for each small change.
const waitStep = 250 * time.Millisecond

// crowdedWait is the expected wait until a model that is in use now is idle and
// may make way.
const crowdedWait = 2 * time.Second

// canMakeRoom tells whether free memory and idle models are enough for a model.
func (m *Manager) canMakeRoom(now time.Time, known *model) bool {
	room := m.ledger.Free()
	for _, victim := range m.victims(now, known.Name, isIdle) {
		room += victim.MiB
	}
	return room >= known.MiB
}

// crowdedFor is the expected time until there is room for a model that has none
// now: as long again as it has been wanted already.
func (m *Manager) crowdedFor(now time.Time, known *model) time.Duration {
	if !known.isWanted(now) {
		return crowdedWait
	}
	return max(crowdedWait, now.Sub(known.wantedSince))
}

// waitMillis is the expected time until a permitted model is loaded if it is
// asked for now, behind those that are wanted already.
func (m *Manager) waitMillis(now time.Time, known *model) uint32 {
	if known.held || !known.isPermitted() {
		return 0
	}
	wait := m.readyIn(now, known)
	for _, other := range m.models {
		if other != known && other.isWanted(now) && m.state(other) == wire.ModelAbsent && other.isPermitted() {
			wait += m.loadTime(other) + orderOverhead
		}
	}
	if !m.canMakeRoom(now, known) {
		wait += m.crowdedFor(now, known)
	}
	steps := (wait + waitStep - 1) / waitStep
	return uint32((steps * waitStep).Milliseconds())
}

// PlanRevision is that of the placement in force, or zero if there is none.
func (m *Manager) PlanRevision() int64 {
	if m.plan == nil {
		return 0
	}
	return m.plan.Revision
}

// Waiting and Running count uses.
func (m *Manager) Waiting() int { return m.queue.Len() }

// Running counts the granted uses.
func (m *Manager) Running() int { return m.queue.Running() }

// Explain tells for the log what a use depends on.
func (m *Manager) Explain(now time.Time, wanted Lease) string {
	known := m.models[wanted.Model]
	if known == nil || m.report == nil || m.plan == nil {
		return "unplanned"
	}
	text := fmt.Sprintf("model=%s tier=%s permitted=%t running=%d/%d waiting=%d prompts_in=%s",
		m.state(known), known.tier, known.isPermitted(), m.queue.Running(), m.plan.Slots, m.queue.Len(),
		max(m.prompts.opensAt().Sub(now), 0))
	if m.changing != nil {
		text += fmt.Sprintf(" changing=%s:%s", m.changing.order.Operation, m.changing.order.Model)
	}
	if a := m.adapters[adapterID{wanted.Model, wanted.Adapter}]; a != nil {
		text += fmt.Sprintf(" adapter_loaded=%t adapter_coming=%t adapters_held=%d/%d", a.loaded, a.coming,
			m.heldAdapters(adapterID{}), m.plan.AdapterSlots)
	}
	return text + fmt.Sprintf(" free_mib=%d doubtful=%d calling=%t", m.ledger.Free(), len(m.doubtful), m.calling != nil)
}
