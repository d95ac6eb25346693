package quota

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// slackForBurst is the part of the slack by which a bucket is larger than the
	// burst, so that requests of uneven size pass up to the limit.
	slackForBurst = 0.5
	// toleranceForSubstitute is the part of what is then left of the tolerance that a
	// substitute may issue although the owner may issue the whole limit. The rest covers
	// credit that entries hold.
	toleranceForSubstitute = 0.5
)

// Bounds are what the use of a quota is judged by.
type Bounds struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Over is the part of the limit that may be used in addition.
	Over float64
	// Slack is the number of units that may be used in addition in each window.
	Slack float64
}

// Most returns the largest use of a quota in a window.
func (b Bounds) Most(q fleet.Quota) float64 { return q.Within(b.Window)*(1+b.Over) + b.Slack }

// Limit is a quota as an owner issues it.
type Limit struct {
	// PerSecond is the rate in units a second, Capacity the size of the bucket.
	PerSecond float64
	Capacity  float64
	// Spare is the part of the limit that a second owner may issue in addition.
	Spare float64
}

// LimitOf returns the limit for a quota, which must be limited.
func LimitOf(q fleet.Quota, b Bounds) Limit {
	spare := b.Over
	if within := q.Within(b.Window); within > 0 {
		spare += (1 - slackForBurst) * b.Slack / within
	}
	return Limit{
		PerSecond: q.PerSecond,
		Capacity:  q.Burst + slackForBurst*b.Slack,
		Spare:     min(toleranceForSubstitute*spare, 1),
	}
}
