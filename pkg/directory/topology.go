package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

const (
	// relaysPerDomain is how many entries of a failure domain relay, so that the
	// loss of one leaves another to go to.
	relaysPerDomain = 2
	// suspectFor and maxSuspectFor bound how long an entry that did not answer isn't
	// followed; the time doubles with each failure in a row.
	suspectFor    = 2 * time.Second
	maxSuspectFor = 16 * time.Second
)

// Assignment is what an entry follows.
type Assignment struct {
	// Relay tells that the entry follows agents, other relays and the store itself.
	Relay bool
	// Upstream is the relay that it follows otherwise.
	Upstream string
	// RemoteRelays names, for each other failure domain with agents, the relay that a
	// relay follows there. An empty name means that there is none, and that the
	// domain's agents are to be followed directly.
	RemoteRelays map[string]string
}

// suspicion is why an entry isn't followed for a while.
type suspicion struct {
	until    time.Time
	failures int
}

// Topology decides what one entry follows. Use NewTopology.
type Topology struct {
	self      string
	suspected map[string]suspicion
}

// NewTopology returns the topology as the entry on a host sees it.
func NewTopology(self string) *Topology {
	return &Topology{self: self, suspected: make(map[string]suspicion)}
}

// Failed notes that an entry could not be followed, or no longer.
func (t *Topology) Failed(now time.Time, host string) {
	s := t.suspected[host]
	pause := min(suspectFor<<min(s.failures, 10), maxSuspectFor)
	t.suspected[host] = suspicion{until: now.Add(pause), failures: s.failures + 1}
}

// Followed notes that an entry is followed and heard.
func (t *Topology) Followed(host string) { delete(t.suspected, host) }

// isSuspected tells whether an entry isn't to be followed now.
func (t *Topology) isSuspected(now time.Time, host string) bool {
	return now.Before(t.suspected[host].until)
}

// Assign returns what the entry follows now. hosts are the site's hosts by ID. An
// entry that isn't among them yet relays.
func (t *Topology) Assign(now time.Time, hosts map[string]roster.Host, domain string) Assignment {
	entries := make(map[string][]roster.Host)
	domains := make(map[string]bool)
	for _, host := range hosts {
		if host.Role == keys.RoleAgent {
			domains[host.FailureDomain] = true
			continue
		}
		if host.ID == t.self || !t.isSuspected(now, host.ID) {
			entries[host.FailureDomain] = append(entries[host.FailureDomain], host)
		}
	}
	own := relays(entries[domain])
	plan := Assignment{RemoteRelays: make(map[string]string)}
	for other := range domains {
		if other != domain {
			plan.RemoteRelays[other] = t.pick(relays(entries[other]))
		}
	}
	_, listed := hosts[t.self]
	isRelay := slices.ContainsFunc(own, func(h roster.Host) bool { return h.ID == t.self })
	if len(own) == 0 || !listed || isRelay {
		plan.Relay = true
		return plan
	}
	plan.Upstream = t.pick(own)
	return plan
}

// relays returns the entries of a failure domain that relay: those with the most
// processor, in an order that all entries agree on.
func relays(entries []roster.Host) []roster.Host {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, func(a, b roster.Host) int {
		return cmp.Or(
			cmp.Compare(b.CPUShare, a.CPUShare),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
		)
	})
	return ordered[:min(len(ordered), relaysPerDomain)]
}

// pick chooses one of a domain's relays, so that followers spread over them.
func (t *Topology) pick(among []roster.Host) string {
	best := ""
	var bestScore uint64
	for _, host := range among {
		if score := xxhash.Sum64String(t.self + "/" + host.ID); best == "" || score > bestScore {
			best = host.ID
			bestScore = score
		}
	}
	return best
}
