package gateway

import (
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	c := newControl(quiet())
	c.configured(&fleet.Configuration{Version: 7})
	c.configured(&fleet.Configuration{Version: 6})
	if got := c.current().table.Configuration().Version; got != 7 {
		t.Errorf("version %d in force", got)
	}
}

func TestPlacementAndLeaderNeverGoBack(t *testing.T) {
	c := newControl(quiet())
	c.siteChanged(siteChange{placement: &packing.Placement{Revision: 5}, leader: &leaderKnown{host: "front-2", key: 8, at: 8}})
	c.siteChanged(siteChange{placement: &packing.Placement{Revision: 4}, leader: &leaderKnown{host: "front-1", key: 3, at: 3}})
	current := c.current()
	if current.placement.Revision != 5 || current.leader.host != "front-2" {
		t.Errorf("placement %d, leader %s", current.placement.Revision, current.leader.host)
	}
	c.siteChanged(siteChange{leader: &leaderKnown{at: 9}})
	if got := c.current().leader; got.host != "" {
		t.Errorf("leader %+v after its key was removed", got)
	}
}

func TestHostsComeAndGo(t *testing.T) {
	c := newControl(quiet())
	c.siteChanged(siteChange{hosts: []roster.Host{{ID: "front-1", Role: keys.RoleEntry}, {ID: "side-1", Role: keys.RoleAgent}}})
	before := c.current()
	c.siteChanged(siteChange{hosts: []roster.Host{{ID: "front-2", Role: keys.RoleEntry}}, gone: []string{"side-1"}})
	if got := c.current(); got.entries() != 2 || len(got.hosts) != 2 {
		t.Errorf("%d entries among %d hosts", got.entries(), len(got.hosts))
	}
	if len(before.hosts) != 2 || before.entries() != 1 {
		t.Error("a view has changed after it was given out")
	}
	c.siteChanged(siteChange{complete: true, hosts: []roster.Host{{ID: "front-9", Role: keys.RoleEntry}}})
	if got := c.current(); len(got.hosts) != 1 {
		t.Errorf("%d hosts after a complete reading", len(got.hosts))
	}
}

func TestPlanOfARunner(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", permits: true}, testRunner{id: "b"})
	current := c.current()
	plan := current.planFor(current.hosts["host-a"])
	if plan == nil || plan.Instance != "a" || plan.Revision != 5 || plan.AsOf != 9 || plan.Engine.Slots != 10 || plan.Engine.MiB != 100 {
		t.Fatalf("plan %+v", plan)
	}
	if want := []wire.ModelPermit{{Model: testModel, Rank: 1}}; !slices.Equal(plan.Permits, want) || len(plan.Engine.Models) != 1 {
		t.Errorf("permits %+v", plan.Permits)
	}
	if other := current.planFor(current.hosts["host-b"]); other == nil || len(other.Permits) != 0 {
		t.Errorf("plan %+v of a runner without a permit", other)
	}
	if unknown := current.planFor(roster.Host{ID: "host-x"}); unknown != nil {
		t.Errorf("plan %+v of a host without a runner", unknown)
	}
}

func TestNewsForAnAgent(t *testing.T) {
	plan := &wire.RunnerPlacement{Revision: 5, AsOf: 9, Instance: "a", Permits: []wire.ModelPermit{{Model: "m", Rank: 2}}}
	taken := &agentState{AgentRecord: &directory.AgentRecord{Status: &wire.RunnerStatus{PlacementRevision: 5}}}
	ignored := &agentState{AgentRecord: &directory.AgentRecord{Status: &wire.RunnerStatus{PlacementRevision: 0}}}
	changed := *plan
	changed.Permits = []wire.ModelPermit{{Model: "m", Rank: 1}}
	later := *plan
	later.AsOf = 10
	otherModels := *plan
	otherModels.Revision = 6
	otherEngine := *plan
	otherEngine.Engine = &wire.Engine{}
	tests := []struct {
		name       string
		plan, last *wire.RunnerPlacement
		state      *agentState
		want       bool
	}{
		{"the first", plan, nil, nil, true},
		{"the same", plan, plan, taken, false},
		{"other permits", &changed, plan, taken, true},
		{"another placement with the same permits", &otherModels, plan, taken, false},
		{"another engine", &otherEngine, plan, taken, true},
		{"known to be newer, though the last was taken", &later, plan, taken, false},
		{"known to be newer, as the last was ignored", &later, plan, ignored, true},
		{"no newer, though the last was ignored", plan, plan, ignored, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := isNews(test.plan, test.last, test.state); got != test.want {
				t.Errorf("news: %t, want %t", got, test.want)
			}
		})
	}
}

func TestRegistrationsAreAppliedInOrder(t *testing.T) {
	registry := backends.NewRegistry()
	server := func(id, address string) registrationChange {
		return registrationChange{id: id, backend: fleet.Backend{ID: id, Address: address}}
	}
	complete := []registrationChange{server("a", "1"), server("b", "2"), {id: "x", unreadable: true}}
	if !applyRegistrations(testStart, registry, true, complete) || len(registry.Backends()) != 2 {
		t.Fatalf("servers %+v", registry.Backends())
	}
	changes := []registrationChange{{id: "a", removed: true}, server("c", "3"), {id: "b", unreadable: true}}
	if !applyRegistrations(testStart, registry, false, changes) {
		t.Error("no change")
	}
	if left := registry.Backends(); len(left) != 1 || left[0].ID != "c" {
		t.Errorf("servers %+v", left)
	}
}

func TestPickDestination(t *testing.T) {
	route := &fleet.Route{Destinations: []fleet.Destination{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := pickDestination(route, at); got != want {
			t.Errorf("at %.3f: %s, want %s", at, got, want)
		}
	}
	if got := pickDestination(&fleet.Route{Destinations: []fleet.Destination{{Service: "a"}}}, 0.5); got != "a" {
		t.Errorf("%s without weights", got)
	}
}

func TestWholeEvents(t *testing.T) {
	for data, want := range map[string]int{
		"": 0, "id: 1\n": 0, "id: 1\n\n": 7, "id: 1\n\nid: 2\nda": 7, "id: 1\n\nid: 2\n\n": 14,
	} {
		if got := wholeEvents([]byte(data)); got != want {
			t.Errorf("%q: %d, want %d", data, got, want)
		}
	}
}

func TestStartBy(t *testing.T) {
	x := &exchange{arrived: testStart, deadline: testStart.Add(time.Minute), route: &fleet.Route{TargetLatency: time.Second, MaxEventGap: 600 * time.Millisecond}}
	if got := x.startBy().Sub(testStart); got != 4800*time.Millisecond-startMargin {
		t.Errorf("must start after %s at the latest", got)
	}
	x.deadline = testStart.Add(time.Second)
	if got := x.startBy().Sub(testStart); got != time.Second-startMargin {
		t.Errorf("must start after %s at the latest, before a deadline of 1 s", got)
	}
}
