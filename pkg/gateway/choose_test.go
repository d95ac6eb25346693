package gateway

import (
	"testing"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestChooseRunner(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	tests := []struct {
		name    string
		runners []testRunner
		want    string
	}{
		{"none", nil, ""},
		{"one that may not hold the model", []testRunner{{id: "a"}}, ""},
		{"a loaded model before a permit", []testRunner{
			{id: "a", zone: testZone, permits: true}, {id: "b", permits: true, status: statusOf(3, loaded)},
		}, "b"},
		{"a permit before a model that is busy", []testRunner{
			{id: "a", status: statusOf(9, loaded)}, {id: "b", permits: true},
		}, "a"},
		{"the less busy one", []testRunner{
			{id: "a", status: statusOf(6, loaded)}, {id: "b", status: statusOf(2, loaded)},
		}, "b"},
		{"the near one of about equals", []testRunner{
			{id: "a", status: statusOf(2, loaded)}, {id: "b", zone: testZone, status: statusOf(2, loaded)},
		}, "b"},
		{"one that loads already", []testRunner{
			{id: "a", zone: testZone, permits: true}, {id: "b", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoading})},
		}, "b"},
		{"the shorter wait for a load", []testRunner{
			{id: "a", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 2000})},
			{id: "b", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 500})},
		}, "b"},
		{"one where the model is wanted and expected soon", []testRunner{
			{id: "a", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 500})},
			{id: "b", permits: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 1500})},
		}, "b"},
		{"not one where the model has been wanted in vain", []testRunner{
			{id: "a", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 1250})},
			{id: "b", permits: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 4000})},
		}, "a"},
		{"not one that leaves", []testRunner{
			{id: "a", status: &wire.RunnerStatus{Leaving: true, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
		}, ""},
		{"not one that has registered that it leaves", []testRunner{
			{id: "a", draining: true, status: statusOf(0, loaded)},
		}, ""},
		{"not one that is down", []testRunner{
			{id: "a", status: &wire.RunnerStatus{Down: true, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
		}, ""},
		{"one whose agent is silent, if it held the model", []testRunner{
			{id: "a", unheard: true, loaded: true}, {id: "b", unheard: true, permits: true},
		}, "a"},
		{"a failing one last", []testRunner{
			{id: "a", zone: testZone, status: &wire.RunnerStatus{Failing: true, Slots: 10, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
			{id: "b", permits: true},
		}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := fixture(testStart, test.runners...)
			if got := chosen(c, backends.NewTracker(), testStart); got != test.want {
				t.Errorf("chose %q, want %q", got, test.want)
			}
		})
	}
}

func TestTriedRunnersAreNotChosenAgain(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	c := fixture(testStart, testRunner{id: "a", status: statusOf(0, loaded)}, testRunner{id: "b", status: statusOf(5, loaded)})
	tracker := backends.NewTracker()
	if got := chosen(c, tracker, testStart, "a"); got != "b" {
		t.Errorf("chose %q", got)
	}
	if got := chosen(c, tracker, testStart, "a", "b"); got != "" {
		t.Errorf("chose %q", got)
	}
}

func TestSilentRunnerIsChosenLast(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	c := fixture(testStart, testRunner{id: "a", status: statusOf(0, loaded)}, testRunner{id: "b", status: statusOf(5, loaded)})
	tracker := backends.NewTracker()
	tracker.ConnectFailed(testStart, "a")
	if got := chosen(c, tracker, testStart); got != "b" {
		t.Errorf("chose %q", got)
	}
}

// TestStatusOfAnEarlierIncarnationDoesNotCount restarts a runner under its ID.
func TestStatusOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})})
	restarted := c.registry.Backends()[0]
	restarted.StartedAtMillis = 2
	c.registry.Put(testStart, restarted)
	c.publish()
	if got := chosen(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q by what it held before", got)
	}
}

// TestRegistrationOfAnEarlierIncarnationDoesNotCount has an agent tell of a runner
// that lost power, while the store still has its registration from before.
func TestRegistrationOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", loaded: true})
	said(c, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 2})
	c.publish()
	if got := chosen(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q by what it held before", got)
	}
}

func TestOldStatusDoesNotCount(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", permits: true})
	if got := chosen(c, backends.NewTracker(), testStart); got != "a" {
		t.Fatalf("chose %q", got)
	}
	if got := chosen(c, backends.NewTracker(), testStart.Add(statusTTL)); got != "" {
		t.Errorf("chose %q, whose agent can't load the model", got)
	}
	c.agentLost("host-a", c.agents["host-a"].from)
	if got := chosen(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q, whose agent is gone", got)
	}
}
