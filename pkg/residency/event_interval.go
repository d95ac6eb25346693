package residency

import (
	"math"
	"time"
)

const (
	// eventIntervalTimeConstant is the time after which a stream's weight in the mean
	// interval between events has decayed to 1/e.
	eventIntervalTimeConstant = 5 * time.Second
	// minEventIntervalWeight is the weight of streams from which the mean is published:
	// a single stream may have met a moment in which the host was busy.
	minEventIntervalWeight = 2
	// eventIntervalStep is the resolution of published intervals. Finer steps would cause
	// a status update for each small change.
	eventIntervalStep = 5 * time.Millisecond
)

// eventInterval is the exponentially decaying mean of the intervals between the events of
// one model's streams. It reflects the speed of the runner and of its host, and how many
// requests run beside. The zero value is without streams.
type eventInterval struct {
	// sum is the weighted sum of the intervals in seconds.
	sum    float64
	weight float64
	at     time.Time
}

// observe records a stream that ended now, with the mean interval between its events.
func (e *eventInterval) observe(now time.Time, interval time.Duration) {
	if interval <= 0 {
		return
	}
	e.decay(now)
	e.sum += interval.Seconds()
	e.weight++
}

func (e *eventInterval) decay(now time.Time) {
	if !e.at.IsZero() {
		factor := math.Exp(-now.Sub(e.at).Seconds() / eventIntervalTimeConstant.Seconds())
		e.sum *= factor
		e.weight *= factor
	}
	e.at = now
}

// mean returns the mean interval, or zero if there have been too few streams lately.
func (e *eventInterval) mean(now time.Time) time.Duration {
	decayed := *e
	decayed.decay(now)
	if decayed.weight < minEventIntervalWeight {
		return 0
	}
	return time.Duration(decayed.sum / decayed.weight * float64(time.Second))
}

// publishedMillis returns the mean interval in milliseconds, rounded to a multiple of
// eventIntervalStep above zero; zero if there have been too few streams lately.
func (e *eventInterval) publishedMillis(now time.Time) uint32 {
	mean := e.mean(now)
	if mean == 0 {
		return 0
	}
	return uint32(max(mean.Round(eventIntervalStep), eventIntervalStep).Milliseconds())
}

// StreamEnded records the mean interval between the events of a granted lease's stream;
// zero if there were too few.
func (m *Manager) StreamEnded(now time.Time, id string, interval time.Duration) {
	l := m.leases[id]
	if l == nil || !l.granted {
		return
	}
	if known := m.models[l.Model]; known != nil {
		known.eventInterval.observe(now, interval)
	}
}
