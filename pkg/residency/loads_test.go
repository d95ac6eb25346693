package residency

import (
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// acquirePatient asks for a model on behalf of a request that can wait for a load.
func (f *fixture) acquirePatient(id, model string) {
	f.t.Helper()
	f.do(f.manager.Acquire(f.now, Lease{
		ID: id, Model: model, Route: "batch",
		Deadline: f.now.Add(25 * time.Second), StartBy: f.now.Add(12 * time.Second),
		TargetLatency: 3 * time.Second, Tokens: 100, PromptTokens: 100,
	}))
}

// TestUrgentModelGoesFirst has a model that only patient requests wait for, and
// have for longer, and one that interactive requests ask for.
func TestUrgentModelGoesFirst(t *testing.T) {
	f := newFixture(t, "busy", "other", "patient", "urgent")
	f.report.OnDisk = []string{"patient", "urgent"}
	f.hold("busy", "other")
	f.acquirePatient("1", "busy")
	f.acquirePatient("2", "other")
	f.acquirePatient("3", "patient")
	f.pass(time.Second)
	f.acquire("4", "urgent", "")
	if len(f.orders) != 0 {
		t.Fatalf("ordered %+v while all held models are in use", f.orders)
	}
	f.do(f.manager.Release(f.now, "1"))
	unload := f.lastOrder()
	if unload.Operation != modelrunner.Unload || unload.Model != "busy" {
		t.Fatalf("ordered %+v, want busy out", unload)
	}
	f.answer(modelrunner.Accepted)
	f.report.Sequence++
	f.hold("other")
	if load := f.lastOrder(); load.Operation != modelrunner.Load || load.Model != "urgent" {
		t.Errorf("ordered %+v, want the urgent model in", load)
	}
}

// TestRoomForAnUrgentModelIsNotTaken has a small patient model that would fit into
// what is already free of the room that an urgent one waits for.
func TestRoomForAnUrgentModelIsNotTaken(t *testing.T) {
	f := newFixture(t, "a", "b", "small", "urgent")
	plan := testPlan("a", "b", "small", "urgent")
	plan.Models[2].MiB = 20
	plan.Models[3].MiB = 50
	plan.Revision++
	f.do(f.manager.UpdatePlacement(f.now, plan))
	f.report.OnDisk = []string{"small", "urgent"}
	f.hold("a", "b")
	f.acquirePatient("1", "a")
	f.acquirePatient("2", "b")
	for i := range 5 {
		f.acquire("urgent-"+string(rune('0'+i)), "urgent", "")
	}
	f.acquirePatient("3", "small")
	if len(f.orders) != 0 {
		t.Errorf("ordered %+v, want the room kept for the urgent model", f.orders)
	}
	f.do(f.manager.Release(f.now, "1"))
	if unload := f.lastOrder(); unload.Operation != modelrunner.Unload || unload.Model != "a" {
		t.Errorf("ordered %+v, want a out", unload)
	}
}

// TestARequestCountsOnceAsDemand sends one request to two agents in turn.
func TestARequestCountsOnceAsDemand(t *testing.T) {
	f := newFixture(t, "a")
	f.hold("a")
	use := Lease{
		ID: "1", Model: "a", Route: "chat", Deadline: f.now.Add(time.Minute), StartBy: f.now.Add(time.Minute),
		TargetLatency: 300 * time.Millisecond,
	}
	f.do(f.manager.Acquire(f.now, use))
	once := f.manager.Status(f.now).Models[0].Interactive
	use.ID = "2"
	use.Repeated = true
	f.do(f.manager.Acquire(f.now, use))
	if twice := f.manager.Status(f.now).Models[0].Interactive; once == 0 || twice != once {
		t.Errorf("rate %v after one request, %v after its second try", once, twice)
	}
}

// wantsStart tells whether the status asks for leave to load a model.
func (f *fixture) wantsStart(model string) bool {
	return slices.ContainsFunc(f.manager.Status(f.now).Models, func(known wire.RunnerModel) bool {
		return known.Name == model && known.AwaitsLoadGrant
	})
}

// TestLeaveIsAskedForWhenTheLoadCanBegin has a model in the weight store and a
// runner whose models are all in use.
func TestLeaveIsAskedForWhenTheLoadCanBegin(t *testing.T) {
	f := newFixture(t, "a", "b", "remote", "other")
	f.hold("a", "b")
	f.acquirePatient("1", "a")
	f.acquirePatient("2", "b")
	f.acquirePatient("3", "remote")
	f.acquirePatient("4", "other")
	if f.wantsStart("remote") || f.wantsStart("other") {
		t.Error("leave is asked for though there is no room")
	}
	f.do(f.manager.Release(f.now, "1"))
	if !f.wantsStart("other") || f.wantsStart("remote") {
		t.Error("leave isn't asked for the one load that comes next")
	}
	if len(f.orders) > 0 {
		t.Errorf("ordered %+v before there was leave", f.orders)
	}
}

// TestUrgentModelHasRoomEmptiedOnceItMayLoad has an urgent model in the weight
// store.
func TestUrgentModelHasRoomEmptiedOnceItMayLoad(t *testing.T) {
	f := newFixture(t, "a", "b", "urgent")
	f.hold("a", "b")
	f.acquirePatient("1", "a")
	f.acquirePatient("2", "b")
	for i := range 5 {
		f.acquire("urgent-"+string(rune('0'+i)), "urgent", "")
	}
	if !f.wantsStart("urgent") {
		t.Fatal("leave isn't asked for")
	}
	f.do(f.manager.Release(f.now, "2"))
	f.acquirePatient("3", "a")
	if _, refused := f.refused["3"]; refused {
		t.Error("a model was emptied before the load may begin")
	}
	f.do(f.manager.LoadGranted(f.now, "urgent"))
	if unload := f.lastOrder(); unload.Operation != modelrunner.Unload || unload.Model != "b" {
		t.Errorf("ordered %+v, want the idle model out", unload)
	}
}

// TestHottestModelIsLoadedFirstAfterARestart has an agent and its runner start anew,
// with a plan that keeps several models.
func TestHottestModelIsLoadedFirstAfterARestart(t *testing.T) {
	f := newFixture(t)
	f.report.OnDisk = []string{"a", "b", "c"}
	plan := testPlan("a", "b", "c")
	plan.Revision = 2
	for i, rate := range []float64{0.2, 0, 3} {
		plan.Models[i].Keep = true
		plan.Models[i].Interactive = rate > 0
		plan.Models[i].Rate = rate
	}
	f.send()
	f.do(f.manager.UpdatePlacement(f.now, plan))
	if got := f.lastOrder().Model; got != "c" {
		t.Errorf("%s is loaded first", got)
	}
}

// TestKeptModelsDoNotMakeWayForACopy has a runner that is full with two models, and
// that should have a copy of a third one's weights.
func TestKeptModelsDoNotMakeWayForACopy(t *testing.T) {
	for _, keep := range []bool{true, false} {
		f := newFixture(t, "a", "b", "new")
		plan := testPlan("a", "b", "new")
		plan.Revision = 2
		plan.Models[0].Keep = true
		plan.Models[1].Keep = keep
		plan.Models[2].Copy = true
		f.hold("a", "b")
		f.do(f.manager.UpdatePlacement(f.now, plan))
		// The first request has come and gone, and with it the time for long loads.
		f.acquire("1", "a", "")
		f.do(f.manager.Release(f.now, "1"))
		f.pass(10 * time.Second)
		if got := f.wantsStart("new"); got == keep {
			t.Errorf("leave is asked for: %v, with both models kept: %v", got, keep)
		}
		f.do(f.manager.LoadGranted(f.now, "new"))
		if keep {
			if len(f.orders) != 0 {
				t.Errorf("ordered %+v, want the kept models left", f.orders)
			}
			continue
		}
		if unload := f.lastOrder(); unload.Operation != modelrunner.Unload || unload.Model != "b" {
			t.Errorf("ordered %+v, want b out", unload)
		}
		f.answer(modelrunner.Accepted)
		f.report.Sequence++
		f.hold("a")
		if load := f.lastOrder(); load.Operation != modelrunner.Load || load.Model != "new" {
			t.Errorf("ordered %+v, want the copy in", load)
		}
	}
}
