package backpressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRejectionMakesServerUnavailableForRetryAfter(t *testing.T) {
	g := NewGate()
	server := Incarnation{ID: "a", StartedAtMillis: 1}
	g.RecordRejection(testStart, server, 2*time.Second)
	g.RecordRejection(testStart, server, time.Second)
	if g.AcceptsRequests(testStart.Add(1900*time.Millisecond), server) {
		t.Error("a shorter retry-after time replaced a longer one")
	}
	if !g.AcceptsRequests(testStart.Add(2*time.Second), server) {
		t.Error("unavailable after the retry-after time")
	}
	if !g.AcceptsRequests(testStart, Incarnation{ID: "a", StartedAtMillis: 2}) {
		t.Error("another incarnation of the server is unavailable")
	}
}

func TestLeavingServerStaysUnavailable(t *testing.T) {
	g := NewGate()
	server := Incarnation{ID: "a", StartedAtMillis: 1}
	if !g.RecordLeaving(testStart, server) || g.RecordLeaving(testStart, server) {
		t.Error("not reported as new exactly once")
	}
	g.Sweep(testStart.Add(leavingRetention - time.Second))
	if g.AcceptsRequests(testStart.Add(leavingRetention), server) {
		t.Error("available again")
	}
}

// gateModel is a reference model of the reports that a Gate received.
type gateModel struct {
	gate    *Gate
	now     time.Time
	leaving map[Incarnation]bool
	until   map[Incarnation]time.Time
}

// TestGateMatchesModel plays random sequences in which servers leave, reject
// requests, restart under the same ID and are swept, and compares the gate with a
// model, so that no request goes to a server that accepts none.
func TestGateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &gateModel{gate: NewGate(), now: testStart, leaving: make(map[Incarnation]bool), until: make(map[Incarnation]time.Time)}
		server := func() Incarnation {
			return Incarnation{
				ID:              rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"),
				StartedAtMillis: rapid.Int64Range(1, 2).Draw(t, "born"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"leaving": func(*rapid.T) {
				s := server()
				model.gate.RecordLeaving(model.now, s)
				model.leaving[s] = true
			},
			"reject request": func(t *rapid.T) {
				s := server()
				after := time.Duration(rapid.IntRange(1, 5000).Draw(t, "after")) * time.Millisecond
				model.gate.RecordRejection(model.now, s, after)
				if until := model.now.Add(after); until.After(model.until[s]) {
					model.until[s] = until
				}
			},
			"sweep": func(*rapid.T) { model.gate.Sweep(model.now) },
			"": func(t *rapid.T) {
				for _, s := range []string{"a", "b", "c"} {
					for startedAt := range int64(3) {
						i := Incarnation{ID: s, StartedAtMillis: startedAt}
						want := !model.leaving[i] && !model.now.Before(model.until[i])
						if got := model.gate.AcceptsRequests(model.now, i); got != want {
							t.Fatalf("%v at %s: accepts requests %t, want %t", i, model.now.Sub(testStart), got, want)
						}
					}
				}
			},
		})
	})
}

func TestWaitOrRefuse(t *testing.T) {
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name                 string
		availableAt, startBy time.Time
		jitter               float64
		want                 Decision
	}{
		{"can wait", at(400), at(900), 0, Decision{After: 400 * time.Millisecond}},
		{"can't wait", at(1000), at(900), 0, Decision{Refuse: true, After: time.Second}},
		{"available now", at(0), at(0), 0, Decision{}},
		{"maximum jitter", at(400), at(900), 1, Decision{After: 500 * time.Millisecond}},
		{"jitter is bounded", at(8000), at(9000), 1, Decision{After: 8250 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := WaitOrRefuse(testStart, test.availableAt, test.startBy, test.jitter); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
