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
	testBorn      = 1000
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture drives a manager by hand.
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

// newFixture returns a manager with a plan and a first report. All models are
// permitted and kept nowhere.
func newFixture(t *testing.T, models ...string) *fixture {
	t.Helper()
	f := &fixture{
		t:       t,
		now:     testStart,
		manager: NewManager("agent-1", 7),
		report:  modelrunner.Report{StartedAtMillis: testBorn},
		refused: map[string]Refuse{},
	}
	f.do(f.manager.UpdateInstance(f.now, "runner-1", testBorn))
	f.do(f.manager.UpdatePlacement(f.now, testPlan(models...)))
	f.send()
	return f
}

func testPlan(models ...string) *Placement {
	plan := &Placement{Revision: 1, Slots: 2, MiB: testRunnerMiB, AdapterSlots: 1}
	for _, name := range models {
		plan.Models = append(plan.Models, PlacedModel{
			EngineModel: wire.EngineModel{
				Name: name, MiB: testModelMiB, AdapterMiB: 1,
				RemoteLoadMillis: 6000, DiskLoadMillis: 1000, MemoryLoadMillis: 300,
			},
			Permit: 1,
		})
	}
	return plan
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

// send delivers the runner's report.
func (f *fixture) send() {
	f.t.Helper()
	f.do(f.manager.ReportReceived(f.now, f.report))
}

// pass lets time go by with a report each 100 ms.
func (f *fixture) pass(d time.Duration) {
	f.t.Helper()
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.send()
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

// lastOrder returns the only order that waits for its answer.
func (f *fixture) lastOrder() modelrunner.Order {
	f.t.Helper()
	if len(f.orders) != 1 {
		f.t.Fatalf("orders = %+v, want one", f.orders)
	}
	order := f.orders[0]
	f.orders = nil
	return order
}

func (f *fixture) answer(result modelrunner.Result) {
	f.t.Helper()
	f.do(f.manager.OrderAnswered(f.now, result, nil))
}

// hold makes the runner hold models, one on disk after the other.
func (f *fixture) hold(models ...string) {
	f.t.Helper()
	f.report.Models = nil
	for _, name := range models {
		f.report.Models = append(f.report.Models, modelrunner.LoadedModel{Name: name, Version: 1})
		if !slices.Contains(f.report.OnDisk, name) {
			f.report.OnDisk = append(f.report.OnDisk, name)
		}
	}
	f.send()
}

func TestUseOfALoadedModelIsGrantedAtOnce(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.hold("a")
	f.acquire("1", "a", "")
	if !slices.Equal(f.granted, []string{"1"}) {
		t.Fatalf("granted = %v", f.granted)
	}
}

func TestExplainBeforeThePlan(t *testing.T) {
	manager := NewManager("agent-1", 7)
	manager.ReportReceived(testStart, modelrunner.Report{Models: []modelrunner.LoadedModel{{Name: "a"}}})
	if text := manager.Explain(testStart, Lease{Model: "a", Adapter: "x"}); text == "" {
		t.Fatal("no explanation")
	}
}

func TestUseBeforeThePlanIsRefused(t *testing.T) {
	f := &fixture{t: t, now: testStart, manager: NewManager("agent-1", 7), refused: map[string]Refuse{}}
	f.report = modelrunner.Report{Models: []modelrunner.LoadedModel{{Name: "a"}}}
	f.send()
	f.acquire("1", "a", "")
	if got := f.refused["1"].Reason; got != wire.ReasonNotFound {
		t.Fatalf("reason = %q", got)
	}
}

func TestAbsentModelIsLoadedFromDiskAndTheUseGranted(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.report.OnDisk = []string{"a"}
	f.send()
	f.acquire("1", "a", "")
	order := f.lastOrder()
	want := modelrunner.Order{Operation: modelrunner.Load, Model: "a", Instance: "runner-1", Holder: "agent-1", Fence: 7}
	if order != want {
		t.Fatalf("order = %+v, want %+v", order, want)
	}
	f.answer(modelrunner.Accepted)
	f.report.Busy = true
	f.report.Sequence = 1
	f.pass(time.Second)
	if len(f.granted) > 0 {
		t.Fatalf("granted %v before the model was there", f.granted)
	}
	f.report.Busy = false
	f.hold("a")
	if !slices.Equal(f.granted, []string{"1"}) {
		t.Fatalf("granted = %v", f.granted)
	}
}

func TestLoadFromTheWeightStoreWaitsForLeave(t *testing.T) {
	f := newFixture(t, "a")
	f.acquire("1", "a", "")
	if len(f.orders) > 0 {
		t.Fatalf("ordered without leave: %+v", f.orders)
	}
	if !f.manager.Status(f.now).Models[0].AwaitsLoadGrant {
		t.Fatal("the status doesn't ask for leave")
	}
	f.do(f.manager.LoadGranted(f.now, "a"))
	f.lastOrder()
}

func TestModelInUseDoesNotMakeWay(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.report.OnDisk = []string{"c"}
	f.hold("a", "b")
	f.acquire("1", "a", "")
	f.acquire("2", "b", "")
	f.acquire("3", "c", "")
	f.pass(time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while both models are in use: %+v", f.orders)
	}
	f.do(f.manager.Release(f.now, "2"))
	if order := f.lastOrder(); order.Operation != modelrunner.Unload || order.Model != "b" {
		t.Fatalf("order = %+v", order)
	}
}

func TestUseIsNotGrantedWhileItsModelIsOrderedOut(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.report.OnDisk = []string{"c"}
	f.hold("a", "b")
	f.acquire("1", "c", "")
	order := f.lastOrder()
	if order.Operation != modelrunner.Unload {
		t.Fatalf("order = %+v", order)
	}
	f.acquire("2", order.Model, "")
	if len(f.granted) > 0 {
		t.Fatalf("granted %v of a model that is ordered out", f.granted)
	}
}

func TestAdapterOrderWaitsForTheOrderOfAModel(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.report.OnDisk = []string{"b"}
	f.hold("a")
	f.acquire("1", "b", "")
	f.lastOrder()
	f.answer(modelrunner.Accepted)
	f.report.Busy = true
	f.report.Sequence = 1
	f.send()
	f.acquire("2", "a", "x")
	f.pass(500 * time.Millisecond)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while the runner is busy: %+v", f.orders)
	}
	f.report.Busy = false
	f.hold("a", "b")
	if order := f.lastOrder(); order.Adapter != "x" {
		t.Fatalf("order = %+v", order)
	}
}

func TestAdapterInUseDoesNotMakeWay(t *testing.T) {
	f := newFixture(t, "a")
	f.report.Models = []modelrunner.LoadedModel{{Name: "a", Adapters: []string{"x"}}}
	f.send()
	f.acquire("1", "a", "x")
	f.acquire("2", "a", "y")
	f.pass(time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered while the only adapter is in use: %+v", f.orders)
	}
	f.do(f.manager.Release(f.now, "1"))
	if order := f.lastOrder(); order.Operation != modelrunner.Unload || order.Adapter != "x" {
		t.Fatalf("order = %+v", order)
	}
}

func TestLostAnswerOfALoadIsRecognisedInTheReport(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.send()
	f.acquire("1", "a", "")
	f.lastOrder()
	f.answer(modelrunner.Unanswered)
	f.orders = nil
	f.report.Busy = true
	f.report.Sequence = 1
	f.send()
	if state := f.manager.Status(f.now).Models[0].State; state != wire.ModelLoading {
		t.Fatalf("state = %q", state)
	}
}

func TestOrdersEndWithAHigherFence(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.send()
	f.acquire("1", "a", "")
	f.lastOrder()
	f.answer(modelrunner.StaleFence)
	f.pass(5 * time.Second)
	if len(f.orders) > 0 {
		t.Fatalf("ordered after another incarnation took over: %+v", f.orders)
	}
}

func TestRestartedRunnerIsOrderedUnderItsNewIncarnation(t *testing.T) {
	f := newFixture(t, "a")
	f.report.OnDisk = []string{"a"}
	f.hold("a")
	f.report.StartedAtMillis = testBorn + 1
	f.report.Models = nil
	f.send()
	f.acquire("1", "a", "")
	if len(f.orders) > 0 {
		t.Fatalf("ordered before the new registration is known: %+v", f.orders)
	}
	f.do(f.manager.UpdateInstance(f.now, "runner-2", testBorn+1))
	if order := f.lastOrder(); order.Instance != "runner-2" {
		t.Fatalf("order = %+v", order)
	}
}

func TestWaitingUsesAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		happen func(f *fixture)
		want   wire.Reason
	}{
		{"when they can't start in time", func(f *fixture) { f.pass(11 * time.Second) }, wire.ReasonDeadline},
		{"when the runner leaves", func(f *fixture) {
			f.report.State = fleet.BackendDraining
			f.send()
		}, wire.ReasonLeaving},
		{"when the runner is silent", func(f *fixture) {
			f.now = f.now.Add(downAfter + time.Millisecond)
			f.do(f.manager.Tick(f.now))
		}, wire.ReasonUnavailable},
		{"when the permit goes", func(f *fixture) {
			plan := testPlan("a")
			plan.Revision = 2
			plan.Models[0].Permit = 0
			f.do(f.manager.UpdatePlacement(f.now, plan))
		}, wire.ReasonNoPermit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.acquire("1", "a", "")
			test.happen(f)
			if got := f.refused["1"].Reason; got != test.want {
				t.Fatalf("reason = %q, want %q", got, test.want)
			}
		})
	}
}

