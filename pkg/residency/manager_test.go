package residency

import (
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	testRunnerMiB = 100
	testModelMiB  = 40
	testStartedAt = 1000
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture drives a manager step by step.
type fixture struct {
	t       *testing.T
	now     time.Time
	manager *Manager
	report  modelrunner.Report
	// granted, refused and orders collect the actions.
	granted []string
	refused map[string]Refuse
	orders  []modelrunner.Order
}

// newFixture returns a manager with a placement and a first report. All models are
// permitted and none is kept.
func newFixture(t *testing.T, models ...string) *fixture {
	t.Helper()
	f := &fixture{
		t:       t,
		now:     testStart,
		manager: NewManager("agent-1", 7),
		report:  modelrunner.Report{StartedAtMillis: testStartedAt},
		refused: map[string]Refuse{},
	}
	f.do(f.manager.UpdateInstance(f.now, "runner-1", testStartedAt))
	f.do(f.manager.UpdatePlacement(f.now, testPlacement(models...)))
	f.sendReport()
	return f
}

func testPlacement(models ...string) *Placement {
	placement := &Placement{Revision: 1, Slots: 2, MiB: testRunnerMiB, AdapterSlots: 1}
	for _, name := range models {
		placement.Models = append(placement.Models, PlacedModel{
			EngineModel: wire.EngineModel{
				Name: name, MiB: testModelMiB, AdapterMiB: 1,
				RemoteLoadMillis: 6000, DiskLoadMillis: 1000, MemoryLoadMillis: 300,
			},
			Permit: wire.ModelPermit{Model: name, Rank: 1},
		})
	}
	return placement
}

func (f *fixture) do(actions []Action) {
	f.t.Helper()
	for _, action := range actions {
		switch a := action.(type) {
		case Grant:
			f.granted = append(f.granted, a.ID)
		case Refuse:
			f.refused[a.ID] = a
		case SendOrder:
			f.orders = append(f.orders, a.Order)
		}
	}
}

// sendReport delivers the runner's report.
func (f *fixture) sendReport() {
	f.t.Helper()
	f.do(f.manager.ReportReceived(f.now, f.report))
}

// advance lets time pass with a report every 100 ms.
func (f *fixture) advance(d time.Duration) {
	f.t.Helper()
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.sendReport()
		f.do(f.manager.Tick(f.now))
	}
}

func (f *fixture) acquire(id, model, adapter string) {
	f.t.Helper()
	f.do(f.manager.Acquire(f.now, Lease{
		ID: id, Model: model, Adapter: adapter, Route: "chat",
		Deadline: f.now.Add(12 * time.Second), StartBy: f.now.Add(10 * time.Second),
		TargetLatency: 300 * time.Millisecond, Tokens: 100, PromptTokens: 100,
	}))
}

// lastOrder returns and clears the only recorded order.
func (f *fixture) lastOrder() modelrunner.Order {
	f.t.Helper()
	if len(f.orders) != 1 {
		f.t.Fatalf("orders = %+v, want one", f.orders)
	}
	order := f.orders[0]
	f.orders = nil
	return order
}

func (f *fixture) respond(result modelrunner.Result) {
	f.t.Helper()
	f.do(f.manager.OrderResponseReceived(f.now, result, nil))
}

// reportLoaded makes the runner report the models as loaded and as cached on disk.
func (f *fixture) reportLoaded(models ...string) {
	f.t.Helper()
	f.report.Models = nil
	for _, name := range models {
		f.report.Models = append(f.report.Models, modelrunner.LoadedModel{Name: name, Version: 1})
		if !slices.Contains(f.report.OnDisk, name) {
			f.report.OnDisk = append(f.report.OnDisk, name)
		}
	}
	f.sendReport()
}

func TestLeaseOfLoadedModelIsGrantedImmediately(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.reportLoaded("a")
	f.acquire("1", "a", "")
	if !slices.Equal(f.granted, []string{"1"}) {
		t.Fatalf("granted = %v", f.granted)
	}
}

