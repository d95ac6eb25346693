package residency

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// adapterPoll, changePoll, waitPoll and idlePoll are the polling intervals
	// while an adapter is loading, while an order for a model is executed, while
	// leases wait, and otherwise.
	adapterPoll = 4 * time.Millisecond
	changePoll  = 10 * time.Millisecond
	waitPoll    = 50 * time.Millisecond
	idlePoll    = 250 * time.Millisecond
)

// PollInterval returns the time until the next report is due.
func (m *Manager) PollInterval() time.Duration {
	for _, a := range m.adapters {
		if a.loading && a.waiting > 0 {
			return adapterPoll
		}
	}
	if m.activeChange != nil || m.mayChangeUnasked() || (m.report != nil && m.report.Busy) {
		return changePoll
	}
	if m.queue.Len() > 0 {
		return waitPoll
	}
	return idlePoll
}

// NextWake returns when Tick may grant a lease that is only delayed by prompt
// admission or by the runner's rate limit, or the zero time.
func (m *Manager) NextWake(now time.Time) time.Time {
	if m.queue.Len() == 0 {
		return time.Time{}
	}
	opens := m.pacer.nextAdmission()
	if token := now.Add(m.bucket.Wait(now, m.Limit(), 0)); token.After(opens) {
		opens = token
	}
	if !opens.After(now) {
		return time.Time{}
	}
	return opens
}

// Status describes the runner. Models that are neither loaded nor cached locally
// nor permitted are omitted.
func (m *Manager) Status(now time.Time) *wire.RunnerStatus {
	status := &wire.RunnerStatus{
		Instance: m.instance,
		Leaving:  m.isLeaving(),
		Down:     m.isDown(now),
		Running:  m.queue.Running(),
		Waiting:  m.queue.Len(),
		Failing:  m.failures.ShouldAvoid(now),

		NotRunning: m.notRunning,
	}
	status.SetLoad(m.load(now))
	limit := m.Limit()
	status.Limited = limit.Named
	status.LimitPerSecond = limit.PerSecond
	status.PrefillNanosPerToken = m.estimator.tokenNanos()
	if m.report != nil {
		status.StartedAtMillis = m.report.StartedAtMillis
	}
	if m.placement != nil {
		status.PlacementRevision = m.placement.Revision
		status.Slots = m.placement.Slots
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

// load returns the runner's load: the share of occupied slots, the prefill share
// relative to its target, or the rate of requests relative to the runner's limit,
// whichever is highest.
func (m *Manager) load(now time.Time) float64 {
	load := max(m.prefill.current(now)/targetPrefillShare, m.limitLoad(now))
	if m.placement != nil && m.placement.Slots > 0 {
		load = max(load, float64(m.queue.Running()+m.queue.Len())/float64(m.placement.Slots))
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
		Batch:           known.batch.current(now),
		AwaitsLoadGrant: known.Name == m.loadGrantWanted,
		FromStore:       state == wire.ModelLoading && m.activeChange.tier == wire.CacheRemote,
		Wanted:          known.isWanted(now),
		WaitMillis:      m.waitMillis(now, known),
		PermitRank:      known.Permit.Rank,
		PrefillShare:    known.prefill.current(now),
		EventMillis:     known.eventInterval.publishedMillis(now),
	}
}

// waitStep is the resolution of the reported waits. Finer steps would cause a
// status update for each small change.
const waitStep = 250 * time.Millisecond

// minContentionWait is the shortest wait assumed until a model that is in use
// becomes idle and can be evicted.
const minContentionWait = 2 * time.Second

// fitsAfterEviction reports whether free memory and idle models suffice for a
// model.
func (m *Manager) fitsAfterEviction(now time.Time, known *model) bool {
	available := m.ledger.Free()
	for _, victim := range m.victims(now, known.Name, isIdle) {
		available += victim.MiB
	}
	return available >= known.MiB
}

// contentionWait estimates the time until memory for a model is available, when
// there is none now: as long again as the model has already been wanted.
func (m *Manager) contentionWait(now time.Time, known *model) time.Duration {
	if !known.isWanted(now) {
		return minContentionWait
	}
	return max(minContentionWait, now.Sub(known.wantedSince))
}

// waitMillis estimates the time until a permitted model is loaded if it is
// requested now, after the models that are already wanted.
func (m *Manager) waitMillis(now time.Time, known *model) uint32 {
	if known.loaded || !known.isPermitted() {
		return 0
	}
	wait := m.readyIn(now, known)
	for _, other := range m.models {
		if other != known && other.isWanted(now) && m.state(other) == wire.ModelAbsent && other.isPermitted() {
			wait += m.loadTime(other) + orderOverhead
		}
	}
	if !m.fitsAfterEviction(now, known) {
		wait += m.contentionWait(now, known)
	}
	steps := (wait + waitStep - 1) / waitStep
	return uint32((steps * waitStep).Milliseconds())
}

// PlacementRevision returns the revision of the active placement, or zero without
// one.
func (m *Manager) PlacementRevision() int64 {
	if m.placement == nil {
		return 0
	}
	return m.placement.Revision
}

// Waiting returns the number of waiting leases.
func (m *Manager) Waiting() int { return m.queue.Len() }

// Running returns the number of granted leases.
func (m *Manager) Running() int { return m.queue.Running() }

// Explain describes for the log what a lease depends on.
func (m *Manager) Explain(now time.Time, wanted Lease) string {
	known := m.models[wanted.Model]
	if known == nil || m.report == nil || m.placement == nil {
		return "unplanned"
	}
	text := fmt.Sprintf("model=%s tier=%s permitted=%t running=%d/%d waiting=%d prompts_in=%s",
		m.state(known), known.tier, known.isPermitted(), m.queue.Running(), m.placement.Slots, m.queue.Len(),
		max(m.pacer.nextAdmission().Sub(now), 0))
	if limit := m.Limit(); limit.Named {
		text += fmt.Sprintf(" limit_per_s=%g limit_age=%s rate_token_in=%s", limit.PerSecond, m.limitAge(now), m.bucket.Wait(now, limit, 0))
	}
	if m.activeChange != nil {
		text += fmt.Sprintf(" changing=%s:%s", m.activeChange.order.Operation, m.activeChange.order.Model)
	}
	if a := m.adapters[adapterID{wanted.Model, wanted.Adapter}]; a != nil {
		text += fmt.Sprintf(" adapter_loaded=%t adapter_coming=%t adapters_held=%d/%d", a.loaded, a.loading,
			m.occupiedAdapterSlots(adapterID{}), m.placement.AdapterSlots)
	}
	return text + fmt.Sprintf(" free_mib=%d doubtful=%d following=%d calling=%t", m.ledger.Free(), len(m.uncertain), len(m.followingOrders()), m.pendingOrder != nil)
}
