package once

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Config sets a Machine's identity and bounds. Zero bounds mean the defaults.
type Config struct {
	Agent       string
	Incarnation string
	// MaxOpen bounds the keys that are being recorded or run.
	MaxOpen int
	// MaxWaiters bounds the calls that wait for one key.
	MaxWaiters int
	// MaxAnswers and MaxAnswersBytes bound the kept answers together.
	MaxAnswers      int
	MaxAnswersBytes int64
	// MaxAnswerBytes bounds one kept answer.
	MaxAnswerBytes int64
	// AnswerTTL is how long an answer is kept.
	AnswerTTL time.Duration
	// MaxKeys bounds the keys that ran and whose answers aren't kept, and the
	// keys that are bound to this incarnation and didn't run, each.
	MaxKeys int
	// StoreRetry is the advice to come back while the key-value service is away.
	StoreRetry time.Duration
}

// The default bounds.
const (
	DefaultMaxOpen         = 4096
	DefaultMaxWaiters      = 16
	DefaultMaxAnswers      = 4096
	DefaultMaxAnswersBytes = 16 << 20
	DefaultMaxAnswerBytes  = 256 << 10
	DefaultAnswerTTL       = 24 * time.Hour
	DefaultMaxKeys         = 65536
	DefaultStoreRetry      = time.Second
)

// maxWrites bounds the writes of one record before its calls are refused.
const maxWrites = 3

