package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

const (
	// adaptiveSlowdown is the ratio of observed to expected load time above which
	// the weight store counts as overloaded.
	adaptiveSlowdown = 1.25
	// adaptiveDecrease is the factor applied to the rate after an overloaded load.
	adaptiveDecrease = 0.5
	// adaptiveIncrease is the increase of the rate after a load at full speed, as a
	// share of the static rate.
	adaptiveIncrease = 0.5
	// adaptiveMinimum is the lowest rate as a share of the static rate.
	adaptiveMinimum = 0.25
)

// AdaptivePacer adjusts an agent's rate by additive increase and multiplicative
// decrease, based on the observed load time. It needs no communication.
type AdaptivePacer struct {
	pacerBase
	limits StoreLimits
	agents int
	// rate is in starts per second.
	rate float64
}

// NewAdaptivePacer returns a pacer that starts at the static rate.
func NewAdaptivePacer(limits StoreLimits, agents int) *AdaptivePacer {
	a := &AdaptivePacer{pacerBase: newPacerBase(), limits: limits, agents: max(agents, 1)}
	a.rate = a.share()
	return a
}

func (a *AdaptivePacer) share() float64 {
	return a.limits.StartsPerSecond / float64(a.agents)
}

// Next implements Pacer.
func (a *AdaptivePacer) Next(now time.Time) (engine.Target, bool) {
	return a.start(now, a.limits.MaxConcurrent, durationOf(1/a.rate))
}

// Done implements Pacer.
func (a *AdaptivePacer) Done(_ time.Time, target engine.Target, took, expected time.Duration) {
	delete(a.running, target)
	if took.Seconds() > adaptiveSlowdown*expected.Seconds() {
		a.rate = max(a.rate*adaptiveDecrease, a.share()*adaptiveMinimum)
		return
	}
	a.rate = min(a.rate+a.share()*adaptiveIncrease, a.limits.StartsPerSecond)
}

// Wake implements Pacer.
func (a *AdaptivePacer) Wake() time.Time { return a.wakeAt(a.limits.MaxConcurrent) }
