package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// remoteSlowdown is how much longer than alone a load from the weight store
	// is expected to take, waiting for its start included.
	remoteSlowdown = 1.5
	// orderOverhead is the expected time of giving an order and noticing its end.
	orderOverhead = 50 * time.Millisecond
	// comeBackTime is how long a refused caller is expected to come back.
	comeBackTime = 10 * time.Second
	// routeWeight is the share of each route; all are equal.
	routeWeight = 1
)

// Acquire takes in a use. It is granted or refused by the actions of this or a
// later event.
func (m *Manager) Acquire(now time.Time, wanted Lease) []Action {
	if m.uses[wanted.ID] != nil {
		return []Action{Refuse{ID: wanted.ID, Reason: wire.ReasonQueueFull, RetryAfter: comeBackSoon}}
	}
	if reason, ok := m.refusal(now, wanted); ok {
		return []Action{Refuse{ID: wanted.ID, Reason: reason, RetryAfter: comeBackSoon}}
	}
	m.used = true
	known := m.models[wanted.Model]
	m.noteDemand(now, known, wanted)
	estimate := admission.Estimate{ReadyIn: m.readyIn(now, known)}
	if refused := m.queue.Offer(now, item(wanted), estimate); refused != nil {
		known.noteWanted(now)
		known.wantedUntil = now.Add(comeBackTime)
		m.act(Refuse{ID: wanted.ID, Reason: refused.Reason, RetryAfter: refused.RetryAfter})
		return m.advance(now)
	}
	m.uses[wanted.ID] = &use{Lease: wanted}
	known.noteWanted(now)
	known.waiting++
	if wanted.Adapter != "" {
		m.adapter(adapterID{wanted.Model, wanted.Adapter}).waiting++
	}
	return m.advance(now)
}

// noteWanted notes that the model is about to be wanted by one more caller.
func (known *model) noteWanted(now time.Time) {
	if known.wantedSince.IsZero() || !known.isWanted(now) {
		known.wantedSince = now
	}
}

// refusal tells why a use can't be taken in at all.
func (m *Manager) refusal(now time.Time, wanted Lease) (wire.Reason, bool) {
	known := m.models[wanted.Model]
	switch {
	case m.isDown(now):
		return wire.ReasonUnavailable, true
	case m.isLeaving():
		return wire.ReasonLeaving, true
	case m.plan == nil || known == nil || known.MiB == 0:
		return wire.ReasonNotFound, true
	case !known.isPermitted():
		return wire.ReasonNoPermit, true
	case known.held && known.isEmptying(now):
		return wire.ReasonNoMemory, true
	default:
		return "", false
	}
}

func (m *Manager) noteDemand(now time.Time, known *model, wanted Lease) {
	if wanted.Repeated {
		return
	}
	if wanted.TargetLatency < millis(known.DiskLoadMillis) {
		known.interactive.note(now)
		return
	}
	known.patient.note(now)
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
		// The queue's own bound of all routes is enough.
		MaxQueuedPlan: maxQueued,
	}
}

// target is the queue's name for a model with an adapter. The queue only
// compares targets.
func target(model, adapter string) admission.Target {
	return admission.Target{Model: model, Version: adapter}
}

// readyIn is the expected time until a model is loaded.
func (m *Manager) readyIn(now time.Time, known *model) time.Duration {
	var rest time.Duration
	if m.changing != nil {
		rest = max(m.changeTime(m.changing)-now.Sub(m.changing.started), orderOverhead)
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

// changeTime is the expected duration of an order under way.
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

// RequestEnded takes in how a granted use's request ended, and how long it took from the
// sending to the first event; zero if there was none.
func (m *Manager) RequestEnded(now time.Time, id string, failed bool, first time.Duration) {
	m.failures.Record(now, failed)
	if u := m.uses[id]; u != nil && u.granted {
		m.reader.observe(u.PromptTokens, first)
	}
}

// Release ends a use, granted or not.
func (m *Manager) Release(now time.Time, id string) []Action {
	u := m.uses[id]
	if u == nil {
		return nil
	}
	delete(m.uses, id)
	known := m.models[u.Model]
	if !u.granted {
		m.queue.Remove(now, id)
		m.leftQueue(u)
		return m.advance(now)
	}
	m.queue.Finish(now, id, u.Tokens, now.Sub(u.grantedAt))
	known.running--
	known.lastUsed = now
	if u.Adapter != "" {
		a := m.adapter(adapterID{u.Model, u.Adapter})
		a.running--
		a.lastUsed = now
	}
	return m.advance(now)
}

// leftQueue corrects the counts of a use that no longer waits.
func (m *Manager) leftQueue(u *use) {
	known := m.models[u.Model]
	known.waiting--
	if u.Adapter != "" {
		m.adapter(adapterID{u.Model, u.Adapter}).waiting--
	}
}

// grantReady grants the uses that can start.
func (m *Manager) grantReady(now time.Time) {
	for !now.Before(m.prompts.opensAt()) {
		next, ok := m.queue.Next(now, func(t admission.Target) bool { return m.isReady(now, t) })
		if !ok {
			return
		}
		u := m.uses[next.ID]
		m.leftQueue(u)
		u.granted = true
		u.grantedAt = now
		known := m.models[u.Model]
		reading := m.reader.reading(u.PromptTokens)
		m.prompts.admit(now, reading, m.queue.Len())
		m.reading.note(now, reading)
		known.reading.note(now, reading)
		known.running++
		known.lastUsed = now
		if u.Adapter != "" {
			a := m.adapter(adapterID{u.Model, u.Adapter})
			a.running++
			a.lastUsed = now
		}
		m.act(Grant{ID: u.ID})
	}
}

func (m *Manager) isReady(now time.Time, t admission.Target) bool {
	known := m.models[t.Model]
	if known == nil || m.state(known) != wire.ModelLoaded || m.isOrderedOut(t) || known.isEmptying(now) {
		return false
	}
	if t.Version == "" {
		return true
	}
	a := m.adapters[adapterID{t.Model, t.Version}]
	return a != nil && a.loaded
}

// isOrderedOut tells whether an order that removes a target is being given.
func (m *Manager) isOrderedOut(t admission.Target) bool {
	c := m.calling
	return c != nil && c.Operation == modelrunner.Unload && c.Model == t.Model && (c.Adapter == "" || c.Adapter == t.Version)
}

// refuseWaiting refuses the waiting uses that a condition names.
func (m *Manager) refuseWaiting(condition func(*use) (wire.Reason, bool), now time.Time) {
	for id, u := range m.uses {
		if u.granted {
			continue
		}
		if reason, ok := condition(u); ok {
			m.queue.Remove(now, id)
			m.refuseUse(u, reason, comeBackSoon)
		}
	}
}

func (m *Manager) refuseUse(u *use, reason wire.Reason, retryAfter time.Duration) {
	m.leftQueue(u)
	delete(m.uses, u.ID)
	m.act(Refuse{ID: u.ID, Reason: reason, RetryAfter: retryAfter})
}

func (m *Manager) refuseUnpermitted(now time.Time) {
	m.refuseWaiting(func(u *use) (wire.Reason, bool) {
		return wire.ReasonNoPermit, !m.models[u.Model].isPermitted()
	}, now)
}

// expire refuses the uses that can't start in time any more.
func (m *Manager) expire(now time.Time) {
	for _, expired := range m.queue.Expire(now) {
		if u := m.uses[expired.ID]; u != nil {
			m.refuseUse(u, wire.ReasonDeadline, m.readyIn(now, m.models[u.Model])+orderOverhead)
		}
	}
}
