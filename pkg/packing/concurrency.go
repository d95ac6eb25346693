package packing

import (
	"math"
	"time"
)

const (
	// initialConcurrency is the number of concurrent loads before any was measured.
	initialConcurrency = 3
	// concurrencyLimit is the highest estimate.
	concurrencyLimit = 16
	// fullSpeedRatio is the longest duration of a load at full speed, relative to
	// its expected duration. overdueRatio is the relative duration from which a
	// load shows that too many are running although it hasn't ended.
	fullSpeedRatio = 1.1
	overdueRatio   = 1.2
	// abandonedRatio is the relative duration below which an ended load counts as
	// abandoned.
	abandonedRatio = 0.9
)

// ConcurrencyEstimator estimates how many concurrent loads the weight store serves
// at full speed, from the durations of concurrent loads. Above that number the
// duration of each load grows in proportion, so that additional loads only delay
// the others. Use NewConcurrencyEstimator.
type ConcurrencyEstimator struct {
	maxConcurrent int
	at            time.Time
	running       map[Load]*transfer
}

// transfer is a running load.
type transfer struct {
	startedAt time.Time
	expected  time.Duration
	// concurrencySeconds is the number of running loads integrated over time, in
	// seconds.
	concurrencySeconds float64
	// counted indicates that the load has already shown that too many are running.
	counted bool
}

// meanConcurrency returns the mean number of running loads during a transfer,
// including itself.
func (t *transfer) meanConcurrency(now time.Time) float64 {
	return t.concurrencySeconds / max(now.Sub(t.startedAt).Seconds(), time.Millisecond.Seconds())
}

// relativeDuration returns the transfer's duration relative to the expected one.
func (t *transfer) relativeDuration(now time.Time) float64 {
	return now.Sub(t.startedAt).Seconds() / t.expected.Seconds()
}

// NewConcurrencyEstimator returns an estimator with the initial estimate.
func NewConcurrencyEstimator() *ConcurrencyEstimator {
	return &ConcurrencyEstimator{maxConcurrent: initialConcurrency, running: make(map[Load]*transfer)}
}

// MaxConcurrent returns the estimated number of loads that run at full speed.
func (e *ConcurrencyEstimator) MaxConcurrent() int { return e.maxConcurrent }

// Observe records the loads that are running now, with their expected durations on
// an idle weight store.
func (e *ConcurrencyEstimator) Observe(now time.Time, running map[Load]time.Duration) {
	elapsed := now.Sub(e.at).Seconds()
	for load, t := range e.running {
		t.concurrencySeconds += elapsed * float64(len(e.running))
		if _, runs := running[load]; !runs {
			delete(e.running, load)
			e.recordEnd(now, t)
			continue
		}
		if !t.counted && t.relativeDuration(now) > overdueRatio {
			t.counted = true
			e.maxConcurrent = max(1, min(e.maxConcurrent, int(t.meanConcurrency(now)/t.relativeDuration(now))))
		}
	}
	for load, expected := range running {
		if e.running[load] == nil && expected > 0 {
			e.running[load] = &transfer{startedAt: now, expected: expected}
		}
	}
	e.at = now
}

// recordEnd updates the estimate when a load has ended.
func (e *ConcurrencyEstimator) recordEnd(now time.Time, t *transfer) {
	relativeDuration := t.relativeDuration(now)
	switch {
	case relativeDuration < abandonedRatio:
		return
	case relativeDuration > fullSpeedRatio:
		e.maxConcurrent = max(1, int(math.Round(t.meanConcurrency(now)/relativeDuration)))
	case t.meanConcurrency(now) > float64(e.maxConcurrent)-0.5:
		e.maxConcurrent = min(e.maxConcurrent+1, concurrencyLimit)
	}
}
