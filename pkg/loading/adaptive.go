package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

const (
	// adaptiveSlowdown is the ratio of observed to expected load time above
	// which the weight store counts as overloaded.
	adaptiveSlowdown = 1.25
	// adaptiveDecrease is the factor of the rate after an overloaded load.
	adaptiveDecrease = 0.5
	// adaptiveIncrease is the growth of the rate after a load at full speed, as
	// a share of the fixed split's rate.
	adaptiveIncrease = 0.5
	// adaptiveFloor is the lowest rate as a share of the fixed split's rate.
	adaptiveFloor = 0.25
)

// AdaptivePacer changes an agent's rate by additive increase and multiplicative
// decrease on the observed load time. It needs no talk.
type AdaptivePacer struct {
	local
	limits StoreLimits
	agents int
	// rate is in starts per second.
	rate float64
}

// NewAdaptivePacer returns a pacer that starts at the fixed split's rate.
func NewAdaptivePacer(limits StoreLimits, agents int) *AdaptivePacer {
	a := &AdaptivePacer{local: newLocal(), limits: limits, agents: max(agents, 1)}
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
		a.rate = max(a.rate*adaptiveDecrease, a.share()*adaptiveFloor)
		return
	}
	a.rate = min(a.rate+a.share()*adaptiveIncrease, a.limits.StartsPerSecond)
}

// Wake implements Pacer.
func (a *AdaptivePacer) Wake() time.Time { return a.wake(a.limits.MaxConcurrent) }
