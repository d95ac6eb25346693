package backends

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func backend(id, address string, born, sequence int64) fleet.Backend {
	return fleet.Backend{ID: id, Service: "s", Address: address, StartedAtMillis: born, Sequence: sequence}
}

func ids(r *Registry) []string {
	var found []string
	for _, b := range r.Backends() {
		found = append(found, b.ID)
	}
	return found
}

func expect(t *testing.T, r *Registry, want ...string) {
	t.Helper()
	got := ids(r)
	if len(got) != len(want) {
		t.Fatalf("usable %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("usable %v, want %v", got, want)
		}
	}
}

func TestEntriesComeAndGo(t *testing.T) {
	r := NewRegistry()
	if !r.Put(testStart, backend("a", "1", 1, 1)) {
		t.Error("a new server is no change")
	}
	if r.Put(testStart, backend("a", "1", 1, 2)) {
		t.Error("a heartbeat is a change")
	}
	draining := backend("a", "1", 1, 3)
	draining.State = fleet.BackendDraining
	if !r.Put(testStart, draining) {
		t.Error("a leaving server is no change")
	}
	if !r.Remove(testStart, "a") || r.Remove(testStart, "a") {
		t.Error("a removal isn't a change once")
	}
	expect(t, r)
}

func TestOlderWritesAreIgnored(t *testing.T) {
	r := NewRegistry()
	draining := backend("a", "1", 5, 9)
	draining.State = fleet.BackendDraining
	r.Put(testStart, draining)
	r.Put(testStart, backend("a", "1", 5, 8))
	r.Put(testStart, backend("a", "1", 4, 20))
	if got := r.Backends()[0]; got.State != fleet.BackendDraining {
		t.Errorf("an older write counts: %+v", got)
	}
	// The sequence starts anew with an incarnation.
	r.Put(testStart, backend("a", "1", 6, 0))
	if got := r.Backends()[0]; got.State != fleet.BackendReady {
		t.Errorf("the new incarnation doesn't count: %+v", got)
	}
}

func TestUnreadableEntryNamesNoServer(t *testing.T) {
	r := NewRegistry()
	r.Put(testStart, backend("a", "1", 1, 1))
	if !r.Drop(testStart, "a") || r.Drop(testStart, "a") {
		t.Error("an overwritten entry isn't a change once")
	}
	expect(t, r)
	r.Put(testStart, backend("a", "1", 1, 2))
	expect(t, r, "a")
}

// TestSupersededServer checks that the server that was there last has an address.
func TestSupersededServer(t *testing.T) {
	r := NewRegistry()
	r.Put(testStart, backend("old", "1", 1, 1))
	r.Put(testStart, backend("new", "1", 2, 1))
	expect(t, r, "new")
	r.Put(testStart, backend("old", "1", 1, 2))
	expect(t, r, "new")
}

// TestLapsedEntries removes entries after an outage of the store, and without one.
func TestLapsedEntries(t *testing.T) {
	r := NewRegistry()
	r.Put(testStart, backend("a", "1", 1, 1))
	r.Put(testStart, backend("b", "2", 1, 1))
	r.StoreUnstable(testStart)
	if r.Remove(testStart.Add(time.Second), "a") {
		t.Error("a lapsed entry is gone at once")
	}
	r.Replace(testStart.Add(time.Second), nil)
	expect(t, r, "a", "b")
	r.Put(testStart.Add(2*time.Second), backend("a", "1", 1, 2))
	later := testStart.Add(time.Second + lapseGrace)
	if !r.Expire(later) {
		t.Error("no server is gone though one didn't come back")
	}
	expect(t, r, "a")
	if !r.Remove(later.Add(lapseGrace), "a") {
		t.Error("a removal long after the outage counts as a lapse")
	}
	expect(t, r)
}

func TestReplaceIsComplete(t *testing.T) {
	r := NewRegistry()
	r.Put(testStart, backend("a", "1", 1, 1))
	r.Put(testStart, backend("b", "2", 1, 1))
	if !r.Replace(testStart, []fleet.Backend{backend("b", "2", 1, 1), backend("c", "3", 1, 1)}) {
		t.Error("no change")
	}
	expect(t, r, "b", "c")
}
