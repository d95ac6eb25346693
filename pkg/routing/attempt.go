package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// MaxAttempts bounds the agents asked for one request.
	MaxAttempts = 4
	// MaxResumes bounds the resumptions of one answer.
	MaxResumes = 3

	// minAttemptTime is the time left below which no attempt is started.
	minAttemptTime = 5 * time.Millisecond
	// retryDelay is the mean wait before an agent is asked again; it doubles
	// with each attempt.
	retryDelay = 50 * time.Millisecond
	// defaultRetryAfterMillis is told to callers when no agent gave a time.
	defaultRetryAfterMillis = 1000
)

// Request is what an Attempt knows of its request.
type Request struct {
	RequestID string
	Query     Query
	// Idempotent tells that the work may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Attempt is the state machine of one request. It is not safe for concurrent
// use.
type Attempt struct {
	work   Request
	budget *RetryBudget
	random rand.PCG

	current Target
	// incarnation accepted the attempt under way; empty before Accepted.
	incarnation string
	resuming    bool
	// owner is set once the idempotency key is known to be bound to an agent.
	owner            Target
	ownerIncarnation string

	sends   int
	resumes int
	// refused agents aren't asked again, lost ones only if no other is left.
	refused []string
	lost    []string

	// unknown and ran hold the worst of what is known of earlier attempts.
	unknown bool
	ran     bool
	// passedOn tells that the caller has got a part of the answer.
	passedOn bool
	received int64

	retryAfterMillis uint32
	last             wire.Refusal
}

// NewAttempt returns the state machine of a request. The seed is any number that
// differs between requests.
func NewAttempt(work Request, budget *RetryBudget, seed uint64) *Attempt {
	a := &Attempt{work: work, budget: budget}
	a.random.Seed(seed, 0)
	return a
}

// Start returns the first action: Send or Fail.
func (a *Attempt) Start(now time.Time, table *Table) Action {
	a.budget.Deposit()
	a.last = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "no backend server can be asked"}
	if a.timeLeft(now) < minAttemptTime {
		a.last = wire.Refusal{Reason: wire.ReasonDeadline}
		return a.fail()
	}
	target, ok := table.Choose(now, a.work.Query, nil, a.random.Uint64())
	if !ok {
		return a.fail()
	}
	return a.send(target, 0)
}

// Step takes the next event of the attempt under way and returns what to do.
// The table is the newest one.
func (a *Attempt) Step(now time.Time, event Event, table *Table) Action {
	switch e := event.(type) {
	case Accepted:
		if !a.resuming {
			a.incarnation = e.Incarnation
		}
		return Wait{}
	case Completed:
		return Done{}
	case Refused:
		return a.onRefused(now, e.Refusal, table)
	case Lost:
		return a.onLost(now, e, table)
	case CorruptResponse:
		return a.onCut(now, e, table)
	case Expired:
		return a.abandon(e.Stage, wire.ReasonDeadline)
	case Cancelled:
		return a.abandon(e.Stage, wire.ReasonCancelled)
	}
	return Wait{}
}

// Outcome returns what is known of the work by all attempts that have ended.
func (a *Attempt) Outcome() wire.Outcome {
	switch {
	case a.unknown:
		return wire.OutcomeUnknown
	case a.ran:
		return wire.OutcomeRan
	default:
		return wire.OutcomeNotRun
	}
}

func (a *Attempt) onRefused(now time.Time, refusal wire.Refusal, table *Table) Action {
	a.last = refusal
	a.noteRetryAfter(refusal.RetryAfterMillis)
	outcome := a.believed(&refusal)
	a.unknown = a.unknown || outcome == wire.OutcomeUnknown
	a.ran = a.ran || outcome == wire.OutcomeRan
	if a.resuming && refusal.Reason == wire.ReasonNotFound {
		return a.onForgotten(now, table)
	}
	a.refused = append(a.refused, a.current.Agent)
	switch {
	case refusal.Reason == wire.ReasonBoundElse:
		return a.askOwner(refusal, table)
	case a.passedOn || a.bound() || isFinal(refusal.Reason):
		return a.fail()
	case outcome == wire.OutcomeNotRun:
		return a.sendElsewhere(now, table, isOverload(refusal.Reason))
	case a.work.Idempotent:
		return a.sendElsewhere(now, table, true)
	default:
		return a.fail()
	}
}

