package backends

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// defaultLatency is assumed for a server that has not responded yet.
	defaultLatency = 20 * time.Millisecond
	// otherDomainPenalty is added for a server in another failure domain, so that
	// servers in the same failure domain are preferred among equals.
	otherDomainPenalty = 8 * time.Millisecond
	// coldPenalty is added for a server that reports that it is still warming up.
	coldPenalty = 20 * time.Millisecond
	// limitedPenalty is added for a server that names a rate limit. Others go first
	// until their expected latency is that much higher.
	limitedPenalty = 50 * time.Millisecond
)

// Candidate is a server that may receive a request.
type Candidate struct {
	Backend *fleet.Backend
	Health  Health
	// SameDomain is set if the server is in this process's failure domain.
	SameDomain bool
	// Limited is set if the server has named a rate limit lately.
	Limited bool
}

// Pick returns the index of the best candidate, or -1 if there is none. Servers to
// be avoided are chosen only if there are no others, and unresponsive ones last.
func Pick(candidates []Candidate) int {
	best := -1
	var bestRank rank
	for i := range candidates {
		r := rankOf(&candidates[i])
		if best < 0 || r.before(bestRank) {
			best = i
			bestRank = r
		}
	}
	return best
}

// rank is a candidate's sort key, lower first.
type rank struct {
	tier    int
	latency time.Duration
	id      string
}

func rankOf(c *Candidate) rank {
	r := rank{latency: c.expectedLatency(), id: c.Backend.ID}
	switch {
	case c.Health.Unresponsive:
		r.tier = 2
	case c.Health.Avoid:
		r.tier = 1
	}
	return r
}

func (a rank) before(b rank) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.latency != b.latency {
		return a.latency < b.latency
	}
	return a.id < b.id
}

// expectedLatency returns the server's mean latency, increased in proportion to its
// requests in flight. Up to half of its slots, requests don't slow each other down.
func (c *Candidate) expectedLatency() time.Duration {
	expected := c.Health.Latency
	if expected == 0 {
		expected = defaultLatency
	}
	slots := max(c.Backend.Slots, 1)
	if queued := c.Health.InFlight - slots/2; queued > 0 {
		expected += expected * time.Duration(queued) / time.Duration(slots)
	}
	if !c.SameDomain {
		expected += otherDomainPenalty
	}
	if c.Backend.WarmupRemaining > 0 {
		expected += coldPenalty
	}
	if c.Limited {
		expected += limitedPenalty
	}
	return expected
}
