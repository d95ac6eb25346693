package admission

import "time"

// rateWeight is the weight of a new observation in the service rate.
const rateWeight = 0.1

// serviceRate estimates the throughput of one slot, in estimated tokens per second,
// as a ratio of exponentially weighted averages of work and time.
type serviceRate struct {
	tokens  float64
	seconds float64
	known   bool
}

func (r *serviceRate) observe(tokens int64, took time.Duration) {
	if took <= 0 {
		return
	}
	if !r.known {
		r.known = true
		r.tokens = float64(tokens)
		r.seconds = took.Seconds()
		return
	}
	r.tokens += rateWeight * (float64(tokens) - r.tokens)
	r.seconds += rateWeight * (took.Seconds() - r.seconds)
}

// serviceTime returns the expected time of one slot for the work, or zero if the
// rate is unknown.
func (r *serviceRate) serviceTime(tokens float64) time.Duration {
	if !r.known || r.tokens <= 0 {
		return 0
	}
	return seconds(tokens * r.seconds / r.tokens)
}
