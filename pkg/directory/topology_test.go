package directory

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site lists the hosts of a site with failure domains of equal size.
func site(domains, entries, agents int) map[string]roster.Host {
	hosts := make(map[string]roster.Host)
	add := func(role string, i int, processor float64) {
		id := fmt.Sprintf("%s-%d", role, i)
		hosts[id] = roster.Host{ID: id, Role: role, FailureDomain: domain(i % domains), CPUShare: processor}
	}
	for i := range entries {
		processor := 0.1
		if i < 3*domains {
			processor = 0.8
		}
		add(keys.RoleEntry, i, processor)
	}
	for i := range agents {
		add(keys.RoleAgent, i, 0)
	}
	return hosts
}

func domain(i int) string { return fmt.Sprintf("z-%d", i) }

func TestTwoLargestEntriesPerDomainRelay(t *testing.T) {
	hosts := site(6, 68, 120)
	relaysIn := map[string]int{}
	for id, host := range hosts {
		if host.Role != keys.RoleEntry {
			continue
		}
		assignment := NewTopology(id).Assign(testStart, hosts, host.FailureDomain)
		if assignment.Relay {
			relaysIn[host.FailureDomain]++
			if host.CPUShare < 0.8 {
				t.Errorf("%s relays with a processor share of %.1f", id, host.CPUShare)
			}
			continue
		}
		upstream := hosts[assignment.Upstream]
		if upstream.FailureDomain != host.FailureDomain || !NewTopology(upstream.ID).Assign(testStart, hosts, upstream.FailureDomain).Relay {
			t.Errorf("%s follows %+v", id, upstream)
		}
	}
	for i := range 6 {
		if relaysIn[domain(i)] != relaysPerDomain {
			t.Errorf("%d relays in %s", relaysIn[domain(i)], domain(i))
		}
	}
}

func TestUnresponsiveRelayIsReplaced(t *testing.T) {
	hosts := site(1, 4, 2)
	topology := NewTopology("entry-3")
	for i := range 4 {
		hosts[fmt.Sprintf("entry-%d", i)] = roster.Host{ID: fmt.Sprintf("entry-%d", i), Role: keys.RoleEntry, FailureDomain: domain(0), CPUShare: float64(4 - i)}
	}
	now := testStart
	followed := map[string]bool{}
	for range 2 {
		assignment := topology.Assign(now, hosts, domain(0))
		if assignment.Relay || followed[assignment.Upstream] {
			t.Fatalf("assignment %+v after %v", assignment, followed)
		}
		followed[assignment.Upstream] = true
		topology.Failed(now, assignment.Upstream)
	}
	// The third entry and this one are the remaining relays.
	if assignment := topology.Assign(now, hosts, domain(0)); !assignment.Relay {
		t.Fatalf("assignment %+v with two unresponsive relays", assignment)
	}
	now = now.Add(minSuspicion)
	if assignment := topology.Assign(now, hosts, domain(0)); assignment.Relay {
		t.Fatal("still a relay although the suspicion of the others has expired")
	}
	for id := range followed {
		topology.Failed(now, id)
	}
	if assignment := topology.Assign(now.Add(minSuspicion), hosts, domain(0)); !assignment.Relay {
		t.Error("the suspicion doesn't double after a second failure")
	}
}

func entriesIn(hosts map[string]roster.Host, domain string) []roster.Host {
	var entries []roster.Host
	for _, host := range hosts {
		if host.Role == keys.RoleEntry && host.FailureDomain == domain {
			entries = append(entries, host)
		}
	}
	return entries
}

func TestRelayFollowsOneRelayOfEachOtherDomain(t *testing.T) {
	hosts := site(3, 9, 6)
	self := relays(entriesIn(hosts, domain(0)))[0].ID
	topology := NewTopology(self)
	assignment := topology.Assign(testStart, hosts, domain(0))
	if !assignment.Relay || len(assignment.RemoteRelays) != 2 || assignment.RemoteRelays[domain(1)] == "" {
		t.Fatalf("assignment %+v", assignment)
	}
	for id, host := range hosts {
		if host.Role == keys.RoleEntry && host.FailureDomain == domain(1) {
			topology.Failed(testStart, id)
		}
	}
	if assignment := topology.Assign(testStart, hosts, domain(0)); assignment.RemoteRelays[domain(1)] != "" {
		t.Errorf("assignment %+v without a relay in %s", assignment, domain(1))
	}
	if assignment := NewTopology("new").Assign(testStart, hosts, domain(0)); !assignment.Relay {
		t.Error("an entry that isn't listed yet isn't a relay")
	}
}

// TestStreamCountGrowsLinearlyWithHosts counts the open streams of sites of several
// sizes. The count may grow with the sum of entries and agents, not with their
// product.
func TestStreamCountGrowsLinearlyWithHosts(t *testing.T) {
	const perHost = 4
	for _, size := range []struct{ domains, entries, agents int }{{4, 5, 18}, {5, 25, 46}, {6, 68, 120}, {6, 390, 2200}} {
		hosts := site(size.domains, size.entries, size.agents)
		agentsIn := map[string]int{}
		for _, host := range hosts {
			if host.Role == keys.RoleAgent {
				agentsIn[host.FailureDomain]++
			}
		}
		streams, most := 0, 0
		for id, host := range hosts {
			if host.Role != keys.RoleEntry {
				continue
			}
			assignment := NewTopology(id).Assign(testStart, hosts, host.FailureDomain)
			own := 1
			if assignment.Relay {
				own = agentsIn[host.FailureDomain] + len(assignment.RemoteRelays)
			}
			streams += own
			most = max(most, own)
		}
		t.Logf("%d entries, %d agents: %d streams, at most %d at one entry", size.entries, size.agents, streams, most)
		if bound := perHost * (size.entries + size.agents); streams > bound {
			t.Errorf("%d streams for %d entries and %d agents, want at most %d", streams, size.entries, size.agents, bound)
		}
		if bound := size.agents/size.domains + size.domains + 1; most > bound {
			t.Errorf("%d streams at one entry of %d, want at most %d", most, size.entries, bound)
		}
	}
}
