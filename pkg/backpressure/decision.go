package backpressure

import "time"

const (
	// jitterFraction is the maximum jitter as a fraction of the wait, and maxJitter
	// limits it. Without jitter, requests that wait together would be retried at the
	// same time.
	jitterFraction = 0.25
	maxJitter      = 250 * time.Millisecond
)

// Decision is what to do with a request for which no server is available.
type Decision struct {
	// Refuse is set if the request is refused now; otherwise it waits.
	Refuse bool
	// After is how long the request waits, or the retry-after time of its caller.
	After time.Duration
}

// WaitOrRefuse decides on a request for which no server is available. availableAt is
// when the first server becomes available, startBy the latest time at which the
// request can be sent and still be served in time. jitter, from 0 to 1, scales the
// jitter of the request.
func WaitOrRefuse(now, availableAt, startBy time.Time, jitter float64) Decision {
	wait := max(availableAt.Sub(now), 0)
	maxDelay := min(time.Duration(jitterFraction*float64(wait)), maxJitter)
	wait += time.Duration(jitter * float64(maxDelay))
	return Decision{Refuse: now.Add(wait).After(startBy), After: wait}
}