// onForgotten handles an agent that doesn't know the request to resume: its
// incarnation has changed, and the earlier run is unknown.
func (a *Attempt) onForgotten(now time.Time, table *Table) Action {
	a.unknown = true
	a.last = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "the agent restarted while the request ran"}
	a.lost = append(a.lost, a.current.Agent)
	return a.repeat(now, table)
}

// believed returns the outcome that a refusal proves. Only the incarnation that
// took the work in, or that the key is bound to, can know that it didn't run.
func (a *Attempt) believed(refusal *wire.Refusal) wire.Outcome {
	if refusal.Outcome != wire.OutcomeNotRun || refusal.Reason == wire.ReasonBoundElse {
		return refusal.Outcome
	}
	var required string
	switch {
	case a.bound():
		required = a.ownerIncarnation
	case a.resuming:
		required = a.incarnation
	default:
		return wire.OutcomeNotRun
	}
	if refusal.Status != nil && refusal.Status.Incarnation == required {
		return wire.OutcomeNotRun
	}
	return wire.OutcomeUnknown
}

// askOwner sends the request to the agent that its key is bound to, if the same
// incarnation lives. The owner answers with the result of the one run.
func (a *Attempt) askOwner(refusal wire.Refusal, table *Table) Action {
	owner, ok := table.Agent(refusal.BetterRunner)
	sameIncarnation := owner.Incarnation == "" || owner.Incarnation == refusal.BetterIncarnation
	if a.bound() || a.resuming || a.passedOn || !ok || !sameIncarnation {
		return a.failBoundLost()
	}
	a.owner = owner
	a.ownerIncarnation = refusal.BetterIncarnation
	return a.send(owner, 0)
}

func (a *Attempt) bound() bool {
	return a.ownerIncarnation != ""
}

func (a *Attempt) failBoundLost() Action {
	a.unknown = true
	a.last = wire.Refusal{
		Reason: wire.ReasonBoundLost,
		Detail: "the agent that the idempotency key is bound to can't be asked",
	}
	return a.fail()
}

func (a *Attempt) onLost(now time.Time, lost Lost, table *Table) Action {
	a.passedOn = a.passedOn || lost.Forwarded
	a.received = max(a.received, lost.Received)
	a.last = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "connection lost"}
	if lost.Stage == NotSent && !a.resuming {
		a.lost = append(a.lost, a.current.Agent)
		return a.sendUnsent(now, table)
	}
	if a.incarnation != "" && a.resumes < MaxResumes {
		delay := a.delay(a.resumes)
		if a.timeLeft(now) >= delay+minAttemptTime {
			return a.resume(delay)
		}
	}
	a.unknown = true
	a.lost = append(a.lost, a.current.Agent)
	return a.repeat(now, table)
}

// sendUnsent tries elsewhere after an attempt that never left this host. Only
// the owner of a bound key can be asked, so it is asked again.
func (a *Attempt) sendUnsent(now time.Time, table *Table) Action {
	if !a.bound() {
		return a.sendElsewhere(now, table, false)
	}
	delay := a.delay(a.sends)
	if a.sends >= MaxAttempts || a.timeLeft(now) < delay+minAttemptTime {
		return a.failBoundLost()
	}
	return a.send(a.owner, delay)
}

func (a *Attempt) onCut(now time.Time, cut CorruptResponse, table *Table) Action {
	a.passedOn = a.passedOn || cut.PassedOn
	a.unknown = true
	a.last = wire.Refusal{Reason: wire.ReasonEngine, Detail: "the answer was cut or damaged"}
	a.lost = append(a.lost, a.current.Agent)
	return a.repeat(now, table)
}

