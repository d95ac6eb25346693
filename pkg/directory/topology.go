package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

const (
	// relaysPerDomain is the number of relays in a failure domain, so that another
	// one is available if one fails.
	relaysPerDomain = 2
	// minSuspicion and maxSuspicion limit how long an entry isn't followed after a
	// failure; the time doubles with each consecutive failure.
	minSuspicion = 2 * time.Second
	maxSuspicion = 16 * time.Second
)

// Assignment is what one entry follows.
type Assignment struct {
	// Relay is set if the entry follows agents, other relays and the store itself.
	Relay bool
	// Upstream is the relay that the entry follows if it isn't a relay.
	Upstream string
	// RemoteRelays maps each other failure domain that has agents to the relay that a
	// relay follows there. An empty value means that there is none and the domain's
	// agents must be followed directly.
	RemoteRelays map[string]string
}

// suspicion records the recent failures of an entry.
type suspicion struct {
	until    time.Time
	failures int
}

// Topology decides what one entry follows. Use NewTopology.
type Topology struct {
	self      string
	suspected map[string]suspicion
}

// NewTopology returns the topology from the point of view of the entry on a host.
func NewTopology(self string) *Topology {
	return &Topology{self: self, suspected: make(map[string]suspicion)}
}

// Failed records that an entry couldn't be followed or that its stream broke.
func (t *Topology) Failed(now time.Time, host string) {
	s := t.suspected[host]
	delay := backoff.Exponential(minSuspicion, maxSuspicion, s.failures)
	t.suspected[host] = suspicion{until: now.Add(delay), failures: s.failures + 1}
}

// Followed records that an entry is followed and sends updates.
func (t *Topology) Followed(host string) { delete(t.suspected, host) }

// isSuspected reports whether an entry must not be followed now.
func (t *Topology) isSuspected(now time.Time, host string) bool {
	return now.Before(t.suspected[host].until)
}

// Assign returns what the entry follows now. hosts are the site's hosts by ID. An
// entry that isn't listed yet is a relay.
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
	assignment := Assignment{RemoteRelays: make(map[string]string)}
	for other := range domains {
		if other != domain {
			assignment.RemoteRelays[other] = t.pickRelay(relays(entries[other]))
		}
	}
	_, listed := hosts[t.self]
	isRelay := slices.ContainsFunc(own, func(h roster.Host) bool { return h.ID == t.self })
	if len(own) == 0 || !listed || isRelay {
		assignment.Relay = true
		return assignment
	}
	assignment.Upstream = t.pickRelay(own)
	return assignment
}

// relays returns the relays of a failure domain: the entries with the largest
// processor share, in an order that all entries agree on.
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

// pickRelay chooses one of a domain's relays by hash, so that followers are spread
// over the relays.
func (t *Topology) pickRelay(candidates []roster.Host) string {
	ids := make([]string, len(candidates))
	for i, host := range candidates {
		ids[i] = host.ID
	}
	return membership.RendezvousOwner(t.self, ids)
}
