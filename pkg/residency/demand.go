package residency

import (
	"math"
	"time"
)

// demandTimeConstant is the time after which a request rate has decayed to 1/e.
const demandTimeConstant = 10 * time.Second

// minObservationTime is the shortest observation time assumed for a new rate, so
// that a single event doesn't look like a burst.
const minObservationTime = 2 * time.Second

// decayingRate is an exponentially decaying rate of events per second.
type decayingRate struct {
	value float64
	at    time.Time
	since time.Time
}

func (r *decayingRate) record(now time.Time) {
	if r.at.IsZero() {
		r.since = now
	}
	r.value = r.decayed(now) + 1/demandTimeConstant.Seconds()
	r.at = now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandTimeConstant.Seconds())
}

// current returns the rate, corrected for the short observation time of a new one.
func (r *decayingRate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	age := max(now.Sub(r.since), minObservationTime)
	return r.decayed(now) / (1 - math.Exp(-age.Seconds()/demandTimeConstant.Seconds()))
}
