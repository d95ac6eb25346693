package routing

import "teaselgauge.example/teaselgauge/pkg/wire"

// Outcome returns the known outcome of all completed attempts.
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

// provenOutcome returns the outcome that a refusal proves. Only the incarnation
// that accepted the request or that the key is bound to can know that it didn't run.
func (a *Attempt) provenOutcome(refusal *wire.Refusal) wire.Outcome {
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

func (a *Attempt) failBoundLost() Action {
	a.unknown = true
	a.lastRefusal = wire.Refusal{
		Reason: wire.ReasonBoundLost,
		Detail: "the agent that the idempotency key is bound to can't be asked",
	}
	return a.fail()
}

// failPending ends a request whose current attempt has no response yet.
func (a *Attempt) failPending(stage Stage, reason wire.Reason) Action {
	if stage != NotSent || a.resuming || a.bound() {
		a.unknown = true
	}
	a.lastRefusal = wire.Refusal{Reason: reason}
	return a.fail()
}

func (a *Attempt) fail() Action {
	refusal := a.lastRefusal
	refusal.RequestID = a.request.RequestID
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

// recordRetryAfter keeps the shortest retry-after time that an agent sent.
func (a *Attempt) recordRetryAfter(millis uint32) {
	if millis > 0 && (a.retryAfterMillis == 0 || millis < a.retryAfterMillis) {
		a.retryAfterMillis = millis
	}
}

// isFinal reports whether every other agent would refuse the request as well.
func isFinal(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonRate, wire.ReasonKeyReused, wire.ReasonInvalid, wire.ReasonNotFound,
		wire.ReasonCancelled, wire.ReasonBoundLost:
		return true
	default:
		return false
	}
}

// isOverload reports whether a retry at another agent could add to a general
// overload and therefore takes from the retry budget.
func isOverload(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonQueueFull, wire.ReasonDeadline, wire.ReasonNoMemory, wire.ReasonStore:
		return true
	default:
		return false
	}
}
