package quota

import (
	"math"
	"time"
)

// demandMemory is the time constant of the estimate of demand.
const demandMemory = 2 * time.Second

// rateEstimator estimates a rate a second, by exponential decay. The zero value is
// that of no events.
type rateEstimator struct {
	sum       float64
	updatedAt time.Time
}

func (e *rateEstimator) add(now time.Time, amount float64) {
	e.decay(now)
	e.sum += amount
}

// rate returns the estimated rate a second.
func (e *rateEstimator) rate(now time.Time) float64 {
	e.decay(now)
	return e.sum / demandMemory.Seconds()
}

func (e *rateEstimator) decay(now time.Time) {
	if elapsed := now.Sub(e.updatedAt); elapsed > 0 {
		e.sum *= math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
		e.updatedAt = now
	}
}
