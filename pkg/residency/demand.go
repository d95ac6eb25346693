package residency

import (
	"math"
	"time"
)

// demandMemory is the time in which a rate of requests fades to a third.
const demandMemory = 10 * time.Second

// rate is an exponentially fading rate of events a second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) note(now time.Time) {
	r.value = r.current(now) + 1/demandMemory.Seconds()
	r.at = now
}

func (r *rate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandMemory.Seconds())
}