func TestExplainBeforePlacement(t *testing.T) {
	manager := NewManager("agent-1", 7)
	manager.ReportReceived(testStart, modelrunner.Report{Models: []modelrunner.LoadedModel{{Name: "a"}}})
	if text := manager.Explain(testStart, Lease{Model: "a", Adapter: "x"}); text == "" {
		t.Fatal("no explanation")
	}
}

func TestLeaseBeforePlacementIsRefused(t *testing.T) {
	f := &fixture{t: t, now: testStart, manager: NewManager("agent-1", 7), refused: map[string]Refuse{}}
	f.report = modelrunner.Report{Models: []modelrunner.LoadedModel{{Name: "a"}}}
	f.sendReport()
	f.acquire("1", "a", "")
	if got := f.refused["1"].Reason; got != wire.ReasonNotFound {
		t.Fatalf("reason = %q", got)
	}
}

func TestAbsentModelIsLoadedFromDiskAndLeaseGranted(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.report.OnDisk = []string{"a"}
	f.sendReport()
	f.acquire("1", "a", "")
	order := f.lastOrder()
	want := modelrunner.Order{Operation: modelrunner.Load, Model: "a", Instance: "runner-1", Holder: "agent-1", Fence: 7}
	if order != want {
		t.Fatalf("order = %+v, want %+v", order, want)
	}
	f.respond(modelrunner.Accepted)
	f.report.Busy = true
	f.report.Sequence = 1
	f.advance(time.Second)
	if len(f.granted) > 0 {
		t.Fatalf("granted %v before the model was loaded", f.granted)
	}
	f.report.Busy = false
	f.reportLoaded("a")
	if !slices.Equal(f.granted, []string{"1"}) {
		t.Fatalf("granted = %v", f.granted)
	}
}

func TestWeightStoreLoadWaitsForLoadGrant(t *testing.T) {
	f := newFixture(t, "a")
	f.acquire("1", "a", "")
	if len(f.orders) > 0 {
		t.Fatalf("ordered before the load grant was issued: %+v", f.orders)
	}
	if !f.manager.Status(f.now).Models[0].AwaitsLoadGrant {
		t.Fatal("the status doesn't request a load grant")
	}
	f.do(f.manager.LoadGranted(f.now, "a"))
	f.lastOrder()
}

func TestModelInUseIsNotEvicted(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.report.OnDisk = []string{"c"}
	f.reportLoaded("a", "b")
	f.acquire("1", "a", "")
	f.acquire("2", "b", "")
	f.acquire("3", "c", "")
	f.advance(time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while both models are in use: %+v", f.orders)
	}
	f.do(f.manager.Release(f.now, "2"))
	if order := f.lastOrder(); order.Operation != modelrunner.Unload || order.Model != "b" {
		t.Fatalf("order = %+v", order)
	}
}

func TestLeaseIsNotGrantedWhileUnloadIsPending(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.report.OnDisk = []string{"c"}
	f.reportLoaded("a", "b")
	f.acquire("1", "c", "")
	order := f.lastOrder()
	if order.Operation != modelrunner.Unload {
		t.Fatalf("order = %+v", order)
	}
	f.acquire("2", order.Model, "")
	if len(f.granted) > 0 {
		t.Fatalf("granted %v although an unload of the model is pending", f.granted)
	}
}

