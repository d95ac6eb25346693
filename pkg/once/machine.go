package once

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxWrites limits the write attempts of one record before its calls are refused.
const maxWrites = 3

// Machine holds the state of the keys of one agent incarnation. Use NewMachine.
type Machine struct {
	config    Config
	keys      map[Key]*trackedKey
	open      int
	retention retention
	sequence  uint64
	// evictedSequence is the highest sequence number among the evicted keys that ran.
	evictedSequence uint64
	actions         []Action
}

// NewMachine returns a machine without keys.
func NewMachine(config Config) *Machine {
	m := &Machine{config: config.withDefaults(), keys: map[Key]*trackedKey{}}
	m.retention.machine = m
	return m
}

// Len returns the number of known keys.
func (m *Machine) Len() int { return len(m.keys) }

// Open returns the number of keys that are being recorded or running.
func (m *Machine) Open() int { return m.open }

// Step processes one event and returns the actions to perform, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	switch ev := event.(type) {
	case Call:
		m.call(now, ev)
	case Cancel:
		m.cancel(ev)
	case RecordCreated:
		m.recordCreated(now, ev.Key)
	case RecordExists:
		m.recordExists(now, ev.Key, ev.Owner)
	case RecordFailed:
		m.recordFailed(ev)
	case RecordRead:
		m.recordRead(now, ev)
	case RunFinished:
		m.runFinished(now, ev)
	case Tick:
		m.tick(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) call(now time.Time, c Call) {
	e := m.keys[c.Key]
	if e == nil {
		m.firstCall(c)
		return
	}
	if e.recorded() && e.fingerprint != c.Fingerprint {
		m.refuseReused(c.RequestID)
		return
	}
	switch e.state {
	case stateRecording, stateReading, stateRunning:
		m.join(e, c)
	case stateBound:
		m.retention.removeBound(e)
		m.open++
		e.waiters = append(e.waiters, c)
		m.run(now, e)
	case stateDone:
		m.emit(Reply{RequestID: c.RequestID, Response: e.response})
	case stateRan:
		m.refuse(c.RequestID, wire.OutcomeRan, wire.ReasonBoundLost, "the call ran and its answer is no longer kept")
	case stateUnknown:
		m.refuse(c.RequestID, wire.OutcomeUnknown, wire.ReasonEngine, "the call may have run and its answer is lost")
	}
}

func (m *Machine) firstCall(c Call) {
	if m.open >= m.config.MaxOpen {
		m.refuse(c.RequestID, wire.OutcomeNotRun, wire.ReasonQueueFull, "too many keys are open")
		return
	}
	m.sequence++
	e := &trackedKey{
		key:         c.Key,
		fingerprint: c.Fingerprint,
		sequence:    m.sequence,
		state:       stateRecording,
		waiters:     []Call{c},
	}
	m.keys[c.Key] = e
	m.open++
	m.write(e)
}

func (m *Machine) join(e *trackedKey, c Call) {
	if len(e.waiters) >= m.config.MaxWaiters {
		m.refuse(c.RequestID, wire.OutcomeUnknown, wire.ReasonQueueFull, "too many calls wait for the key")
		return
	}
	e.waiters = append(e.waiters, c)
	m.emit(Queued{Key: e.key, RequestID: c.RequestID})
}

func (m *Machine) write(e *trackedKey) {
	e.state = stateRecording
	e.writes++
	m.emit(WriteRecord{Key: e.key, Record: Record{
		Agent:       m.config.Agent,
		Incarnation: m.config.Incarnation,
		Sequence:    e.sequence,
		Fingerprint: e.fingerprint,
	}})
}

func (m *Machine) cancel(c Cancel) {
	e := m.keys[c.Key]
	if e == nil {
		return
	}
	e.removeWaiter(c.RequestID)
}

func (m *Machine) recordCreated(now time.Time, key Key) {
	e := m.keys[key]
	if e == nil || e.state != stateRecording {
		return
	}
	m.bind(now, e)
}

