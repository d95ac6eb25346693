package routing

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func viewOf(agents ...string) *membership.View {
	view := membership.NewView()
	var hosts []hostlist.Host
	for _, id := range agents {
		hosts = append(hosts, hostlist.Host{
			ID: id, Role: hostlist.RoleAgent, State: hostlist.Live,
			FailureDomain: "d", Address: "192.0.2.1:1", Services: []string{"orders"},
		})
	}
	view.HostsListed(start, hosts)
	return view
}

func statusOf(id string, state wire.ModelState, waitMillis uint32) wire.Status {
	models := []wire.ModelStatus{{Model: "m", Version: "1", State: state, WaitMillis: waitMillis, Cache: wire.CacheDisk}}
	return wire.Status{Runner: id, Incarnation: id + "-1", Sequence: 1, Models: models}
}

func placementOf(runners ...string) []wire.Placement {
	placement := wire.Placement{Model: "m", Version: "1"}
	for i, runner := range runners {
		placement.Permits = append(placement.Permits, wire.Permit{Runner: runner, Epoch: int64(i + 1)})
	}
	return []wire.Placement{placement}
}

func TestChooseReplica(t *testing.T) {
	type statuses map[string]wire.Status
	loaded := func(id string, wait uint32) wire.Status { return statusOf(id, wire.ModelLoaded, wait) }
	tests := []struct {
		name     string
		statuses statuses
		setUp    func(*membership.View)
		tried    []string
		after    time.Duration
		want     string
	}{
		{name: "all cold: first permit", want: "a"},
		{name: "a loaded one", statuses: statuses{"b": loaded("b", 100)}, want: "b"},
		{name: "a loading one", statuses: statuses{"b": statusOf("b", wire.ModelLoading, 3000)}, want: "b"},
		{name: "spill to the next loaded", statuses: statuses{"a": loaded("a", 900), "b": loaded("b", 100)}, want: "b"},
		{name: "shortest queue", statuses: statuses{"a": loaded("a", 900), "b": loaded("b", 800), "c": loaded("c", 900)}, want: "b"},
		{name: "queue shorter than a load", statuses: statuses{"a": loaded("a", 5000), "b": statusOf("b", 0, 0)}, want: "a"},
		{name: "queue longer than a load", statuses: statuses{"a": loaded("a", 9000), "b": statusOf("b", 0, 0)}, want: "b"},
		{name: "a queue drains", statuses: statuses{"a": loaded("a", 900), "b": loaded("b", 0)}, after: time.Second, want: "a"},
		{name: "tried", tried: []string{"a", "b"}, want: "c"},
		{name: "all tried", tried: []string{"a", "b", "c"}, want: ""},
		{name: "leaving", setUp: func(v *membership.View) {
			v.StatusReceived(start, wire.Status{Runner: "a", Leaving: true})
		}, want: "b"},
		{name: "suspected", setUp: func(v *membership.View) { v.CallFailed(start, "a") }, want: "b"},
		{name: "only suspected", setUp: func(v *membership.View) { v.CallFailed(start, "c") }, tried: []string{"a", "b"}, want: "c"},
		{name: "only leaving", setUp: func(v *membership.View) {
			v.StatusReceived(start, wire.Status{Runner: "c", Leaving: true})
		}, tried: []string{"a", "b"}, want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := viewOf("a", "b", "c", "elsewhere")
			for _, status := range test.statuses {
				view.StatusReceived(start, status)
			}
			if test.setUp != nil {
				test.setUp(view)
			}
			table := NewTable(view.Snapshot(), placementOf("a", "b", "c"))
			got, _ := table.Choose(start.Add(test.after), Query{Model: "m", Version: "1"}, test.tried, 0)
			if got.Agent != test.want {
				t.Errorf("got %q, want %q", got.Agent, test.want)
			}
		})
	}
}

func TestChooseProvider(t *testing.T) {
	view := viewOf("a", "b", "c")
	table := NewTable(view.Snapshot(), nil)
	query := Query{Service: "orders", AffinityKey: "k"}
	first, _ := table.Choose(start, query, nil, 1)
	for random := range uint64(20) {
		if again, _ := table.Choose(start, query, nil, random); again != first {
			t.Fatalf("key at %s and %s", first.Agent, again.Agent)
		}
	}
	view.StatusReceived(start, wire.Status{Runner: "b", Running: 9, Slots: 1})
	table = table.WithMembers(view.Snapshot())
	chosen := map[string]int{}
	for random := range uint64(60) {
		target, _ := table.Choose(start, Query{Service: "orders"}, nil, random)
		chosen[target.Agent]++
	}
	if chosen["b"] > 0 || chosen["a"] == 0 || chosen["c"] == 0 {
		t.Errorf("chosen: %v", chosen)
	}
}

func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget()
	retries := 0
	for i := range 10_000 {
		budget.Deposit()
		// A second passes with each 1,000 requests.
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range 3 {
			if budget.Withdraw(now) {
				retries++
			}
		}
	}
	if retries < 1000 || retries > 1011 {
		t.Errorf("%d retries for 10,000 requests in 10 s", retries)
	}
}

// TestForgottenRequestRunsAgain lets the only agent restart while it carries an
// idempotent request, so that it can't resume it.
func TestForgottenRequestRunsAgain(t *testing.T) {
	table := NewTable(viewOf("a").Snapshot(), placementOf("a"))
	for _, idempotent := range []bool{true, false} {
		work := Request{Query: Query{Model: "m", Version: "1"}, Idempotent: idempotent, Deadline: start.Add(time.Minute)}
		attempt := NewAttempt(work, NewRetryBudget(), 1)
		attempt.Start(start, table)
		attempt.Step(start, Accepted{Incarnation: "a-1"}, table)
		if action, ok := attempt.Step(start, Lost{Stage: Sent}, table).(Resume); !ok {
			t.Fatalf("after a lost link: %v, want a resumption", action)
		}
		forgotten := wire.Refusal{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonNotFound}
		action := attempt.Step(start, Refused{Refusal: forgotten}, table)
		switch a := action.(type) {
		case Send:
			if !idempotent || a.Target.Agent != "a" {
				t.Errorf("idempotent %v: sent again to %q", idempotent, a.Target.Agent)
			}
		case Fail:
			if idempotent || a.Refusal.Outcome != wire.OutcomeUnknown {
				t.Errorf("idempotent %v: %+v", idempotent, a.Refusal)
			}
		}
	}
}
