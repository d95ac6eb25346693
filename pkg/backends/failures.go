package backends

import "time"

const (
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.15
	// failureThreshold is the failure rate from which a server is avoided, once at
	// least minOutcomes outcomes were recorded.
	failureThreshold = 0.25
	minOutcomes      = 4
	// minAvoidance and maxAvoidance bound how long a failing server is avoided; the
	// time doubles with each repeated avoidance.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
	// backoffReset is the time without avoidance after which the backoff restarts.
	backoffReset = 10 * time.Second
)

// FailureRate tracks the share of requests that fail at one server and decides when
// to avoid it. The zero value is that of an unknown server.
type FailureRate struct {
	rate       float64
	outcomes   int
	avoidUntil time.Time
	avoidance  time.Duration
}

// Record adds the outcome of a request.
func (f *FailureRate) Record(now time.Time, failed bool) {
	f.outcomes++
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += failureWeight * (sample - f.rate)
	if failed && f.outcomes >= minOutcomes && f.rate >= failureThreshold {
		f.avoid(now)
	}
}

func (f *FailureRate) avoid(now time.Time) {
	if now.Before(f.avoidUntil) {
		return
	}
	if now.Sub(f.avoidUntil) > backoffReset {
		f.avoidance = 0
	}
	f.avoidance = min(max(2*f.avoidance, minAvoidance), maxAvoidance)
	f.avoidUntil = now.Add(f.avoidance)
	// The rate restarts below the threshold, so that several more failures are
	// needed before the server is avoided again.
	f.rate = failureThreshold / 2
}

// ShouldAvoid reports whether the server should be avoided now.
func (f *FailureRate) ShouldAvoid(now time.Time) bool { return now.Before(f.avoidUntil) }