func TestAdapterOrderWaitsForModelOrder(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.report.OnDisk = []string{"b"}
	f.reportLoaded("a")
	f.acquire("1", "b", "")
	f.lastOrder()
	f.respond(modelrunner.Accepted)
	f.report.Busy = true
	f.report.Sequence = 1
	f.sendReport()
	f.acquire("2", "a", "x")
	f.advance(500 * time.Millisecond)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while the runner is busy: %+v", f.orders)
	}
	f.report.Busy = false
	f.reportLoaded("a", "b")
	if order := f.lastOrder(); order.Adapter != "x" {
		t.Fatalf("order = %+v", order)
	}
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	f := newFixture(t, "a")
	f.report.Models = []modelrunner.LoadedModel{{Name: "a", Adapters: []string{"x"}}}
	f.sendReport()
	f.acquire("1", "a", "x")
	f.acquire("2", "a", "y")
	f.advance(time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while the only adapter is in use: %+v", f.orders)
	}
	f.do(f.manager.Release(f.now, "1"))
	if order := f.lastOrder(); order.Operation != modelrunner.Unload || order.Adapter != "x" {
		t.Fatalf("order = %+v", order)
	}
}

func TestUncertainLoadIsDetectedInReport(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.sendReport()
	f.acquire("1", "a", "")
	f.lastOrder()
	f.respond(modelrunner.Unanswered)
	f.orders = nil
	f.report.Busy = true
	f.report.Sequence = 1
	f.sendReport()
	if state := f.manager.Status(f.now).Models[0].State; state != wire.ModelLoading {
		t.Fatalf("state = %q", state)
	}
}

func TestStaleFenceStopsOrders(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.sendReport()
	f.acquire("1", "a", "")
	f.lastOrder()
	f.respond(modelrunner.StaleFence)
	f.advance(5 * time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered after another incarnation took over: %+v", f.orders)
	}
}

func TestOrdersAfterRunnerRestartUseNewInstance(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.reportLoaded("a")
	f.report.StartedAtMillis = testStartedAt + 1
	f.report.Models = nil
	f.sendReport()
	f.acquire("1", "a", "")
	if len(f.orders) > 0 {
		t.Fatalf("ordered before the new registration was known: %+v", f.orders)
	}
	f.do(f.manager.UpdateInstance(f.now, "runner-2", testStartedAt+1))
	if order := f.lastOrder(); order.Instance != "runner-2" {
		t.Fatalf("order = %+v", order)
	}
}

// The runner accepted no connection at the last call, which is long before it counts
// as down.
func TestNoOrderIsSentToCrashedRunner(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.sendReport()
	f.acquire("1", "a", "")
	if len(f.orders) != 1 {
		t.Fatalf("%d orders, want one", len(f.orders))
	}
	f.do(f.manager.ReportFailed(f.now, true))
	f.respond(modelrunner.Unanswered)
	if len(f.orders) != 1 {
		t.Errorf("%d orders, want no further one while the runner isn't running", len(f.orders))
	}
	f.report.StartedAtMillis++
	f.do(f.manager.UpdateInstance(f.now, "runner-2", f.report.StartedAtMillis))
	f.sendReport()
	if len(f.orders) != 2 || f.orders[1].Instance != "runner-2" {
		t.Errorf("orders %+v, want one more to the new incarnation", f.orders)
	}
}

func TestWaitingLeasesAreRefused(t *testing.T) {
	tests := []struct {
		name  string
		event func(f *fixture)
		want  wire.Reason
	}{
		{"start deadline passed", func(f *fixture) { f.advance(11 * time.Second) }, wire.ReasonDeadline},
		{"runner leaving", func(f *fixture) {
			f.report.State = fleet.BackendDraining
			f.sendReport()
		}, wire.ReasonLeaving},
		{"no reports from the runner", func(f *fixture) {
			f.now = f.now.Add(reportTimeout + time.Millisecond)
			f.do(f.manager.Tick(f.now))
		}, wire.ReasonUnavailable},
		{"permit withdrawn", func(f *fixture) {
			placement := testPlacement("a")
			placement.Revision = 2
			placement.Models[0].Permit = wire.ModelPermit{}
			f.do(f.manager.UpdatePlacement(f.now, placement))
		}, wire.ReasonNoPermit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.acquire("1", "a", "")
			test.event(f)
			if got := f.refused["1"].Reason; got != test.want {
				t.Fatalf("reason = %q, want %q", got, test.want)
			}
		})
	}
}

