package runneragent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// DumpName is the name of the agent's part of the state dump.
const DumpName = "runner"

// Dump is the agent's part of the state dump: its current state.
type Dump struct {
	Fence int64 `json:"fence"`
	// PlacementRevision is the revision of the active placement, PlacementAsOf
	// the store revision up to which it was known to be the newest.
	PlacementRevision  int64 `json:"plan"`
	PlacementAsOf      int64 `json:"plan_as_of"`
	PlacementAgeMillis int64 `json:"plan_age_ms"`
	ReportAgeMillis    int64 `json:"report_age_ms"`
	Gateways           int   `json:"gateways"`
	// Origins is the number of streams whose origin is kept for callers that resume them.
	Origins int `json:"stream_origins"`
	// Status is the status sent to gateways.
	Status *wire.RunnerStatus `json:"status"`
}

// dump describes the agent. Any goroutine may call it.
func (c *controller) dump() any {
	var d Dump
	c.loop.Do(func() {
		now := time.Now()
		d = Dump{
			Fence:              c.manager.Fence(),
			PlacementRevision:  c.manager.PlacementRevision(),
			PlacementAsOf:      c.asOf,
			PlacementAgeMillis: sinceMillis(now, c.placementReceivedAt),
			ReportAgeMillis:    sinceMillis(now, c.reportedAt),
			Gateways:           c.subscribers.count(),
			Origins:            c.origins.Len(),
			Status:             c.status(now),
		}
	})
	return d
}

// sinceMillis is the time since an event in milliseconds, or -1 if there was none.
func sinceMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// updateGauges updates the gauges.
func (c *controller) updateGauges(now time.Time) {
	c.loop.Do(func() {
		c.metrics.State(c.manager.Waiting(), c.manager.Running(), c.subscribers.count())
		c.metrics.Origins(c.origins.Len())
		if !c.placementReceivedAt.IsZero() {
			c.metrics.ObserveView(metrics.ViewPlacement, c.manager.PlacementRevision(), now.Sub(c.placementReceivedAt))
		}
		if !c.reportedAt.IsZero() {
			const unversioned = 0
			c.metrics.ObserveView(metrics.ViewReport, unversioned, now.Sub(c.reportedAt))
		}
	})
	if skipped := c.grantSampler.TakeSkipped(); skipped > 0 {
		c.logger.Info("grants not logged", "count", skipped)
	}
}
