package directory

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site lists the hosts of a site whose failure domains are of one size.
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

func TestTwoStrongEntriesOfEachDomainRelay(t *testing.T) {
	hosts := site(6, 68, 120)
	relaysIn := map[string]int{}
	for id, host := range hosts {
		if host.Role != keys.RoleEntry {
			continue
		}
		plan := NewTopology(id).Assign(testStart, hosts, host.FailureDomain)
		if plan.Relay {
			relaysIn[host.FailureDomain]++
			if host.CPUShare < 0.8 {
				t.Errorf("%s relays with a processor share of %.1f", id, host.CPUShare)
			}
			continue
		}
		upstream := hosts[plan.Upstream]
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

func TestAnotherRelayTakesThePlaceOfASilentOne(t *testing.T) {
	hosts := site(1, 4, 2)
	topology := NewTopology("entry-3")
	for i := range 4 {
		hosts[fmt.Sprintf("entry-%d", i)] = roster.Host{ID: fmt.Sprintf("entry-%d", i), Role: keys.RoleEntry, FailureDomain: domain(0), CPUShare: float64(4 - i)}
	}
	now := testStart
	followed := map[string]bool{}
	for range 2 {
		plan := topology.Assign(now, hosts, domain(0))
		if plan.Relay || followed[plan.Upstream] {
			t.Fatalf("plan %+v after %v", plan, followed)
		}
		followed[plan.Upstream] = true
		topology.Failed(now, plan.Upstream)
	}
	// The third and this one are the relays that are left.
	if plan := topology.Assign(now, hosts, domain(0)); !plan.Relay {
		t.Fatalf("plan %+v with two silent relays", plan)
	}
	now = now.Add(suspectFor)
	if plan := topology.Assign(now, hosts, domain(0)); plan.Relay {
		t.Fatal("relays though the others may be back")
	}
	for id := range followed {
		topology.Failed(now, id)
	}
	if plan := topology.Assign(now.Add(suspectFor), hosts, domain(0)); !plan.Relay {
		t.Error("a relay that failed twice is followed again as soon as before")
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
	plan := topology.Assign(testStart, hosts, domain(0))
	if !plan.Relay || len(plan.RemoteRelays) != 2 || plan.RemoteRelays[domain(1)] == "" {
		t.Fatalf("plan %+v", plan)
	}
	for id, host := range hosts {
		if host.Role == keys.RoleEntry && host.FailureDomain == domain(1) {
			topology.Failed(testStart, id)
		}
	}
	if plan := topology.Assign(testStart, hosts, domain(0)); plan.RemoteRelays[domain(1)] != "" {
		t.Errorf("plan %+v without a relay in %s", plan, domain(1))
	}
	if plan := NewTopology("new").Assign(testStart, hosts, domain(0)); !plan.Relay {
		t.Error("an entry that isn't listed yet follows")
	}
}

// TestStreamsGrowWithHosts counts the streams that a site of each size keeps open.
// They may grow with entries plus agents, not with their product.
func TestStreamsGrowWithHosts(t *testing.T) {
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
			plan := NewTopology(id).Assign(testStart, hosts, host.FailureDomain)
			own := 1
			if plan.Relay {
				own = agentsIn[host.FailureDomain] + len(plan.RemoteRelays)
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