func (m *Machine) recordExists(now time.Time, key Key, owner Record) {
	e := m.keys[key]
	if e == nil || (e.state != stateRecording && e.state != stateReading) {
		return
	}
	if owner.Agent != m.config.Agent || owner.Incarnation != m.config.Incarnation {
		m.refuseForeign(e, owner)
		return
	}
	e.fingerprint = owner.Fingerprint
	if owner.Sequence <= m.evictedSequence {
		m.finishUnknown(e)
		return
	}
	m.bind(now, e)
}

func (m *Machine) recordFailed(ev RecordFailed) {
	e := m.keys[ev.Key]
	if e == nil || e.state != stateRecording {
		return
	}
	if !ev.Uncertain {
		m.refuseUnconfirmed(e)
		return
	}
	e.state = stateReading
	m.emit(ReadRecord{Key: e.key})
}

func (m *Machine) recordRead(now time.Time, ev RecordRead) {
	e := m.keys[ev.Key]
	if e == nil || e.state != stateReading {
		return
	}
	switch {
	case ev.Failed:
		m.refuseUnconfirmed(e)
	case ev.Found:
		m.recordExists(now, ev.Key, ev.Owner)
	case e.writes < maxWrites && len(e.waiters) > 0:
		m.write(e)
	default:
		m.refuseUnconfirmed(e)
	}
}

// bind runs the first call of a key whose own record is confirmed, and refuses the
// calls with a different fingerprint.
func (m *Machine) bind(now time.Time, e *trackedKey) {
	e.state = stateBound
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		if w.Fingerprint == e.fingerprint {
			e.waiters = append(e.waiters, w)
		} else {
			m.refuseReused(w.RequestID)
		}
	}
	m.run(now, e)
}

// run starts the first waiting call of a bound key.
func (m *Machine) run(now time.Time, e *trackedKey) {
	e.state = stateBound
	m.expire(now, e)
	if len(e.waiters) == 0 {
		m.closeBound(e)
		return
	}
	e.state = stateRunning
	m.emit(Run{Key: e.key, RequestID: e.waiters[0].RequestID})
}

// closeBound closes a bound key without waiting calls.
func (m *Machine) closeBound(e *trackedKey) {
	m.open--
	e.state = stateBound
	m.retention.keepBound(e)
}

func (m *Machine) runFinished(now time.Time, ev RunFinished) {
	e := m.keys[ev.Key]
	if e == nil || e.state != stateRunning {
		return
	}
	switch ev.Outcome {
	case RunCompleted:
		m.finishCompleted(now, e, ev.Response)
	case RunNotRun:
		m.refuseWith(e, wire.OutcomeNotRun, ev.Refusal)
		m.closeBound(e)
	default:
		m.refuseWith(e, wire.OutcomeUnknown, ev.Refusal)
		m.finishUnknown(e)
	}
}

func (m *Machine) finishCompleted(now time.Time, e *trackedKey, response Response) {
	for _, w := range e.waiters {
		m.emit(Reply{RequestID: w.RequestID, Response: &response})
	}
	e.waiters = nil
	m.open--
	e.response = &response
	e.finished = now
	e.state = stateDone
	m.retention.keepResponse(e)
}

func (m *Machine) finishUnknown(e *trackedKey) {
	m.refuseAll(e, wire.OutcomeUnknown, wire.ReasonBoundLost, "the call may have run")
	m.open--
	e.state = stateUnknown
	m.retention.keepRan(e)
}

// removeOpen removes an open key that didn't run.
func (m *Machine) removeOpen(e *trackedKey) {
	m.open--
	delete(m.keys, e.key)
}

func (m *Machine) tick(now time.Time) {
	if m.open > 0 {
		for _, e := range m.keys {
			m.expire(now, e)
		}
	}
	m.retention.expireResponses(now)
}