func (c Config) withDefaults() Config {
	c.MaxOpen = orDefault(c.MaxOpen, DefaultMaxOpen)
	c.MaxWaiters = orDefault(c.MaxWaiters, DefaultMaxWaiters)
	c.MaxAnswers = orDefault(c.MaxAnswers, DefaultMaxAnswers)
	c.MaxAnswersBytes = orDefault(c.MaxAnswersBytes, DefaultMaxAnswersBytes)
	c.MaxAnswerBytes = orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	c.AnswerTTL = orDefault(c.AnswerTTL, DefaultAnswerTTL)
	c.MaxKeys = orDefault(c.MaxKeys, DefaultMaxKeys)
	c.StoreRetry = orDefault(c.StoreRetry, DefaultStoreRetry)
	return c
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Machine holds the keys of one incarnation of an agent. Use NewMachine.
type Machine struct {
	config   Config
	entries  map[Key]*entry
	open     int
	memory   memory
	sequence uint64
	// forgotten is the highest sequence number among the dropped keys that ran.
	forgotten uint64
	actions   []Action
}

// NewMachine returns a machine without keys.
func NewMachine(config Config) *Machine {
	m := &Machine{config: config.withDefaults(), entries: map[Key]*entry{}}
	m.memory.machine = m
	return m
}

// Len returns the number of keys in memory.
func (m *Machine) Len() int { return len(m.entries) }

// Open returns the number of keys that are being recorded or run.
func (m *Machine) Open() int { return m.open }

// Step takes in one event and returns the actions to perform, in order.
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

func (m *Machine) act(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) refuse(requestID string, outcome wire.Outcome, reason wire.Reason, detail string) {
	m.act(Reply{RequestID: requestID, Refusal: &wire.Refusal{
		RequestID:        requestID,
		Outcome:          outcome,
		Reason:           reason,
		Detail:           detail,
		RetryAfterMillis: uint32(m.config.StoreRetry.Milliseconds()),
	}})
}

func (m *Machine) call(now time.Time, c Call) {
	e := m.entries[c.Key]
	if e == nil {
		m.firstCall(c)
		return
	}
	if e.recorded() && e.fingerprint != c.Fingerprint {
		m.refuseReused(c.RequestID)
		return
	}
	switch e.state {
	case stateRecording, stateSettling, stateRunning:
		m.join(e, c)
	case stateBound:
		m.memory.forget(e)
		m.open++
		e.waiters = append(e.waiters, c)
		m.run(now, e)
	case stateDone:
		m.act(Reply{RequestID: c.RequestID, Response: e.answer})
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
	e := &entry{
		key:         c.Key,
		fingerprint: c.Fingerprint,
		sequence:    m.sequence,
		state:       stateRecording,
		waiters:     []Call{c},
	}
	m.entries[c.Key] = e
	m.open++
	m.write(e)
}

func (m *Machine) join(e *entry, c Call) {
	if len(e.waiters) >= m.config.MaxWaiters {
		m.refuse(c.RequestID, wire.OutcomeUnknown, wire.ReasonQueueFull, "too many calls wait for the key")
		return
	}
	e.waiters = append(e.waiters, c)
	m.act(Queued{Key: e.key, RequestID: c.RequestID})
}

func (m *Machine) write(e *entry) {
	e.state = stateRecording
	e.writes++
	m.act(WriteRecord{Key: e.key, Record: Record{
		Agent:       m.config.Agent,
		Incarnation: m.config.Incarnation,
		Sequence:    e.sequence,
		Fingerprint: e.fingerprint,
	}})
}

func (m *Machine) cancel(c Cancel) {
	e := m.entries[c.Key]
	if e == nil {
		return
	}
	e.removeWaiter(c.RequestID)
}

func (m *Machine) recordCreated(now time.Time, key Key) {
	e := m.entries[key]
	if e == nil || e.state != stateRecording {
		return
	}
	m.bind(now, e)
}

func (m *Machine) recordExists(now time.Time, key Key, owner Record) {
	e := m.entries[key]
	if e == nil || (e.state != stateRecording && e.state != stateSettling) {
		return
	}
	if owner.Agent != m.config.Agent || owner.Incarnation != m.config.Incarnation {
		m.foreign(e, owner)
		return
	}
	e.fingerprint = owner.Fingerprint
	if owner.Sequence <= m.forgotten {
		m.finishUnknown(e)
		return
	}
	m.bind(now, e)
}

func (m *Machine) recordFailed(ev RecordFailed) {
	e := m.entries[ev.Key]
	if e == nil || e.state != stateRecording {
		return
	}
	if !ev.Uncertain {
		m.abandon(e)
		return
	}
	e.state = stateSettling
	m.act(ReadRecord{Key: e.key})
}

func (m *Machine) recordRead(now time.Time, ev RecordRead) {
	e := m.entries[ev.Key]
	if e == nil || e.state != stateSettling {
		return
	}
	switch {
	case ev.Failed:
		m.abandon(e)
	case ev.Found:
		m.recordExists(now, ev.Key, ev.Owner)
	case e.writes < maxWrites && len(e.waiters) > 0:
		m.write(e)
	default:
		m.abandon(e)
	}
}

// abandon refuses all calls of a key whose record couldn't be confirmed. The
// key is dropped: if a write takes effect later, its sequence number tells that
// the call didn't run.
func (m *Machine) abandon(e *entry) {
	m.refuseAll(e, wire.OutcomeNotRun, wire.ReasonStore, "the key-value service is away")
	m.drop(e)
}

// foreign refuses the calls of a key that another incarnation owns.
func (m *Machine) foreign(e *entry, owner Record) {
	for _, w := range e.waiters {
		switch {
		case owner.Agent == "":
			m.refuse(w.RequestID, wire.OutcomeUnknown, wire.ReasonBoundLost, "the key's record can't be read")
		case owner.Fingerprint != w.Fingerprint:
			m.refuseReused(w.RequestID)
		case owner.Agent == m.config.Agent:
			m.refuse(w.RequestID, wire.OutcomeUnknown, wire.ReasonBoundLost, "the key is bound to an earlier incarnation")
		default:
			m.refuseBoundElse(w.RequestID, owner)
		}
	}
	e.waiters = nil
	m.drop(e)
}

func (m *Machine) refuseBoundElse(requestID string, owner Record) {
	m.act(Reply{RequestID: requestID, Refusal: &wire.Refusal{
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

// bind runs the first call of a key whose own record is confirmed, and refuses
// the calls with another fingerprint.
func (m *Machine) bind(now time.Time, e *entry) {
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

// run starts the first waiting call of an open, bound key.
func (m *Machine) run(now time.Time, e *entry) {
	e.state = stateBound
	m.expire(now, e)
	if len(e.waiters) == 0 {
		m.rest(e)
		return
	}
	e.state = stateRunning
	m.act(Run{Key: e.key, RequestID: e.waiters[0].RequestID})
}

// rest closes a bound key that nobody waits for.
func (m *Machine) rest(e *entry) {
	m.open--
	e.state = stateBound
	m.memory.keepBound(e)
}

func (m *Machine) runFinished(now time.Time, ev RunFinished) {
	e := m.entries[ev.Key]
	if e == nil || e.state != stateRunning {
		return
	}
	switch ev.Outcome {
	case RunCompleted:
		m.finishAnswered(now, e, ev.Response)
	case RunNotRun:
		m.refuseLike(e, wire.OutcomeNotRun, ev.Refusal)
		m.rest(e)
	default:
		m.refuseLike(e, wire.OutcomeUnknown, ev.Refusal)
		m.finishUnknown(e)
	}
}

func (m *Machine) finishAnswered(now time.Time, e *entry, answer Response) {
	for _, w := range e.waiters {
		m.act(Reply{RequestID: w.RequestID, Response: &answer})
	}
	e.waiters = nil
	m.open--
	e.answer = &answer
	e.finished = now
	e.state = stateDone
	m.memory.keepAnswer(e)
}

func (m *Machine) finishUnknown(e *entry) {
	m.refuseAll(e, wire.OutcomeUnknown, wire.ReasonBoundLost, "the call may have run")
	m.open--
	e.state = stateUnknown
	m.memory.keepRan(e)
}

func (m *Machine) refuseAll(e *entry, outcome wire.Outcome, reason wire.Reason, detail string) {
	for _, w := range e.waiters {
		m.refuse(w.RequestID, outcome, reason, detail)
	}
	e.waiters = nil
}

// refuseLike passes a run's refusal on to all calls of the key.
func (m *Machine) refuseLike(e *entry, outcome wire.Outcome, like wire.Refusal) {
	if like.Reason == "" {
		like.Reason = wire.ReasonEngine
	}
	for _, w := range e.waiters {
		refusal := like
		refusal.RequestID = w.RequestID
		refusal.Outcome = outcome
		m.act(Reply{RequestID: w.RequestID, Refusal: &refusal})
	}
	e.waiters = nil
}

// drop forgets an open key that didn't run.
func (m *Machine) drop(e *entry) {
	m.open--
	delete(m.entries, e.key)
}

func (m *Machine) tick(now time.Time) {
	if m.open > 0 {
		for _, e := range m.entries {
			m.expire(now, e)
		}
	}
	m.memory.expireAnswers(now)
}

// expire refuses the calls of a key whose deadline has passed. A call is told
// "not run" only if no other call can make the key run.
func (m *Machine) expire(now time.Time, e *entry) {
	var left []Call
	var late []Call
	for _, w := range e.waiters {
		if w.Deadline.IsZero() || w.Deadline.After(now) {
			left = append(left, w)
		} else {
			late = append(late, w)
		}
	}
	e.waiters = left
	outcome := wire.OutcomeUnknown
	if len(left) == 0 && e.state != stateRunning {
		outcome = wire.OutcomeNotRun
	}
	for _, w := range late {
		m.refuse(w.RequestID, outcome, wire.ReasonDeadline, "the deadline passed")
	}
}
