package residency

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// lateLoadMiB is the size of models of which a test's runner holds one.
const lateLoadMiB = 60

// newRestartedFixture returns a manager whose load of model b got no response, and whose
// runner then started again with nothing loaded. The order expects the given number, and the
// runner has the given ID now.
func newRestartedFixture(t *testing.T, expected int64, instance string) *fixture {
	t.Helper()
	f := newFixture(t, "a", "b")
	placement := testPlacement("a", "b")
	placement.Revision++
	for i := range placement.Models {
		placement.Models[i].MiB = lateLoadMiB
	}
	f.do(f.manager.UpdatePlacement(f.now, placement))
	f.report.OnDisk = []string{"a", "b"}
	f.report.Sequence = expected
	f.sendReport()
	f.acquire("1", "b", "")
	f.lastOrder()
	f.respond(modelrunner.Unanswered)
	// The manager sends the order again, and the runner executes that one.
	f.lastOrder()
	f.report.Sequence++
	f.report.Models = []modelrunner.LoadedModel{{Name: "b"}}
	f.respond(modelrunner.Accepted)
	f.sendReport()
	f.report.StartedAtMillis++
	f.report.Sequence = 0
	f.report.Models = nil
	f.sendReport()
	f.do(f.manager.UpdateInstance(f.now, instance, f.report.StartedAtMillis))
	f.do(f.manager.Release(f.now, "1"))
	f.orders = nil
	return f
}

// Guards against an order that leaves no room for a late one to an earlier incarnation of the runner.
func TestRoomIsKeptForLateOrderAfterRestart(t *testing.T) {
	f := newRestartedFixture(t, 1, "runner-1")
	f.acquire("2", "a", "")
	if len(f.orders) > 0 {
		t.Fatalf("ordered %+v, after which the late load of b doesn't fit", f.orders)
	}
	f.do(f.manager.Release(f.now, "2"))
	f.advance(uncertainTTL)
	f.acquire("3", "a", "")
	if order := f.lastOrder(); order.Model != "a" {
		t.Errorf("order %+v, want the load of a once the late order can't come any more", order)
	}
}

// Guards against orders held back for a late one that they exclude.
func TestOrderThatExcludesLateOrderIsSent(t *testing.T) {
	f := newRestartedFixture(t, 0, "runner-1")
	f.acquire("2", "a", "")
	if order := f.lastOrder(); order.Model != "a" || order.Expected != 0 {
		t.Errorf("order %+v, want the load of a with the number that the late order expects", order)
	}
}

// Guards against orders held back for one that names another ID.
func TestLateOrderToAnotherIDHoldsNothingBack(t *testing.T) {
	f := newRestartedFixture(t, 1, "runner-2")
	f.acquire("2", "a", "")
	if order := f.lastOrder(); order.Model != "a" || order.Instance != "runner-2" {
		t.Errorf("order %+v, want the load of a", order)
	}
}

// Guards against a late order that doesn't expect the next number holding back others.
func TestLateOrderThatCannotFollowHoldsNothingBack(t *testing.T) {
	f := newRestartedFixture(t, 5, "runner-1")
	f.acquire("2", "a", "")
	if order := f.lastOrder(); order.Model != "a" {
		t.Errorf("order %+v, want the load of a", order)
	}
}

// Guards against an unload after which a late load that doesn't fit can be executed.
func TestUnloadWaitsForLateOrder(t *testing.T) {
	f := newRestartedFixture(t, 2, "runner-1")
	f.acquire("2", "a", "")
	f.lastOrder()
	f.report.Sequence = 1
	f.report.Models = []modelrunner.LoadedModel{{Name: "a", Adapters: []string{"x"}}}
	f.respond(modelrunner.Accepted)
	f.sendReport()
	f.orders = nil
	f.do(f.manager.Release(f.now, "2"))
	f.acquire("3", "a", "y")
	f.advance(time.Second)
	if len(f.orders) > 0 {
		t.Errorf("ordered %+v, after which the late load of b doesn't fit beside a", f.orders)
	}
}
