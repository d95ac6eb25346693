package residency

import (
	"math"
	"time"
)

// demandMemory is the time in which a rate of requests fades to a third.
const demandMemory = 10 * time.Second

// minDemandAge is the least time for which a young rate is taken to have been
// followed, so that a single event doesn't count as a flood.
const minDemandAge = 2 * time.Second

// rate is an exponentially fading rate of events a second.
type rate struct {
	value float64
	at    time.Time
	since time.Time
}

func (r *rate) note(now time.Time) {
	if r.at.IsZero() {
		r.since = now
	}
	r.value = r.faded(now) + 1/demandMemory.Seconds()
	r.at = now
}

func (r *rate) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandMemory.Seconds())
}

// current is the rate, corrected for the short time for which a young one has
// been followed.
func (r *rate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	age := max(now.Sub(r.since), minDemandAge)
	return r.faded(now) / (1 - math.Exp(-age.Seconds()/demandMemory.Seconds()))
}
