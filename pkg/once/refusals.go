package once

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

func (m *Machine) refuse(requestID string, outcome wire.Outcome, reason wire.Reason, detail string) {
	m.emit(Reply{RequestID: requestID, Refusal: &wire.Refusal{
		RequestID:        requestID,
		Outcome:          outcome,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: uint32(m.config.StoreRetryAfter.Milliseconds()),
	}})
}

// refuseUnconfirmed refuses all calls of a key whose record couldn't be confirmed
// and removes the key. If a write takes effect later, its sequence number shows that
// the call didn't run.
func (m *Machine) refuseUnconfirmed(e *trackedKey) {
	m.refuseAll(e, wire.OutcomeNotRun, wire.ReasonStore, "the key-value service is away")
	m.removeOpen(e)
}

// refuseForeign refuses the calls of a key that is bound to another incarnation.
func (m *Machine) refuseForeign(e *trackedKey, owner Record) {
	for _, w := range e.waiters {
		switch {
		case owner.Agent == "":
			m.refuse(w.RequestID, wire.OutcomeUnknown, wire.ReasonBoundLost, "the key's record can't be read")
		case owner.Fingerprint != w.Fingerprint:
			m.refuseReused(w.RequestID)
		case owner.Agent == m.config.Agent:
			m.refuse(w.RequestID, wire.OutcomeUnknown, wire.ReasonBoundLost, "the key is bound to an earlier incarnation")
		default:
			m.refuseBoundToOther(w.RequestID, owner)
		}
	}
	e.waiters = nil
	m.removeOpen(e)
}

func (m *Machine) refuseBoundToOther(requestID string, owner Record) {
	m.emit(Reply{RequestID: requestID, Refusal: &wire.Refusal{
		RequestID:         requestID,
		Outcome:           wire.OutcomeUnknown,
		Reason:            wire.ReasonBoundElse,
		BetterRunner:      owner.Agent,
		BetterIncarnation: owner.Incarnation,
	}})
}

func (m *Machine) refuseReused(requestID string) {
	m.refuse(requestID, wire.OutcomeNotRun, wire.ReasonKeyReused, "the key was used with another request, which may have run")
}

func (m *Machine) refuseAll(e *trackedKey, outcome wire.Outcome, reason wire.Reason, detail string) {
	for _, w := range e.waiters {
		m.refuse(w.RequestID, outcome, reason, detail)
	}
	e.waiters = nil
}

// refuseWith refuses all calls of the key with the refusal of their run.
func (m *Machine) refuseWith(e *trackedKey, outcome wire.Outcome, like wire.Refusal) {
	if like.Reason == "" {
		like.Reason = wire.ReasonEngine
	}
	for _, w := range e.waiters {
		refusal := like
		refusal.RequestID = w.RequestID
		refusal.Outcome = outcome
		m.emit(Reply{RequestID: w.RequestID, Refusal: &refusal})
	}
	e.waiters = nil
}

// expire refuses the calls of a key whose deadline has passed. They are refused as
// not run only if no other call can still run under the key.
func (m *Machine) expire(now time.Time, e *trackedKey) {
	var remaining []Call
	var expired []Call
	for _, w := range e.waiters {
		if w.Deadline.IsZero() || w.Deadline.After(now) {
			remaining = append(remaining, w)
		} else {
			expired = append(expired, w)
		}
	}
	e.waiters = remaining
	outcome := wire.OutcomeUnknown
	if len(remaining) == 0 && e.state != stateRunning {
		outcome = wire.OutcomeNotRun
	}
	for _, w := range expired {
		m.refuse(w.RequestID, outcome, wire.ReasonDeadline, "the deadline passed")
	}
}
