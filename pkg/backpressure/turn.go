package backpressure

import "time"

const (
	// spreadShare is the part of a wait over which the returns of requests that
	// wait together are spread, and maxSpread its bound.
	spreadShare = 0.25
	maxSpread   = 250 * time.Millisecond
)

// Decision is what becomes of a request whose servers are all closed.
type Decision struct {
	// Refuse tells that the request is to be refused now; else it waits.
	Refuse bool
	// After is how long it waits, or when its caller is to come back.
	After time.Duration
}

// WaitOrRefuse decides on a request whose servers are closed. opens is when the first of
// them opens again, startBy when the request must be sent at the latest to be
// served in time. spread, from 0 to 1, is the request's place among those that
// come back together.
func WaitOrRefuse(now, opens, startBy time.Time, spread float64) Decision {
	wait := max(opens.Sub(now), 0)
	width := min(time.Duration(spreadShare*float64(wait)), maxSpread)
	wait += time.Duration(spread * float64(width))
	return Decision{Refuse: now.Add(wait).After(startBy), After: wait}
}
