package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// QuotaDump is an organisation's quota, and what the entry knows of its use. All
// quantities are in the quota's unit.
type QuotaDump struct {
	Unit      string  `json:"unit"`
	PerSecond float64 `json:"limit_per_s"`
	Burst     float64 `json:"burst"`
	// Owner is the entry that issues credit; empty before the hosts are known.
	Owner string `json:"owner"`
	// Credit is what the entry may use without asking, Share the part of the rate that
	// it may use while nobody responds.
	Credit float64 `json:"credit"`
	Share  float64 `json:"share"`
	// Left is what the owner last reported, LeftAgeMillis the time since then; negative
	// if it never did.
	Left          float64 `json:"left"`
	LeftAgeMillis int64   `json:"left_age_ms"`
	Demand        float64 `json:"demand_per_s"`
}

// dump describes the quota of an organisation; nil if it is not limited.
func (c *quotaClient) dump(now time.Time, organisation *fleet.Organisation) *QuotaDump {
	if !organisation.Quota.IsLimited() {
		return nil
	}
	state := c.account(organisation.Name).State(now)
	d := &QuotaDump{
		Unit:          organisation.Quota.Unit.String(),
		PerSecond:     organisation.Quota.PerSecond,
		Burst:         organisation.Quota.Burst,
		Credit:        state.Credit,
		Share:         state.Share,
		Left:          state.Left,
		LeftAgeMillis: state.Age.Milliseconds(),
		Demand:        state.Demand,
	}
	if _, ranked := c.rankedEntries(organisation.Name); len(ranked) > 0 {
		d.Owner = ranked[0]
	}
	return d
}
