package backends

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

func TestSilentServerIsAvoidedUntilItIsHeard(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.Began(now, "a")
	if tracker.Health(now.Add(minSilence/2), "a").Avoid {
		t.Error("avoided while it may still answer")
	}
	now = now.Add(minSilence)
	if health := tracker.Health(now, "a"); !health.Silent || !health.Avoid {
		t.Errorf("health %+v after a silence", health)
	}
	if tracker.ClaimTrial(now, "a") {
		t.Error("a trial right after the silence began")
	}
	now = now.Add(trialPause)
	if !tracker.ClaimTrial(now, "a") || tracker.ClaimTrial(now, "a") {
		t.Error("not one trial after a pause")
	}
	tracker.Heard(now, "a")
	if tracker.Health(now, "a").Avoid {
		t.Error("avoided though it was heard")
	}
}

func TestSlowServerIsGivenItsTime(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.Began(now, "a")
	now = now.Add(500 * time.Millisecond)
	tracker.Answered(now, "a", 500*time.Millisecond, false)
	tracker.Ended("a")
	tracker.Began(now, "a")
	if tracker.Health(now.Add(2*minSilence), "a").Silent {
		t.Error("a server that needs 500 ms counts as silent after 300 ms")
	}
}

func TestIdleServerIsNotSilent(t *testing.T) {
	tracker := NewTracker()
	tracker.Began(testStart, "a")
	tracker.Answered(testStart, "a", time.Millisecond, false)
	tracker.Ended("a")
	if tracker.Health(testStart.Add(time.Hour), "a").Avoid {
		t.Error("avoided without requests")
	}
}

func TestSilentAgentOfALivingRunner(t *testing.T) {
	tracker := NewTracker()
	tracker.Heard(testStart, "a")
	if !tracker.AgentSilent(testStart.Add(recentlyHeard/2), "a") {
		t.Error("a runner that was just heard doesn't count as living")
	}
	if tracker.AgentSilent(testStart.Add(time.Second), "a") || !tracker.Health(testStart.Add(time.Second), "a").Silent {
		t.Error("a runner that was not heard lately counts as living")
	}
}

func TestFailingServerIsAvoidedForAWhile(t *testing.T) {
	var f Failures
	now := testStart
	for range 3 {
		f.Note(now, true)
	}
	if f.Avoided(now) {
		t.Error("avoided after three outcomes")
	}
	f.Note(now, true)
	if !f.Avoided(now) || f.Avoided(now.Add(avoidFor)) {
		t.Error("not avoided for the first time")
	}
	now = now.Add(avoidFor)
	for range 10 {
		f.Note(now, true)
	}
	if !f.Avoided(now.Add(avoidFor)) {
		t.Error("a relapse isn't avoided longer")
	}
	now = now.Add(time.Hour)
	for range 100 {
		f.Note(now, false)
	}
	f.Note(now, true)
	if f.Avoided(now) {
		t.Error("avoided after one failure in a hundred")
	}
}

func TestForgottenServers(t *testing.T) {
	tracker := NewTracker()
	tracker.Began(testStart, "open")
	tracker.Unreachable(testStart, "gone")
	tracker.Unreachable(testStart, "known")
	tracker.Forget(func(id string) bool { return id == "known" })
	if tracker.Health(testStart, "gone").Silent || !tracker.Health(testStart, "known").Silent {
		t.Error("not just the unknown server was forgotten")
	}
	if tracker.Health(testStart, "open").InFlight != 1 {
		t.Error("a server with open requests was forgotten")
	}
}

func TestPick(t *testing.T) {
	choice := func(id string, health Health, near bool) Choice {
		return Choice{Backend: &fleet.Backend{ID: id, Slots: 4}, Health: health, Near: near}
	}
	fast := Health{Latency: 10 * time.Millisecond}
	tests := []struct {
		name    string
		choices []Choice
		want    int
	}{
		{"none", nil, -1},
		{"the near one of equals", []Choice{choice("a", fast, false), choice("b", fast, true)}, 1},
		{"a far one rather than a busy one", []Choice{
			choice("a", Health{Latency: 10 * time.Millisecond, InFlight: 12}, true), choice("b", fast, false),
		}, 1},
		{"a failing one rather than a silent one", []Choice{
			choice("a", Health{Silent: true, Avoid: true}, true), choice("b", Health{Avoid: true}, false),
		}, 1},
		{"the only one, though it fails", []Choice{choice("a", Health{Silent: true}, true)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(test.choices); got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}
