package runneragent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// verificationPoll is the polling interval while a lease request waits for a report.
	verificationPoll = time.Millisecond
	// unverifiedRetryAfter is the Retry-After of a refusal for lack of a report.
	unverifiedRetryAfter = 500 * time.Millisecond
)

// awaitReport has a lease request for a stream with events wait for a report that the
// runner is asked for from now on. The last report may be of an incarnation that has
// ended since, and the present one may have other software.
func (c *controller) awaitReport(pending waitingLease) {
	c.unverified = append(c.unverified, pending)
	c.worker.setPollInterval(c.pollInterval())
}

// acquireVerified requests the leases that arrived before a report was asked for.
func (c *controller) acquireVerified(now, requestedAt time.Time) {
	waiting := c.unverified
	c.unverified = nil
	for _, pending := range waiting {
		switch {
		case !c.isWaiting(pending):
		case pending.arrived.Before(requestedAt):
			c.perform(c.manager.Acquire(now, pending.Lease))
		default:
			c.unverified = append(c.unverified, pending)
		}
	}
	c.worker.setPollInterval(c.pollInterval())
}

// refuseUnverified refuses the lease requests that wait for a report, after a failed call
// for one.
func (c *controller) refuseUnverified() {
	waiting := c.unverified
	c.unverified = nil
	for _, pending := range waiting {
		if c.isWaiting(pending) {
			refused := &residency.Refuse{ID: pending.ID, Reason: wire.ReasonUnavailable, RetryAfter: unverifiedRetryAfter}
			c.deliverOutcome(pending.ID, leaseOutcome{refused: refused})
		}
	}
}

// isWaiting reports whether a lease request hasn't been given up.
func (c *controller) isWaiting(pending waitingLease) bool {
	known, ok := c.waiting[pending.ID]
	return ok && known.result == pending.result
}

// pollInterval returns the time until the next report is due.
func (c *controller) pollInterval() time.Duration {
	if len(c.unverified) > 0 {
		return verificationPoll
	}
	return c.manager.PollInterval()
}
