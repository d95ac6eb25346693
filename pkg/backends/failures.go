package backends

import "time"

const (
	// failureGain is the weight of a new outcome in the failure share.
	failureGain = 0.15
	// failureLimit is the failure share from which a server is avoided, once
	// minOutcomes were seen.
	failureLimit = 0.25
	minOutcomes  = 4
	// avoidFor and maxAvoidFor bound how long a failing server is avoided; the
	// time doubles with each relapse.
	avoidFor    = time.Second
	maxAvoidFor = 8 * time.Second
	// relapseMemory is how long after an avoidance a new one counts as relapse.
	relapseMemory = 10 * time.Second
)

// FailureRate follows the share of requests at which one server fails, and tells
// when it is better avoided. The zero value is that of an unknown server.
type FailureRate struct {
	share     float64
	outcomes  int
	until     time.Time
	avoidance time.Duration
}

// Record takes in the outcome of a request.
func (f *FailureRate) Record(now time.Time, failed bool) {
	f.outcomes++
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share += failureGain * (sample - f.share)
	if failed && f.outcomes >= minOutcomes && f.share >= failureLimit {
		f.avoid(now)
	}
}

func (f *FailureRate) avoid(now time.Time) {
	if now.Before(f.until) {
		return
	}
	if now.Sub(f.until) > relapseMemory {
		f.avoidance = 0
	}
	f.avoidance = min(max(2*f.avoidance, avoidFor), maxAvoidFor)
	f.until = now.Add(f.avoidance)
	// The share starts anew below the limit, so that some further failures are
	// needed for a relapse.
	f.share = failureLimit / 2
}

// ShouldAvoid tells whether the server is better avoided now.
func (f *FailureRate) ShouldAvoid(now time.Time) bool { return now.Before(f.until) }
