package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// remoteSlowdown is the expected duration of a load from the weight store
	// relative to an idle store, including the wait for the load grant.
	remoteSlowdown = 1.5
	// orderOverhead is the expected time to send an order and to detect its end.
	orderOverhead = 50 * time.Millisecond
	// retryWindow is how long a refused caller is expected to retry.
	retryWindow = 10 * time.Second
	// routeWeight is the fair-queueing weight of each route; all are equal.
	routeWeight = 1
)

// Acquire requests a lease. It is granted or refused by the actions of this or a
// later event.
func (m *Manager) Acquire(now time.Time, wanted Lease) []Action {
	if m.leases[wanted.ID] != nil {
		return []Action{Refuse{ID: wanted.ID, Reason: wire.ReasonQueueFull, RetryAfter: defaultRetryAfter}}
	}
	if reason, ok := m.refusal(now, wanted); ok {
		return []Action{Refuse{ID: wanted.ID, Reason: reason, RetryAfter: defaultRetryAfter}}
	}
	m.leased = true
	m.arrivals.record(now)
	known := m.models[wanted.Model]
	m.recordDemand(now, known, wanted)
	if retryAfter, late := m.isTooLateForLimit(now, wanted); late {
		known.expectRetry(now)
		return []Action{Refuse{ID: wanted.ID, Reason: wire.ReasonRate, RetryAfter: retryAfter}}
	}
	estimate := admission.Estimate{ReadyIn: m.readyIn(now, known)}
	if refused := m.queue.Offer(now, item(wanted), estimate); refused != nil {
		known.expectRetry(now)
		m.emit(Refuse{ID: wanted.ID, Reason: refused.Reason, RetryAfter: refused.RetryAfter})
		return m.advance(now)
	}
	known.markWanted(now)
	m.leases[wanted.ID] = &lease{Lease: wanted}
	m.countWaiting(wanted, 1)
	return m.advance(now)
}

// markWanted records the start of demand before a caller is added.
func (known *model) markWanted(now time.Time) {
	if known.wantedSince.IsZero() || !known.isWanted(now) {
		known.wantedSince = now
	}
}

// expectRetry records the demand of a refused caller, who is expected to retry.
func (known *model) expectRetry(now time.Time) {
	known.markWanted(now)
	known.wantedUntil = now.Add(retryWindow)
}

// countWaiting adds to the waiting leases of a lease's model and adapter.
func (m *Manager) countWaiting(l Lease, change int) {
	m.models[l.Model].waiting += change
	if l.Adapter != "" {
		m.adapter(adapterID{l.Model, l.Adapter}).waiting += change
	}
}

// countRunning adds to the running leases of a lease's model and adapter, which are
// in use now.
func (m *Manager) countRunning(now time.Time, l Lease, change int) {
	known := m.models[l.Model]
	known.running += change
	known.lastUsed = now
	if l.Adapter != "" {
		a := m.adapter(adapterID{l.Model, l.Adapter})
		a.running += change
		a.lastUsed = now
	}
}

// refusal returns the reason why a lease can't be queued at all.
func (m *Manager) refusal(now time.Time, wanted Lease) (wire.Reason, bool) {
	known := m.models[wanted.Model]
	switch {
	case m.isDown(now):
		return wire.ReasonUnavailable, true
	case m.isLeaving():
		return wire.ReasonLeaving, true
	case m.isForOtherIncarnation(wanted):
		return wire.ReasonReplaced, true
	case m.placement == nil || known == nil || known.MiB == 0:
		return wire.ReasonNotFound, true
	case !known.isPermitted():
		return wire.ReasonNoPermit, true
	case known.loaded && known.isDraining(now):
		return wire.ReasonNoMemory, true
	default:
		return "", false
	}
}

// isForOtherIncarnation reports whether a lease is for another incarnation of the runner
// than the reported one, which may have other software.
func (m *Manager) isForOtherIncarnation(wanted Lease) bool {
	if wanted.StartedAtMillis == 0 || m.report == nil || m.report.StartedAtMillis == 0 {
		return false
	}
	return wanted.StartedAtMillis != m.report.StartedAtMillis
}

func (m *Manager) recordDemand(now time.Time, known *model, wanted Lease) {
	if wanted.Repeated {
		return
	}
	if wanted.TargetLatency < millis(known.DiskLoadMillis) {
		known.interactive.record(now)
		return
	}
	known.batch.record(now)
}

func item(wanted Lease) admission.Item {
	return admission.Item{
		ID:       wanted.ID,
		Plan:     wanted.Route,
		Weight:   routeWeight,
		Priority: admission.MaxPriority - wanted.Priority,
		Deadline: wanted.Deadline,
		StartBy:  wanted.StartBy,
		Tokens:   wanted.Tokens,
		Target:   target(wanted.Model, wanted.Adapter),
		// The limit for all routes together is sufficient.
		MaxQueuedPlan: maxQueued,
	}
}

// target returns the queue's key for a model with an adapter. The queue only
// compares targets for equality.
func target(model, adapter string) admission.Target {
	return admission.Target{Model: model, Version: adapter}
}

