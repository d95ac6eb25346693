package residency

import (
	"testing"
	"time"
)

// Guards against requests of one route whose organisations' priorities don't count at the
// agent.
func TestUrgentLeaseOfRouteIsGrantedFirst(t *testing.T) {
	f := newFixture(t, "a")
	for _, wanted := range []struct {
		id       string
		priority int
	}{{"patient", 3}, {"urgent", 0}, {"usual", 1}} {
		f.do(f.manager.Acquire(f.now, Lease{
			ID: wanted.id, Model: "a", Route: "chat", Priority: wanted.priority, Deadline: f.now.Add(12 * time.Second),
			StartBy: f.now.Add(10 * time.Second), TargetLatency: time.Second, Tokens: 1, PromptTokens: 1,
		}))
	}
	if len(f.granted) > 0 {
		t.Fatalf("granted %v before the model is loaded", f.granted)
	}
	f.reportLoaded("a")
	f.advance(time.Second)
	if len(f.granted) < 2 || f.granted[0] != "urgent" || f.granted[1] != "usual" {
		t.Errorf("granted %v, want the urgent one first", f.granted)
	}
}
