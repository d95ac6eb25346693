package routing

import (
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// MaxAttempts is the maximum number of agents that a request is sent to.
	MaxAttempts = 4
	// MaxResumes is the maximum number of resumptions of one response.
	MaxResumes = 3

	// minAttemptTime is the minimum time left before the deadline for an attempt.
	minAttemptTime = 5 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the mean delay before an agent is tried
	// again, which doubles with each attempt.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = minRetryDelay << MaxAttempts
	// defaultRetryAfterMillis is reported to callers if no agent sent a retry-after
	// time.
	defaultRetryAfterMillis = 1000
)

// Request describes the request of an Attempt.
type Request struct {
	RequestID string
	Query     Query
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Attempt is the retry state machine of one request. It is not safe for concurrent
// use.
type Attempt struct {
	request Request
	budget  *RetryBudget
	random  rand.PCG

	current Target
	// incarnation is the agent incarnation that accepted the current attempt; it is
	// empty before Accepted.
	incarnation string
	resuming    bool
	// owner is the agent that the idempotency key is bound to, once that is known.
	owner            Target
	ownerIncarnation string

	sends   int
	resumes int
	// Agents in refused aren't tried again, those in lost only if no other is left.
	refused []string
	lost    []string

	// unknown and ran are the worst known outcome of the earlier attempts.
	unknown bool
	ran     bool
	// forwarded is set once the caller has received part of the response.
	forwarded bool
	received  int64

	retryAfterMillis uint32
	lastRefusal      wire.Refusal
}

// NewAttempt returns the state machine of a request. The seed can be any number
// that differs between requests.
func NewAttempt(request Request, budget *RetryBudget, seed uint64) *Attempt {
	a := &Attempt{request: request, budget: budget}
	a.random.Seed(seed, 0)
	return a
}

// Start returns the first action: Send or Fail.
func (a *Attempt) Start(now time.Time, table *Table) Action {
	a.budget.Deposit()
	a.lastRefusal = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "no backend server can be asked"}
	if a.timeLeft(now) < minAttemptTime {
		a.lastRefusal = wire.Refusal{Reason: wire.ReasonDeadline}
		return a.fail()
	}
	target, ok := table.Choose(now, a.request.Query, nil, a.random.Uint64())
	if !ok {
		return a.fail()
	}
	return a.send(target, 0)
}

// Step processes the next event of the current attempt and returns the next
// action. The table is the latest one.
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
		return a.onRefused(now, e, table)
	case Lost:
		return a.onLost(now, e, table)
	case CorruptResponse:
		return a.onCorruptResponse(now, e, table)
	case Expired:
		return a.failPending(e.Stage, wire.ReasonDeadline)
	case Cancelled:
		return a.failPending(e.Stage, wire.ReasonCancelled)
	}
	return Wait{}
}

func (a *Attempt) onRefused(now time.Time, event Refused, table *Table) Action {
	refusal := event.Refusal
	a.forwarded = a.forwarded || event.Forwarded
	a.lastRefusal = refusal
	a.recordRetryAfter(refusal.RetryAfterMillis)
	outcome := a.provenOutcome(&refusal)
	a.unknown = a.unknown || outcome == wire.OutcomeUnknown
	a.ran = a.ran || outcome == wire.OutcomeRan
	if a.resuming && refusal.Reason == wire.ReasonNotFound {
		return a.onAgentRestarted(now, table)
	}
	a.refused = append(a.refused, a.current.Agent)
	switch {
	case refusal.Reason == wire.ReasonBoundElse:
		return a.sendToOwner(refusal, table)
	case a.forwarded || a.bound() || isFinal(refusal.Reason):
		return a.fail()
	case outcome == wire.OutcomeNotRun:
		return a.retryElsewhere(now, table, isOverload(refusal.Reason))
	case a.request.Idempotent:
		return a.retryElsewhere(now, table, true)
	default:
		return a.fail()
	}
}

// onAgentRestarted handles an agent that doesn't know the request to resume: its
// incarnation has changed, so the outcome of the earlier run is unknown.
func (a *Attempt) onAgentRestarted(now time.Time, table *Table) Action {
	a.lastRefusal = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "the agent restarted while the request ran"}
	return a.rerun(now, table)
}

// sendToOwner sends the request to the agent that its key is bound to, if that
// incarnation is still running. The owner responds with the result of the one run.
func (a *Attempt) sendToOwner(refusal wire.Refusal, table *Table) Action {
	owner, ok := table.Agent(refusal.BetterRunner)
	sameIncarnation := owner.Incarnation == "" || owner.Incarnation == refusal.BetterIncarnation
	if a.bound() || a.resuming || a.forwarded || !ok || !sameIncarnation {
		return a.failBoundLost()
	}
	a.owner = owner
	a.ownerIncarnation = refusal.BetterIncarnation
	return a.send(owner, 0)
}

func (a *Attempt) bound() bool {
	return a.ownerIncarnation != ""
}

func (a *Attempt) onLost(now time.Time, lost Lost, table *Table) Action {
	a.forwarded = a.forwarded || lost.Forwarded
	a.received = max(a.received, lost.Received)
	a.lastRefusal = wire.Refusal{Reason: wire.ReasonUnavailable, Detail: "connection lost"}
	if lost.Stage == NotSent && !a.resuming {
		a.lost = append(a.lost, a.current.Agent)
		return a.retryUnsent(now, table)
	}
	if a.incarnation != "" && a.resumes < MaxResumes {
		delay := a.delay(a.resumes)
		if a.timeLeft(now) >= delay+minAttemptTime {
			return a.resume(delay)
		}
	}
	return a.rerun(now, table)
}

func (a *Attempt) onCorruptResponse(now time.Time, event CorruptResponse, table *Table) Action {
	a.forwarded = a.forwarded || event.Forwarded
	a.lastRefusal = wire.Refusal{Reason: wire.ReasonEngine, Detail: "the answer was cut or damaged"}
	return a.rerun(now, table)
}