func TestOlderPlanIsIgnored(t *testing.T) {
	f := newFixture(t, "a")
	newer := testPlan("a")
	newer.Revision = 5
	newer.Models[0].Permit = 0
	f.do(f.manager.UpdatePlacement(f.now, newer))
	f.do(f.manager.UpdatePlacement(f.now, testPlan("a")))
	f.acquire("1", "a", "")
	if got := f.refused["1"].Reason; got != wire.ReasonNoPermit {
		t.Fatalf("reason = %q", got)
	}
}

func TestPatientModelIsEmptiedForOneThatIsWorthMore(t *testing.T) {
	f := newFixture(t, "batch-1", "batch-2", "hot")
	f.report.OnDisk = []string{"hot"}
	f.hold("batch-1", "batch-2")
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
		t.Fatalf("a new use of a model that is to make way: reason = %q", got)
	}
}

func TestYoungRateIsNoFlood(t *testing.T) {
	var r rate
	r.note(testStart)
	if got := r.current(testStart); got > 0.6 {
		t.Fatalf("one event counts as %.2f a second", got)
	}
	for i := range 100 {
		r.note(testStart.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if got := r.current(testStart.Add(10 * time.Second)); got < 8 || got > 12 {
		t.Fatalf("ten events a second count as %.2f", got)
	}
}

func TestPromptsAreSpaced(t *testing.T) {
	var p promptPacer
	if p.opensAt().After(testStart) {
		t.Fatal("closed without prompts")
	}
	const reading = 400 * time.Millisecond
	p.admit(testStart, reading, 0)
	if got, want := p.opensAt().Sub(testStart), time.Duration(float64(reading)/promptShare)-promptBurst; got != want {
		t.Fatalf("opens after %s, want %s", got, want)
	}
	p = promptPacer{}
	p.admit(testStart, 2*time.Second, promptHurry)
	if got := p.opensAt().Sub(testStart); got >= 2*time.Second {
		t.Fatalf("waiting requests don't hurry the next prompt: %s", got)
	}
}
