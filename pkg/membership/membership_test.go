package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

func agentHosts(state hostlist.State, ids ...string) []hostlist.Host {
	var hosts []hostlist.Host
	for _, id := range ids {
		hosts = append(hosts, hostlist.Host{ID: id, Role: hostlist.RoleAgent, State: state, Address: "192.0.2.1:1"})
	}
	return hosts
}

func TestGone(t *testing.T) {
	listed := func(seconds float64, ids ...string) func(*View) {
		return func(v *View) { v.HostsListed(after(seconds), agentHosts(hostlist.Live, ids...)) }
	}
	relayed := func(seconds float64, ids ...string) func(*View) {
		return func(v *View) { v.HostsRelayed(after(seconds), agentHosts(hostlist.Live, ids...)) }
	}
	reported := func(seconds float64, id string) func(*View) {
		return func(v *View) { v.StatusReceived(after(seconds), wire.Status{Runner: id, Sequence: uint64(seconds)}) }
	}
	permits := func(seconds float64, ids ...string) func(*View) {
		return func(v *View) { v.HostsPermitted(after(seconds), ids) }
	}
	tests := []struct {
		name   string
		events []func(*View)
		want   bool
	}{
		{"listed", []func(*View){listed(0, "a", "b"), listed(60, "a", "b")}, false},
		{"absent for long", []func(*View){listed(0, "a", "b"), listed(10, "b"), listed(40, "b")}, true},
		{"absent not long enough", []func(*View){listed(0, "a", "b"), listed(29, "b")}, false},
		{"listed between", []func(*View){listed(0, "a", "b"), listed(20, "a", "b"), listed(40, "b")}, false},
		{"status between", []func(*View){listed(0, "a", "b"), reported(20, "a"), listed(40, "b")}, false},
		{"listed again", []func(*View){listed(0, "a", "b"), listed(10, "b"), listed(40, "b"), listed(50, "a", "b")}, false},
		{"status after gone", []func(*View){listed(0, "a", "b"), listed(10, "b"), listed(40, "b"), reported(50, "a")}, false},
		{"empty lists", []func(*View){listed(0, "a", "b"), listed(40), listed(90)}, false},
		{"never listed", []func(*View){reported(1, "a"), listed(50, "b"), listed(5000, "b")}, false},
		{"permit only", []func(*View){permits(0, "a"), listed(590, "b")}, false},
		{"permit and absent for long", []func(*View){permits(0, "a"), listed(600, "b"), listed(630, "b")}, true},
		{"gone while others have permits", []func(*View){listed(0, "a"), listed(10, "b"), listed(40, "b"), permits(41, "b")}, true},
		{"forgotten", []func(*View){listed(0, "a"), listed(10, "b"), listed(40, "b"), listed(604800, "b")}, false},
		{"one read after a pause", []func(*View){listed(0, "a"), listed(90, "b")}, false},
		{"absent from relayed lists", []func(*View){listed(0, "a"), relayed(10, "b"), relayed(90, "b")}, false},
		{"relayed between", []func(*View){listed(0, "a"), listed(10, "b"), relayed(20, "a"), listed(50, "b")}, false},
		{"relayed, then read", []func(*View){relayed(0, "a"), relayed(40, "b"), listed(50, "b"), listed(80, "b")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := NewView()
			for _, event := range test.events {
				event(view)
			}
			snapshot := view.Snapshot()
			if snapshot.Gone("a") != test.want || (snapshot.Gone("a") && snapshot.Missing("a")) {
				t.Errorf("gone %t, missing %t", snapshot.Gone("a"), snapshot.Missing("a"))
			}
		})
	}
}

func TestMissing(t *testing.T) {
	view := NewView()
	view.HostsRelayed(testStart, agentHosts(hostlist.Live, "a", "b"))
	for _, seconds := range []float64{29, 30} {
		view.HostsRelayed(after(seconds), agentHosts(hostlist.Live, "b"))
		if got := view.Snapshot().Missing("a"); got != (seconds == 30) {
			t.Errorf("missing after %g s: %t", seconds, got)
		}
	}
	view.HostsRelayed(after(31), agentHosts(hostlist.Live, "a", "b"))
	if view.Snapshot().Missing("a") {
		t.Error("missing although listed")
	}
}