func TestOlderPlacementIsIgnored(t *testing.T) {
	f := newFixture(t, "a")
	newer := testPlacement("a")
	newer.Revision = 5
	newer.Models[0].Permit = wire.ModelPermit{}
	f.do(f.manager.UpdatePlacement(f.now, newer))
	f.do(f.manager.UpdatePlacement(f.now, testPlacement("a")))
	f.acquire("1", "a", "")
	if got := f.refused["1"].Reason; got != wire.ReasonNoPermit {
		t.Fatalf("reason = %q", got)
	}
}

func TestBatchModelIsDrainedForCostlierModel(t *testing.T) {
	f := newFixture(t, "batch-1", "batch-2", "hot")
	f.report.OnDisk = []string{"hot"}
	f.reportLoaded("batch-1", "batch-2")
	for i, model := range []string{"batch-1", "batch-2"} {
		f.do(f.manager.Acquire(f.now, Lease{
			ID: string(rune('a' + i)), Model: model, Route: "batch", TargetLatency: 3 * time.Second,
			Deadline: f.now.Add(time.Minute), StartBy: f.now.Add(time.Minute),
		}))
	}
	for i := range 10 {
		f.acquire(string(rune('0'+i)), "hot", "")
	}
	f.acquire("late", "batch-1", "")
	if got := f.refused["late"].Reason; got != wire.ReasonNoMemory {
		t.Fatalf("a new lease of a draining model: reason = %q", got)
	}
}

func TestSingleEventDoesNotInflateRate(t *testing.T) {
	var r decayingRate
	r.record(testStart)
	if got := r.current(testStart); got > 0.6 {
		t.Fatalf("one event counts as %.2f per second", got)
	}
	for i := range 100 {
		r.record(testStart.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if got := r.current(testStart.Add(10 * time.Second)); got < 8 || got > 12 {
		t.Fatalf("ten events per second count as %.2f", got)
	}
}

func TestPrefillPacing(t *testing.T) {
	var p prefillPacer
	if p.nextAdmission().After(testStart) {
		t.Fatal("admission is delayed without prompts")
	}
	const prefill = 400 * time.Millisecond
	p.admit(testStart, prefill, 0)
	if got, want := p.nextAdmission().Sub(testStart), time.Duration(float64(prefill)/targetPrefillShare)-prefillBurst; got != want {
		t.Fatalf("next admission after %s, want %s", got, want)
	}
	p = prefillPacer{}
	p.admit(testStart, 2*time.Second, paceDoublingQueue)
	if got := p.nextAdmission().Sub(testStart); got >= 2*time.Second {
		t.Fatalf("waiting requests don't raise the admission rate: %s", got)
	}
}

// Guards against a lease that is granted for an incarnation of the runner with other
// software.
func TestLeaseForAnotherIncarnationIsRefused(t *testing.T) {
	f := newFixture(t, "m")
	lease := func(id string, startedAt int64) Lease {
		return Lease{ID: id, Model: "m", StartedAtMillis: startedAt, Deadline: f.now.Add(time.Minute), StartBy: f.now.Add(time.Minute)}
	}
	f.do(f.manager.Acquire(f.now, lease("before", testStartedAt)))
	f.do(f.manager.Acquire(f.now, lease("any", 0)))
	f.do(f.manager.Acquire(f.now, lease("other", testStartedAt+1)))
	if got := f.refused["other"].Reason; got != wire.ReasonReplaced || len(f.refused) != 1 {
		t.Fatalf("refused %+v", f.refused)
	}
	f.report.StartedAtMillis = testStartedAt + 1
	f.sendReport()
	if got := f.refused["before"].Reason; got != wire.ReasonReplaced || len(f.refused) != 2 {
		t.Errorf("refused %+v after a restart of the runner", f.refused)
	}
}
