package gateway

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestBestRunner(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	tests := []struct {
		name    string
		runners []testRunner
		want    string
	}{
		{"none", nil, ""},
		{"not one without a permit", []testRunner{{id: "a"}}, ""},
		{"a loaded model before a permit", []testRunner{
			{id: "a", zone: testZone, permitted: true}, {id: "b", permitted: true, status: statusOf(3, loaded)},
		}, "b"},
		{"a loaded model that is busy before a permit", []testRunner{
			{id: "a", status: statusOf(9, loaded)}, {id: "b", permitted: true},
		}, "a"},
		{"the less loaded one", []testRunner{
			{id: "a", status: statusOf(6, loaded)}, {id: "b", status: statusOf(2, loaded)},
		}, "b"},
		{"the one in the same failure domain at equal load", []testRunner{
			{id: "a", status: statusOf(2, loaded)}, {id: "b", zone: testZone, status: statusOf(2, loaded)},
		}, "b"},
		{"one that is already loading the model", []testRunner{
			{id: "a", zone: testZone, permitted: true}, {id: "b", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoading})},
		}, "b"},
		{"the shorter wait for a load", []testRunner{
			{id: "a", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 2000})},
			{id: "b", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 500})},
		}, "b"},
		{"one where a load is wanted and expected soon", []testRunner{
			{id: "a", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 500})},
			{id: "b", permitted: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 1500})},
		}, "b"},
		{"not one where a load is wanted but expected late", []testRunner{
			{id: "a", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 1250})},
			{id: "b", permitted: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 4000})},
		}, "a"},
		{"not one that is leaving", []testRunner{
			{id: "a", status: &wire.RunnerStatus{Leaving: true, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
		}, ""},
		{"not one that is registered as draining", []testRunner{
			{id: "a", draining: true, status: statusOf(0, loaded)},
		}, ""},
		{"not one that is down", []testRunner{
			{id: "a", status: &wire.RunnerStatus{Down: true, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
		}, ""},
		{"one without a fresh status only if it has the model loaded", []testRunner{
			{id: "a", noStatus: true, loaded: true}, {id: "b", noStatus: true, permitted: true},
		}, "a"},
		{"one with failing requests last", []testRunner{
			{id: "a", zone: testZone, status: &wire.RunnerStatus{Failing: true, Slots: 10, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}}},
			{id: "b", permitted: true},
		}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl(testStart, test.runners...)
			if got := chosenID(c, backends.NewTracker(), testStart); got != test.want {
				t.Errorf("chose %q, want %q", got, test.want)
			}
		})
	}
}

func TestExcludedRunnersAreNotChosen(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	c := newTestControl(testStart, testRunner{id: "a", status: statusOf(0, loaded)}, testRunner{id: "b", status: statusOf(5, loaded)})
	tracker := backends.NewTracker()
	if got := chosenID(c, tracker, testStart, "a"); got != "b" {
		t.Errorf("chose %q", got)
	}
	if got := chosenID(c, tracker, testStart, "a", "b"); got != "" {
		t.Errorf("chose %q", got)
	}
}

func TestUnreachableRunnerIsChosenLast(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	c := newTestControl(testStart, testRunner{id: "a", status: statusOf(0, loaded)}, testRunner{id: "b", status: statusOf(5, loaded)})
	tracker := backends.NewTracker()
	tracker.ConnectFailed(testStart, "a")
	if got := chosenID(c, tracker, testStart); got != "b" {
		t.Errorf("chose %q", got)
	}
}

// TestStatusOfEarlierIncarnationIsIgnored registers a restarted runner under the
// same ID before its agent has reported the restart.
func TestStatusOfEarlierIncarnationIsIgnored(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})})
	restarted := c.registry.Backends()[0]
	restarted.StartedAtMillis = 2
	c.registry.Put(testStart, restarted)
	c.publish()
	if got := chosenID(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q for the models of its earlier incarnation", got)
	}
}

// TestRegistrationOfEarlierIncarnationIsIgnored has an agent report a restarted
// runner (after a power loss) while the store still has the previous registration.
func TestRegistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", loaded: true})
	receiveStatus(c, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 2})
	c.publish()
	if got := chosenID(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q for the models of its earlier incarnation", got)
	}
}

func TestExpiredStatusIsIgnored(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", permitted: true})
	if got := chosenID(c, backends.NewTracker(), testStart); got != "a" {
		t.Fatalf("chose %q", got)
	}
	if got := chosenID(c, backends.NewTracker(), testStart.Add(statusTTL)); got != "" {
		t.Errorf("chose %q, whose status has expired and which can't load the model", got)
	}
	c.markAgentDisconnected("host-a", c.agents["host-a"].source)
	if got := chosenID(c, backends.NewTracker(), testStart); got != "" {
		t.Errorf("chose %q, whose agent is disconnected", got)
	}
}

// Guards against a refusal because the healthiest runner loads the model too late, though
// another one has it loaded.
func TestRunnerThatLoadsTooLateIsNotChosen(t *testing.T) {
	c := newTestControl(testStart,
		testRunner{id: "a", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})},
		testRunner{id: "b", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 6000})})
	tracker := backends.NewTracker()
	tracker.ConnectFailed(testStart, "a")
	for _, test := range []struct {
		startIn time.Duration
		want    string
	}{{5 * time.Second, "a"}, {7 * time.Second, "b"}} {
		sel := selectionAt(testStart, c, tracker)
		sel.startBy = testStart.Add(test.startIn)
		got := ""
		if chosen := sel.choose(); chosen != nil {
			got = chosen.ID
		}
		if got != test.want {
			t.Errorf("start in %s: chose %q, want %q", test.startIn, got, test.want)
		}
	}
}

func TestStreamGoesToFasterRunner(t *testing.T) {
	fast := wire.RunnerModel{State: wire.ModelLoaded, EventMillis: 30}
	slow := wire.RunnerModel{State: wire.ModelLoaded, EventMillis: 80}
	c := newTestControl(testStart, testRunner{id: "a", status: statusOf(1, slow)}, testRunner{id: "b", status: statusOf(2, fast)})
	for _, test := range []struct {
		limitsEventGap bool
		want           string
	}{{true, "b"}, {false, "a"}} {
		sel := selectionAt(testStart, c, backends.NewTracker())
		sel.limitsEventGap = test.limitsEventGap
		sel.random = drawEach()
		if got := pickRunner(sel).ID; got != test.want {
			t.Errorf("with a limit on gaps %t: chose %q, want %q", test.limitsEventGap, got, test.want)
		}
	}
}

// drawEach returns a source of random numbers by which two draws give the first and the
// last runner.
func drawEach() func(n int) int {
	calls := 0
	return func(n int) int {
		calls++
		return (calls - 1) % 2 * (n - 1)
	}
}
