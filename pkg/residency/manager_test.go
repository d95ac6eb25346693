package residency

import (
	"slices"
	"testing"
	"time"

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
		report:  modelrunner.Report{BornMillis: testBorn},
		refused: map[string]Refuse{},
	}
	f.do(f.manager.Identified(f.now, "runner-1", testBorn))
	f.do(f.manager.Planned(f.now, testPlan(models...)))
	f.send()
	return f
}

func testPlan(models ...string) *wire.RunnerPlan {
	plan := &wire.RunnerPlan{Revision: 1, Slots: 2, MiB: testRunnerMiB, AdapterSlots: 1}
	for _, name := range models {
		plan.Models = append(plan.Models, wire.PlannedModel{
			Name: name, MiB: testModelMiB, AdapterMiB: 1,
			RemoteLoadMillis: 6000, DiskLoadMillis: 1000, MemoryLoadMillis: 300,
			Permitted: true,
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
		case GiveOrder:
			f.orders = append(f.orders, a.Order)
		}
	}
}

// send delivers the runner's report.
func (f *fixture) send() {
	f.t.Helper()
	f.do(f.manager.Reported(f.now, f.report))
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
	f.do(f.manager.Acquire(f.now, Use{
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
	f.do(f.manager.Answered(f.now, result, nil))
}

// hold makes the runner hold models, one on disk after the other.
func (f *fixture) hold(models ...string) {
	f.t.Helper()
	f.report.Models = nil
	for _, name := range models {
		f.report.Models = append(f.report.Models, modelrunner.Held{Name: name, Version: 1})
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
	manager.Reported(testStart, modelrunner.Report{Models: []modelrunner.Held{{Name: "a"}}})
	if text := manager.Explain(testStart, Use{Model: "a", Adapter: "x"}); text == "" {
		t.Fatal("no explanation")
	}
}

func TestUseBeforeThePlanIsRefused(t *testing.T) {
	f := &fixture{t: t, now: testStart, manager: NewManager("agent-1", 7), refused: map[string]Refuse{}}
	f.report = modelrunner.Report{Models: []modelrunner.Held{{Name: "a"}}}
	f.send()
	f.acquire("1", "a", "")
	if got := f.refused["1"].Reason; got != wire.ReasonNotFound {
		t.Fatalf("reason = %q", got)
	}
}
