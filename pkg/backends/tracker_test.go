package backends

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

func TestSilentServerIsAvoidedUntilItIsHeard(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.RequestStarted(now, "a")
	if tracker.Health(now.Add(minSilence/2), "a").Avoid {
		t.Error("avoided while it may still answer")
	}
	now = now.Add(minSilence)
	if health := tracker.Health(now, "a"); !health.Unresponsive || !health.Avoid {
		t.Errorf("health %+v after a silence", health)
	}
	if tracker.ClaimTrial(now, "a") {
		t.Error("a trial right after the silence began")
	}
	now = now.Add(trialPause)
	if !tracker.ClaimTrial(now, "a") || tracker.ClaimTrial(now, "a") {
		t.Error("not one trial after a pause")
	}
	tracker.DataReceived(now, "a")
	if tracker.Health(now, "a").Avoid {
		t.Error("avoided though it was heard")
	}
}

func TestSlowServerIsGivenItsTime(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.RequestStarted(now, "a")
	now = now.Add(500 * time.Millisecond)
	tracker.ResponseStarted(now, "a", 500*time.Millisecond, false)
	tracker.RequestEnded("a")
	tracker.RequestStarted(now, "a")
	if tracker.Health(now.Add(2*minSilence), "a").Unresponsive {
		t.Error("a server that needs 500 ms counts as silent after 300 ms")
	}
}

func TestIdleServerIsNotSilent(t *testing.T) {
	tracker := NewTracker()
	tracker.RequestStarted(testStart, "a")
	tracker.ResponseStarted(testStart, "a", time.Millisecond, false)
	tracker.RequestEnded("a")
	if tracker.Health(testStart.Add(time.Hour), "a").Avoid {
		t.Error("avoided without requests")
	}
}

func TestSilentAgentOfALivingRunner(t *testing.T) {
	tracker := NewTracker()
	tracker.DataReceived(testStart, "a")
	if !tracker.AgentUnresponsive(testStart.Add(recentlyHeard/2), "a") {
		t.Error("a runner that was just heard doesn't count as living")
	}
	if tracker.AgentUnresponsive(testStart.Add(time.Second), "a") || !tracker.Health(testStart.Add(time.Second), "a").Unresponsive {
		t.Error("a runner that was not heard lately counts as living")
	}
}

func TestFailingServerIsAvoidedForAWhile(t *testing.T) {
	var f FailureRate
	now := testStart
	for range 3 {
		f.Record(now, true)
	}
	if f.ShouldAvoid(now) {
		t.Error("avoided after three outcomes")
	}
	f.Record(now, true)
	if !f.ShouldAvoid(now) || f.ShouldAvoid(now.Add(avoidFor)) {
		t.Error("not avoided for the first time")
	}
	now = now.Add(avoidFor)
	for range 10 {
		f.Record(now, true)
	}
	if !f.ShouldAvoid(now.Add(avoidFor)) {
		t.Error("a relapse isn't avoided longer")
	}
	now = now.Add(time.Hour)
	for range 100 {
		f.Record(now, false)
	}
	f.Record(now, true)
	if f.ShouldAvoid(now) {
		t.Error("avoided after one failure in a hundred")
	}
}

func TestForgottenServers(t *testing.T) {
	tracker := NewTracker()
	tracker.RequestStarted(testStart, "open")
	tracker.ConnectFailed(testStart, "gone")
	tracker.ConnectFailed(testStart, "known")
	tracker.Prune(func(id string) bool { return id == "known" })
	if tracker.Health(testStart, "gone").Unresponsive || !tracker.Health(testStart, "known").Unresponsive {
		t.Error("not just the unknown server was forgotten")
	}
	if tracker.Health(testStart, "open").InFlight != 1 {
		t.Error("a server with open requests was forgotten")
	}
}

func TestPick(t *testing.T) {
	choice := func(id string, health Health, near bool) Candidate {
		return Candidate{Backend: &fleet.Backend{ID: id, Slots: 4}, Health: health, SameDomain: near}
	}
	fast := Health{Latency: 10 * time.Millisecond}
	tests := []struct {
		name    string
		choices []Candidate
		want    int
	}{
		{"none", nil, -1},
		{"the near one of equals", []Candidate{choice("a", fast, false), choice("b", fast, true)}, 1},
		{"a far one rather than a busy one", []Candidate{
			choice("a", Health{Latency: 10 * time.Millisecond, InFlight: 12}, true), choice("b", fast, false),
		}, 1},
		{"a failing one rather than a silent one", []Candidate{
			choice("a", Health{Unresponsive: true, Avoid: true}, true), choice("b", Health{Avoid: true}, false),
		}, 1},
		{"the only one, though it fails", []Candidate{choice("a", Health{Unresponsive: true}, true)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(test.choices); got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}
