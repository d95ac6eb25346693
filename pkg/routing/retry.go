package routing

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
)

// retryUnsent retries after an attempt of which nothing left this host. If the key
// is bound, only its owner can serve the request, so the owner is tried again.
func (a *Attempt) retryUnsent(now time.Time, table *Table) Action {
	if !a.bound() {
		return a.retryElsewhere(now, table, false)
	}
	delay := a.delay(a.sends)
	if a.sends >= MaxAttempts || a.timeLeft(now) < delay+minAttemptTime {
		return a.failBoundLost()
	}
	return a.send(a.owner, delay)
}

// rerun handles a current attempt whose outcome will stay unknown. An idempotent
// request runs again, provided that no part of the response was forwarded to the
// caller.
func (a *Attempt) rerun(now time.Time, table *Table) Action {
	a.unknown = true
	a.lost = append(a.lost, a.current.Agent)
	if !a.request.Idempotent || a.forwarded || a.bound() {
		return a.fail()
	}
	return a.retryElsewhere(now, table, true)
}

func (a *Attempt) retryElsewhere(now time.Time, table *Table, takesBudget bool) Action {
	if a.sends >= MaxAttempts {
		return a.fail()
	}
	target, delay, ok := a.next(now, table)
	if !ok || a.timeLeft(now) < delay+minAttemptTime {
		return a.fail()
	}
	if takesBudget && !a.budget.Withdraw(now) {
		return a.fail()
	}
	return a.send(target, delay)
}

// next chooses an agent that wasn't tried yet, preferably the one that the last
// refusal named, or else one whose connection was lost, after a delay.
func (a *Attempt) next(now time.Time, table *Table) (Target, time.Duration, bool) {
	tried := slices.Concat(a.refused, a.lost)
	if better := table.eligible(a.lastRefusal.BetterRunner, tried); better != nil {
		return targetOf(better), 0, true
	}
	target, ok := table.Choose(now, a.request.Query, tried, a.random.Uint64())
	if ok {
		return target, 0, true
	}
	target, ok = table.Choose(now, a.request.Query, a.refused, a.random.Uint64())
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

func (a *Attempt) timeLeft(now time.Time) time.Duration {
	return a.request.Deadline.Sub(now)
}

// delay returns an exponential backoff with a jitter of half its mean.
func (a *Attempt) delay(earlier int) time.Duration {
	mean := backoff.Exponential(minRetryDelay, maxRetryDelay, earlier)
	jitter := time.Duration(a.random.Uint64() % uint64(mean))
	return mean/2 + jitter
}