func TestStatusOrder(t *testing.T) {
	view := NewView()
	view.HostsListed(testStart, agentHosts(hostlist.Live, "a"))
	steps := []struct {
		status  wire.Status
		updated bool
	}{
		{wire.Status{Runner: "a", Incarnation: "1", Sequence: 5, Leaving: true}, true},
		{wire.Status{Runner: "a", Incarnation: "1", Sequence: 4}, false},
		{wire.Status{Runner: "a", Incarnation: "1", Sequence: 5}, false},
		{wire.Status{Runner: "a", Incarnation: "2", Sequence: 1}, true},
		{wire.Status{Runner: "a", Incarnation: "1", Sequence: 6, Leaving: true}, false},
	}
	for i, step := range steps {
		if updated := view.StatusReceived(testStart, step.status); updated != step.updated {
			t.Errorf("step %d: updated %t", i, updated)
		}
	}
	before := view.Snapshot()
	view.HostsListed(testStart, agentHosts(hostlist.Leaving, "a"))
	agent, _ := view.Snapshot().Agent("a")
	earlier, _ := before.Agent("a")
	if !agent.Leaving() || earlier.Leaving() || agent.Status.Incarnation != "2" {
		t.Errorf("now %+v, before %+v", agent, earlier)
	}
}

func TestSuspicion(t *testing.T) {
	view := NewView()
	view.HostsListed(testStart, agentHosts(hostlist.Live, "a"))
	now := testStart
	for _, want := range []float64{0.5, 1, 2, 4, 8, 16, 30, 30} {
		view.CallFailed(now, "a")
		// Calls that fail during the suspicion don't extend it.
		view.CallFailed(now, "a")
		agent, _ := view.Snapshot().Agent("a")
		if got := agent.SuspectedUntil.Sub(now).Seconds(); got != want {
			t.Fatalf("suspected for %g s, want %g s", got, want)
		}
		now = agent.SuspectedUntil
	}
	agent, _ := view.Snapshot().Agent("a")
	if agent.Suspected(now) || !agent.Unreachable(now) {
		t.Error("an agent must remain unreachable after its suspicion ended")
	}
	view.CallSucceeded(now, "a")
	agent, _ = view.Snapshot().Agent("a")
	if agent.Unreachable(now) {
		t.Error("unreachable after a response")
	}
}

func testEntries(domains, perDomain int) []*Entry {
	var entries []*Entry
	for d := range domains {
		for i := range perDomain {
			entries = append(entries, &Entry{ID: fmt.Sprintf("e%d-%d", d, i), FailureDomain: fmt.Sprint(d)})
		}
	}
	return entries
}

func TestRendezvousMovesOnlyKeysOfRemovedID(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint(i)
		owner := RendezvousOwner(key, ids)
		rank := RendezvousRank(key, ids)
		counts[owner]++
		without := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == "c" })
		if rank[0] != owner || (owner != "c" && RendezvousOwner(key, without) != owner) {
			t.Fatalf("key %s: owner %s, rank %v", key, owner, rank)
		}
	}
	for id, count := range counts {
		if count < 150 || count > 250 {
			t.Errorf("%s owns %d of 1000 keys", id, count)
		}
	}
}

// TestSyncTree checks at the target size that the preferred peers lead to a watcher
// of the same failure domain and that no entry serves more than SyncFanOut others.
func TestSyncTree(t *testing.T) {
	entries := testEntries(6, 65)
	watchers := Watchers(entries)
	if len(watchers) != 6*WatchersPerDomain {
		t.Fatalf("%d watchers", len(watchers))
	}
	byID := map[string]*Entry{}
	children := map[string]int{}
	for _, entry := range entries {
		byID[entry.ID] = entry
	}
	for _, entry := range entries {
		if slices.Contains(watchers, entry.ID) {
			continue
		}
		children[SyncPeers(*entry, entries, 1)[0]]++
		at := entry
		for depth := 0; !slices.Contains(watchers, at.ID); depth++ {
			at = byID[SyncPeers(*at, entries, 1)[0]]
			if depth > 3 || at.FailureDomain != entry.FailureDomain {
				t.Fatalf("%s reaches %s after %d steps", entry.ID, at.ID, depth)
			}
		}
	}
	for id, count := range children {
		if count > SyncFanOut {
			t.Errorf("%s serves %d entries", id, count)
		}
	}
}
