package backends

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// unknownLatency is assumed of a server that has not answered yet.
	unknownLatency = 20 * time.Millisecond
	// farPenalty is added for a server in another failure domain, so that equal
	// servers nearby go first.
	farPenalty = 8 * time.Millisecond
	// coldPenalty is added for a server that says it is still slow.
	coldPenalty = 20 * time.Millisecond
)

// Candidate is a server that may get a request.
type Candidate struct {
	Backend *fleet.Backend
	Health  Health
	// SameDomain tells that the server stands in this process's failure domain.
	SameDomain bool
}

// Pick returns the index of the best choice, or -1 if there is none. Servers
// that are avoided are chosen only if there are no others, and silent ones last.
func Pick(choices []Candidate) int {
	best := -1
	var bestRank rank
	for i := range choices {
		r := rankOf(&choices[i])
		if best < 0 || r.before(bestRank) {
			best = i
			bestRank = r
		}
	}
	return best
}

// rank is a choice's order of preference, lower first.
type rank struct {
	trouble int
	latency time.Duration
	id      string
}

func rankOf(c *Candidate) rank {
	r := rank{latency: c.expectedLatency(), id: c.Backend.ID}
	switch {
	case c.Health.Unresponsive:
		r.trouble = 2
	case c.Health.Avoid:
		r.trouble = 1
	}
	return r
}

func (a rank) before(b rank) bool {
	if a.trouble != b.trouble {
		return a.trouble < b.trouble
	}
	if a.latency != b.latency {
		return a.latency < b.latency
	}
	return a.id < b.id
}

// expectedLatency is the server's mean latency, stretched by the requests that
// are already open there. Below half of its slots a request doesn't wait for
// others.
func (c *Candidate) expectedLatency() time.Duration {
	expected := c.Health.Latency
	if expected == 0 {
		expected = unknownLatency
	}
	slots := max(c.Backend.Slots, 1)
	if queued := c.Health.InFlight - slots/2; queued > 0 {
		expected += expected * time.Duration(queued) / time.Duration(slots)
	}
	if !c.SameDomain {
		expected += farPenalty
	}
	if c.Backend.WarmupRemaining > 0 {
		expected += coldPenalty
	}
	return expected
}
