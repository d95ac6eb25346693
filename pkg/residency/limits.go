package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/ratelimit"
)

// Limit returns the rate limit of the runner.
func (m *Manager) Limit() ratelimit.Limit {
	return ratelimit.Tighter(m.reportedLimit.Limit(), m.observedLimit.Limit())
}

// LimitObserved applies the rate limit that the response to a granted lease's
// request named.
func (m *Manager) LimitObserved(now time.Time, id string, limit ratelimit.Limit) []Action {
	l := m.leases[id]
	if l == nil || !l.granted {
		return nil
	}
	m.observedLimit.Observe(ratelimit.Observation{Limit: limit, SentAt: l.grantedAt, ReceivedAt: now})
	return m.advance(now)
}

// limitAge returns the time since the runner last named its limit.
func (m *Manager) limitAge(now time.Time) time.Duration {
	namedAt := m.reportedLimit.NamedAt()
	if observedAt := m.observedLimit.NamedAt(); observedAt.After(namedAt) {
		namedAt = observedAt
	}
	return now.Sub(namedAt)
}

// isTooLateForLimit reports whether the runner's rate limit leaves no token for a
// lease before the request must have started, and when its caller may return.
func (m *Manager) isTooLateForLimit(now time.Time, wanted Lease) (retryAfter time.Duration, late bool) {
	limit := m.Limit()
	if !limit.Named || wanted.StartBy.IsZero() {
		return 0, false
	}
	wait := m.bucket.Wait(now, limit, m.leasesAhead(wanted.Route))
	if !now.Add(wait).After(wanted.StartBy) {
		return 0, false
	}
	return m.bucket.ReturnAfter(now, limit), true
}

// leasesAhead returns the number of waiting leases that are granted before a new
// one of a route. The queue takes from the routes in turn.
func (m *Manager) leasesAhead(route string) int {
	waiting := make(map[string]int)
	for _, l := range m.leases {
		if !l.granted {
			waiting[l.Route]++
		}
	}
	ahead := 0
	for _, count := range waiting {
		ahead += min(count, waiting[route]+1)
	}
	return ahead
}

// limitLoad returns the rate of requests relative to the runner's limit; zero if
// there is none.
func (m *Manager) limitLoad(now time.Time) float64 {
	limit := m.Limit()
	if !limit.Named {
		return 0
	}
	return min(m.arrivals.current(now)/limit.Rate(), maxLimitLoad)
}

// maxLimitLoad is the highest reported load by the rate limit, so that its changes
// beyond full load need no status updates.
const maxLimitLoad = 2