// readyIn returns the expected time until a model is loaded.
func (m *Manager) readyIn(now time.Time, known *model) time.Duration {
	var rest time.Duration
	if m.activeChange != nil {
		rest = max(m.changeTime(m.activeChange)-now.Sub(m.activeChange.started), orderOverhead)
	}
	switch m.state(known) {
	case wire.ModelLoaded:
		return 0
	case wire.ModelLoading:
		return rest
	default:
		return rest + m.loadTime(known) + orderOverhead
	}
}

// changeTime returns the expected duration of an active change.
func (m *Manager) changeTime(c *change) time.Duration {
	known := m.models[c.order.Model]
	if known == nil || m.state(known) != wire.ModelLoading {
		return orderOverhead
	}
	return known.loadFrom(c.tier)
}

func (m *Manager) loadTime(known *model) time.Duration {
	return known.loadFrom(known.tier)
}

func (known *model) loadFrom(tier wire.CacheTier) time.Duration {
	switch tier {
	case wire.CacheMemory:
		return millis(known.MemoryLoadMillis)
	case wire.CacheDisk:
		return millis(known.DiskLoadMillis)
	default:
		return time.Duration(remoteSlowdown * float64(millis(known.RemoteLoadMillis)))
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// RequestEnded records how a granted lease's request ended, and the time from
// sending it to its first event, which is zero if there was none.
func (m *Manager) RequestEnded(now time.Time, id string, failed bool, first time.Duration) {
	m.failures.Record(now, failed)
	if l := m.leases[id]; l != nil && l.granted {
		m.estimator.observe(l.PromptTokens, first)
	}
}

// Release ends a lease, whether granted or not.
func (m *Manager) Release(now time.Time, id string) []Action {
	l := m.leases[id]
	if l == nil {
		return nil
	}
	delete(m.leases, id)
	if !l.granted {
		m.queue.Remove(now, id)
		m.countWaiting(l.Lease, -1)
		return m.advance(now)
	}
	m.queue.Finish(now, id, l.Tokens, now.Sub(l.grantedAt))
	m.countRunning(now, l.Lease, -1)
	return m.advance(now)
}

// grantReady grants the leases that can start.
func (m *Manager) grantReady(now time.Time) {
	for !now.Before(m.pacer.nextAdmission()) && m.bucket.Wait(now, m.Limit(), 0) == 0 {
		next, ok := m.queue.Next(now, func(t admission.Target) bool { return m.isReady(now, t) })
		if !ok {
			return
		}
		m.bucket.Take(now, m.Limit())
		m.grant(now, m.leases[next.ID])
	}
}

// grant grants a lease that has left the queue.
func (m *Manager) grant(now time.Time, l *lease) {
	l.granted = true
	l.grantedAt = now
	m.countWaiting(l.Lease, -1)
	m.countRunning(now, l.Lease, 1)
	prefill := m.estimator.prefillTime(l.PromptTokens)
	m.pacer.admit(now, prefill, m.queue.Len())
	m.prefill.record(now, prefill)
	m.models[l.Model].prefill.record(now, prefill)
	m.emit(Grant{ID: l.ID})
}

func (m *Manager) isReady(now time.Time, t admission.Target) bool {
	known := m.models[t.Model]
	if known == nil || m.state(known) != wire.ModelLoaded || m.isUnloadPending(t) || known.isDraining(now) {
		return false
	}
	if t.Version == "" {
		return true
	}
	a := m.adapters[adapterID{t.Model, t.Version}]
	return a != nil && a.loaded
}

// isUnloadPending reports whether an unload order for a target is pending.
func (m *Manager) isUnloadPending(t admission.Target) bool {
	c := m.pendingOrder
	return c != nil && c.Operation == modelrunner.Unload && c.Model == t.Model && (c.Adapter == "" || c.Adapter == t.Version)
}

// refuseWaiting refuses the waiting leases for which a condition returns true.
func (m *Manager) refuseWaiting(condition func(*lease) (wire.Reason, bool), now time.Time) {
	for id, l := range m.leases {
		if l.granted {
			continue
		}
		if reason, ok := condition(l); ok {
			m.queue.Remove(now, id)
			m.refuseLease(l, reason, defaultRetryAfter)
		}
	}
}

func (m *Manager) refuseLease(l *lease, reason wire.Reason, retryAfter time.Duration) {
	m.countWaiting(l.Lease, -1)
	delete(m.leases, l.ID)
	m.emit(Refuse{ID: l.ID, Reason: reason, RetryAfter: retryAfter})
}

func (m *Manager) refuseUnpermitted(now time.Time) {
	m.refuseWaiting(func(l *lease) (wire.Reason, bool) {
		return wire.ReasonNoPermit, !m.models[l.Model].isPermitted()
	}, now)
}

// expire refuses the leases that can no longer start in time.
func (m *Manager) expire(now time.Time) {
	for _, expired := range m.queue.Expire(now) {
		if l := m.leases[expired.ID]; l != nil {
			m.refuseLease(l, wire.ReasonDeadline, m.readyIn(now, m.models[l.Model])+orderOverhead)
		}
	}
}
