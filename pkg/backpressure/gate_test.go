package backpressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTurnedAwayOpensAgain(t *testing.T) {
	g := NewGate()
	server := Incarnation{ID: "a", StartedAtMillis: 1}
	g.RecordRejection(testStart, server, 2*time.Second)
	g.RecordRejection(testStart, server, time.Second)
	if g.AcceptsRequests(testStart.Add(1900*time.Millisecond), server) {
		t.Error("a shorter time ended a longer one")
	}
	if !g.AcceptsRequests(testStart.Add(2*time.Second), server) {
		t.Error("closed after its time")
	}
	if !g.AcceptsRequests(testStart, Incarnation{ID: "a", StartedAtMillis: 2}) {
		t.Error("another start of the server is closed")
	}
}

func TestLeavingServerStaysClosed(t *testing.T) {
	g := NewGate()
	server := Incarnation{ID: "a", StartedAtMillis: 1}
	if !g.RecordLeaving(testStart, server) || g.RecordLeaving(testStart, server) {
		t.Error("not news once")
	}
	g.Sweep(testStart.Add(leavingMemory - time.Second))
	if g.AcceptsRequests(testStart.Add(leavingMemory), server) {
		t.Error("open again")
	}
}

// history is what a host hears and sends, with a model of what it may do.
type history struct {
	gate  *Gate
	now   time.Time
	left  map[Incarnation]bool
	until map[Incarnation]time.Time
}

// TestNothingGoesToClosedServers plays random histories: servers leave, turn
// requests away, start again under their ID, and are swept.
func TestNothingGoesToClosedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{gate: NewGate(), now: testStart, left: make(map[Incarnation]bool), until: make(map[Incarnation]time.Time)}
		server := func() Incarnation {
			return Incarnation{
				ID:              rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"),
				StartedAtMillis: rapid.Int64Range(1, 2).Draw(t, "born"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"leaving": func(*rapid.T) {
				s := server()
				h.gate.RecordLeaving(h.now, s)
				h.left[s] = true
			},
			"turned away": func(t *rapid.T) {
				s := server()
				after := time.Duration(rapid.IntRange(1, 5000).Draw(t, "after")) * time.Millisecond
				h.gate.RecordRejection(h.now, s, after)
				if until := h.now.Add(after); until.After(h.until[s]) {
					h.until[s] = until
				}
			},
			"sweep": func(*rapid.T) { h.gate.Sweep(h.now) },
			"": func(t *rapid.T) {
				for _, s := range []string{"a", "b", "c"} {
					for born := range int64(3) {
						i := Incarnation{ID: s, StartedAtMillis: born}
						want := !h.left[i] && !h.now.Before(h.until[i])
						if got := h.gate.AcceptsRequests(h.now, i); got != want {
							t.Fatalf("%v at %s: open %t, want %t", i, h.now.Sub(testStart), got, want)
						}
					}
				}
			},
		})
	})
}

func TestTurn(t *testing.T) {
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name           string
		opens, startBy time.Time
		spread         float64
		want           Decision
	}{
		{"it can wait", at(400), at(900), 0, Decision{After: 400 * time.Millisecond}},
		{"it can't", at(1000), at(900), 0, Decision{Refuse: true, After: time.Second}},
		{"it opens just now", at(0), at(0), 0, Decision{}},
		{"the last of those that wait", at(400), at(900), 1, Decision{After: 500 * time.Millisecond}},
		{"the spread is bounded", at(8000), at(9000), 1, Decision{After: 8250 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := WaitOrRefuse(testStart, test.opens, test.startBy, test.spread); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