// repeat runs idempotent work again whose earlier run is unknown, as long as the
// caller has seen nothing of it.
func (a *Attempt) repeat(now time.Time, table *Table) Action {
	if !a.work.Idempotent || a.passedOn || a.bound() {
		return a.fail()
	}
	return a.sendElsewhere(now, table, true)
}

func (a *Attempt) sendElsewhere(now time.Time, table *Table, charged bool) Action {
	if a.sends >= MaxAttempts {
		return a.fail()
	}
	target, delay, ok := a.next(now, table)
	if !ok || a.timeLeft(now) < delay+minAttemptTime {
		return a.fail()
	}
	if charged && !a.budget.Withdraw(now) {
		return a.fail()
	}
	return a.send(target, delay)
}

// next chooses an agent that wasn't asked, the one that the last refusal named
// first, or else one that was lost, after a delay.
func (a *Attempt) next(now time.Time, table *Table) (Target, time.Duration, bool) {
	tried := slices.Concat(a.refused, a.lost)
	if better := table.eligible(a.last.BetterRunner, tried); better != nil {
		return targetOf(better), 0, true
	}
	target, ok := table.Choose(now, a.work.Query, tried, a.random.Uint64())
	if ok {
		return target, 0, true
	}
	target, ok = table.Choose(now, a.work.Query, a.refused, a.random.Uint64())
	return target, a.delay(a.sends), ok
}

func (a *Attempt) send(target Target, after time.Duration) Action {
	a.sends++
	a.current = target
	a.incarnation = ""
	a.resuming = false
	a.received = 0
	return Send{Target: target, After: after}
}

func (a *Attempt) resume(after time.Duration) Action {
	a.resumes++
	a.resuming = true
	return Resume{
		Target:      a.current,
		Incarnation: a.incarnation,
		Offset:      a.received,
		After:       after,
	}
}

// abandon ends the request whose attempt under way has no answer yet.
func (a *Attempt) abandon(stage Stage, reason wire.Reason) Action {
	if stage != NotSent || a.resuming || a.bound() {
		a.unknown = true
	}
	a.last = wire.Refusal{Reason: reason}
	return a.fail()
}

func (a *Attempt) fail() Action {
	refusal := a.last
	refusal.RequestID = a.work.RequestID
	refusal.Outcome = a.Outcome()
	refusal.BetterRunner = ""
	refusal.BetterIncarnation = ""
	refusal.Status = nil
	refusal.RetryAfterMillis = a.retryAfterMillis
	if refusal.RetryAfterMillis == 0 {
		refusal.RetryAfterMillis = defaultRetryAfterMillis
	}
	return Fail{Refusal: refusal}
}

// noteRetryAfter keeps the shortest time that an agent gave.
func (a *Attempt) noteRetryAfter(millis uint32) {
	if millis > 0 && (a.retryAfterMillis == 0 || millis < a.retryAfterMillis) {
		a.retryAfterMillis = millis
	}
}

func (a *Attempt) timeLeft(now time.Time) time.Duration {
	return a.work.Deadline.Sub(now)
}

// delay is an exponential back-off with jitter of half its mean.
func (a *Attempt) delay(earlier int) time.Duration {
	mean := retryDelay << min(earlier, MaxAttempts)
	jitter := time.Duration(a.random.Uint64() % uint64(mean))
	return mean/2 + jitter
}

// isFinal tells whether no other agent would answer otherwise.
func isFinal(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonRate, wire.ReasonKeyReused, wire.ReasonInvalid, wire.ReasonNotFound,
		wire.ReasonCancelled, wire.ReasonBoundLost:
		return true
	default:
		return false
	}
}

// isOverload tells whether asking elsewhere adds to a general overload, so that
// it takes from the retry budget.
func isOverload(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonQueueFull, wire.ReasonDeadline, wire.ReasonNoMemory, wire.ReasonStore:
		return true
	default:
		return false
	}
}
