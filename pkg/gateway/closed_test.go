package gateway

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// loadedRunner is a runner that has the model.
func loadedRunner(id string) testRunner {
	return testRunner{id: id, permits: true, status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})}
}

func TestClosedRunnersAreNotChosen(t *testing.T) {
	c := fixture(testStart, loadedRunner("a"), loadedRunner("b"))
	sel := selectionAt(testStart, c, backends.NewTracker())
	incarnation := func(id string) backpressure.Incarnation { return backpressure.Incarnation{ID: id, StartedAtMillis: 1} }
	if got := sel.choose(); got == nil || got.ID != "a" {
		t.Fatalf("chose %v, want the first", got)
	}
	sel.gate.RecordLeaving(testStart, incarnation("a"))
	if got := sel.choose(); got == nil || got.ID != "b" {
		t.Fatalf("chose %v though the first leaves", got)
	}
	sel.gate.RecordRejection(testStart, incarnation("b"), time.Second)
	if got := sel.choose(); got != nil {
		t.Fatalf("chose %v though all are closed", got)
	}
	if want := testStart.Add(time.Second); !sel.opensAt().Equal(want) {
		t.Errorf("opens at %s, want %s", sel.opensAt(), want)
	}
	sel.now = testStart.Add(time.Second)
	if got := sel.choose(); got == nil || got.ID != "b" {
		t.Errorf("chose %v after the time", got)
	}
}

// TestGrantAtAClosedRunner has a runner say that it leaves while a request waits
// for its use.
func TestGrantAtAClosedRunner(t *testing.T) {
	c := fixture(time.Now(), loadedRunner("a"),
		testRunner{id: "b", permits: true, status: statusOf(0, wire.RunnerModel{State: wire.ModelLoading})})
	leaves, stays := newFakeAgent(true), newFakeAgent(true)
	x := moveFixture(t, 0, c, map[string]*fakeAgent{"a": leaves, "b": stays})
	leaves.before = func() {
		x.noteClosure(c.current().servers[testEngine][0], &forward.Response{Info: forward.ResponseInfo{Leaving: true}})
	}
	chosen, held, ok := x.next(t.Context())
	if !ok || chosen.ID != "b" {
		t.Fatalf("got %v %t, want the runner that stays", chosen, ok)
	}
	held.release(false, 0)
	<-leaves.ended
}

// TestRequestWaitsItsTurn has the only server turn the host away, for less and for
// more than the request can wait.
func TestRequestWaitsItsTurn(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"it can wait", 100 * time.Millisecond, true},
		{"it can't", time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := fixture(time.Now(), loadedRunner("a"))
			x := moveFixture(t, 0, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
			x.noteClosure(c.current().servers[testEngine][0], &forward.Response{Info: forward.ResponseInfo{RetryAfter: test.after}})
			asked := time.Now()
			_, held, ok := x.next(t.Context())
			took := time.Since(asked)
			if ok != test.want {
				t.Fatalf("found a server %t, want %t", ok, test.want)
			}
			held.release(false, 0)
			if ok && took < test.after {
				t.Errorf("it went there after %s", took)
			}
			if !ok && (took > time.Second || x.retryAfter < test.after-time.Second) {
				t.Errorf("refused after %s with %s", took, x.retryAfter)
			}
		})
	}
}
