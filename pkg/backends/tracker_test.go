package backends

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

func TestUnresponsiveServerIsAvoidedUntilDataArrives(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.RequestStarted(now, "a")
	if tracker.Health(now.Add(minTimeout/2), "a").Avoid {
		t.Error("avoided while it may still respond")
	}
	now = now.Add(minTimeout)
	if health := tracker.Health(now, "a"); !health.Unresponsive || !health.Avoid {
		t.Errorf("health %+v after the timeout", health)
	}
	if tracker.ClaimProbe(now, "a") {
		t.Error("a probe right after the timeout")
	}
	now = now.Add(probeInterval)
	if !tracker.ClaimProbe(now, "a") || tracker.ClaimProbe(now, "a") {
		t.Error("not exactly one probe per interval")
	}
	tracker.DataReceived(now, "a")
	if tracker.Health(now, "a").Avoid {
		t.Error("avoided although data arrived")
	}
}

func TestTimeoutScalesWithLatency(t *testing.T) {
	tracker := NewTracker()
	now := testStart
	tracker.RequestStarted(now, "a")
	now = now.Add(500 * time.Millisecond)
	tracker.ResponseStarted(now, "a", 500*time.Millisecond, false)
	tracker.RequestEnded("a")
	tracker.RequestStarted(now, "a")
	if tracker.Health(now.Add(2*minTimeout), "a").Unresponsive {
		t.Error("a server with a latency of 500 ms is unresponsive after 300 ms")
	}
}

func TestIdleServerIsNotUnresponsive(t *testing.T) {
	tracker := NewTracker()
	tracker.RequestStarted(testStart, "a")
	tracker.ResponseStarted(testStart, "a", time.Millisecond, false)
	tracker.RequestEnded("a")
	if tracker.Health(testStart.Add(time.Hour), "a").Avoid {
		t.Error("avoided without requests")
	}
}

func TestAgentUnresponsiveWhileServerResponds(t *testing.T) {
	tracker := NewTracker()
	tracker.DataReceived(testStart, "a")
	if !tracker.AgentUnresponsive(testStart.Add(recentContact/2), "a") {
		t.Error("a runner that just sent data isn't considered alive")
	}
	if tracker.AgentUnresponsive(testStart.Add(time.Second), "a") || !tracker.Health(testStart.Add(time.Second), "a").Unresponsive {
		t.Error("a runner that sent nothing recently is considered alive")
	}
}

func TestFailingServerIsAvoidedWithBackoff(t *testing.T) {
	var f FailureRate
	now := testStart
	for range 3 {
		f.Record(now, true)
	}
	if f.ShouldAvoid(now) {
		t.Error("avoided before the minimum number of outcomes")
	}
	f.Record(now, true)
	if !f.ShouldAvoid(now) || f.ShouldAvoid(now.Add(minAvoidance)) {
		t.Error("not avoided for the minimum time")
	}
	now = now.Add(minAvoidance)
	for range 10 {
		f.Record(now, true)
	}
	if !f.ShouldAvoid(now.Add(minAvoidance)) {
		t.Error("repeated failures don't double the avoidance")
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

func TestPruneKeepsKnownAndBusyServers(t *testing.T) {
	tracker := NewTracker()
	tracker.RequestStarted(testStart, "open")
	tracker.ConnectFailed(testStart, "gone")
	tracker.ConnectFailed(testStart, "known")
	tracker.Prune(func(id string) bool { return id == "known" })
	if tracker.Health(testStart, "gone").Unresponsive || !tracker.Health(testStart, "known").Unresponsive {
		t.Error("not exactly the unknown idle server was removed")
	}
	if tracker.Health(testStart, "open").InFlight != 1 {
		t.Error("a server with requests in flight was removed")
	}
}

func TestPick(t *testing.T) {
	candidate := func(id string, health Health, sameDomain bool) Candidate {
		return Candidate{Backend: &fleet.Backend{ID: id, Slots: 4}, Health: health, SameDomain: sameDomain}
	}
	fast := Health{Latency: 10 * time.Millisecond}
	tests := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"same failure domain among equals", []Candidate{candidate("a", fast, false), candidate("b", fast, true)}, 1},
		{"other failure domain rather than a busy server", []Candidate{
			candidate("a", Health{Latency: 10 * time.Millisecond, InFlight: 12}, true), candidate("b", fast, false),
		}, 1},
		{"failing rather than unresponsive", []Candidate{
			candidate("a", Health{Unresponsive: true, Avoid: true}, true), candidate("b", Health{Avoid: true}, false),
		}, 1},
		{"the only one, although unresponsive", []Candidate{candidate("a", Health{Unresponsive: true}, true)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Pick(test.candidates); got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}
