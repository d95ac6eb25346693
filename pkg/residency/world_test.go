package residency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	worldModels   = 5
	worldAdapters = 3
	worldSlots    = 3
)

// world drives a manager beside a virtual runner and checks what must always
// hold.
type world struct {
	t       *rapid.T
	now     time.Time
	manager *Manager
	runner  *virtualRunner
	plan    *Placement
	fence   int64
	// asked is the order that waits for its answer.
	asked *modelrunner.Order
	// waiting and granted hold the uses by ID.
	waiting map[string]Lease
	granted map[string]Lease
	next    int
}

func newWorld(t *rapid.T) *world {
	plan := worldPlan(t)
	w := &world{
		t:       t,
		now:     testStart,
		plan:    plan,
		runner:  newVirtualRunner(t, plan),
		waiting: map[string]Lease{},
		granted: map[string]Lease{},
	}
	w.startAgent()
	return w
}

func worldPlan(t *rapid.T) *Placement {
	plan := &Placement{
		Revision: 1, Slots: worldSlots, MiB: 100,
		AdapterSlots: rapid.IntRange(1, 3).Draw(t, "adapter slots"),
	}
	for i := range worldModels {
		plan.Models = append(plan.Models, PlacedModel{
			EngineModel: wire.EngineModel{
				Name:       fmt.Sprintf("m%d", i),
				MiB:        rapid.Int64Range(15, 60).Draw(t, "MiB"),
				AdapterMiB: rapid.Int64Range(1, 5).Draw(t, "adapter MiB"),
				// A load takes some steps of the world.
				RemoteLoadMillis: 2000, DiskLoadMillis: 600, MemoryLoadMillis: 200,
			},
			Permit:      1,
			Keep:        rapid.Bool().Draw(t, "keep"),
			Copy:        rapid.Bool().Draw(t, "copy"),
			Interactive: rapid.Bool().Draw(t, "interactive"),
		})
	}
	return plan
}

// startAgent starts a new incarnation of the agent with a higher fencing token.
// Its uses are lost with it.
func (w *world) startAgent() {
	w.fence++
	w.manager = NewManager("agent", w.fence)
	w.asked = nil
	clear(w.waiting)
	clear(w.granted)
	w.do(w.manager.UpdateInstance(w.now, "runner", w.runner.born))
	w.do(w.manager.UpdatePlacement(w.now, w.plan))
}

func (w *world) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Grant:
			w.grant(a.ID)
		case Refuse:
			if _, ok := w.waiting[a.ID]; !ok {
				w.t.Fatalf("use %s refused, which doesn't wait", a.ID)
			}
			delete(w.waiting, a.ID)
		case SendOrder:
			w.checkOrder(a.Order)
		}
	}
}

func (w *world) grant(id string) {
	use, ok := w.waiting[id]
	if !ok {
		w.t.Fatalf("use %s granted, which doesn't wait", id)
	}
	delete(w.waiting, id)
	w.granted[id] = use
	if len(w.granted) > worldSlots {
		w.t.Fatalf("%d uses granted for %d slots", len(w.granted), worldSlots)
	}
}

func (w *world) checkOrder(order modelrunner.Order) {
	if w.asked != nil {
		w.t.Fatalf("order %+v given while %+v waits for its answer", order, *w.asked)
	}
	if order.Operation == modelrunner.Unload {
		for id, use := range w.granted {
			if use.Model == order.Model && (order.Adapter == "" || use.Adapter == order.Adapter) {
				w.t.Fatalf("%+v ordered out while use %s of it runs", order, id)
			}
		}
	}
	w.asked = &order
}

func (w *world) acquire(t *rapid.T) {
	w.next++
	use := Lease{
		ID:            fmt.Sprint(w.next),
		Model:         fmt.Sprintf("m%d", rapid.IntRange(0, worldModels-1).Draw(t, "model")),
		Route:         "chat",
		Deadline:      w.now.Add(30 * time.Second),
		StartBy:       w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second}).Draw(t, "start by")),
		TargetLatency: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 3 * time.Second}).Draw(t, "target"),
		Tokens:        100,
		PromptTokens:  100,
	}
	if rapid.Bool().Draw(t, "with adapter") {
		use.Adapter = fmt.Sprintf("a%d", rapid.IntRange(1, worldAdapters).Draw(t, "adapter"))
	}
	w.waiting[use.ID] = use
	w.do(w.manager.Acquire(w.now, use))
}

func (w *world) release(t *rapid.T) {
	ids := slices.Concat(slices.Sorted(maps.Keys(w.granted)), slices.Sorted(maps.Keys(w.waiting)))
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "use")
	delete(w.granted, id)
	delete(w.waiting, id)
	w.do(w.manager.Release(w.now, id))
}

// pass lets time go by and delivers a report, as the agent polls.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.runner.pass(w.now)
	w.do(w.manager.Tick(w.now))
}

func (w *world) report() { w.do(w.manager.ReportReceived(w.now, w.runner.report())) }

// deliver carries the order that waits to the runner and its answer back. The
// answer, or the order itself for a while, may be lost on the way.
func (w *world) deliver(t *rapid.T, fate string) {
	if w.asked == nil {
		return
	}
	order := *w.asked
	w.asked = nil
	switch fate {
	case "arrives":
		result := w.runner.take(w.now, order)
		report := w.runner.report()
		w.do(w.manager.OrderAnswered(w.now, result, &report))
	case "answer lost":
		w.runner.take(w.now, order)
		w.do(w.manager.OrderAnswered(w.now, modelrunner.Unanswered, nil))
	default:
		const longest = int(doubtTTL / time.Millisecond)
		delay := time.Duration(rapid.IntRange(1, longest-1).Draw(t, "delay")) * time.Millisecond
		w.runner.late = append(w.runner.late, lateOrder{order: order, arrives: w.now.Add(delay)})
		w.do(w.manager.OrderAnswered(w.now, modelrunner.Unanswered, nil))
	}
}

func (w *world) grantStarts() {
	for _, model := range w.manager.Status(w.now).Models {
		if model.AwaitsLoadGrant {
			w.do(w.manager.LoadGranted(w.now, model.Name))
		}
	}
}

// restartRunner loses the runner's state; the uses that ran on it fail.
func (w *world) restartRunner() {
	w.runner.restart()
	w.do(w.manager.UpdateInstance(w.now, "runner", w.runner.born))
	for _, id := range slices.Sorted(maps.Keys(w.granted)) {
		delete(w.granted, id)
		w.do(w.manager.Release(w.now, id))
	}
}

// settle lets everything arrive and checks that every use comes to an end.
func (w *world) settle(t *rapid.T) {
	const step = 50 * time.Millisecond
	for range int(40 * time.Second / step) {
		w.pass(step)
		w.deliver(t, "arrives")
		w.report()
		w.deliver(t, "arrives")
		w.grantStarts()
		for _, id := range slices.Sorted(maps.Keys(w.granted)) {
			delete(w.granted, id)
			w.do(w.manager.Release(w.now, id))
		}
	}
	if len(w.waiting) > 0 {
		t.Fatalf("uses still wait: %v", slices.Sorted(maps.Keys(w.waiting)))
	}
	use := Lease{ID: "last", Model: "m0", Route: "chat", Deadline: w.now.Add(time.Minute), StartBy: w.now.Add(time.Minute)}
	w.waiting[use.ID] = use
	w.do(w.manager.Acquire(w.now, use))
	for range int(20 * time.Second / step) {
		w.pass(step)
		w.deliver(t, "arrives")
		w.report()
		w.grantStarts()
	}
	if _, ok := w.granted[use.ID]; !ok {
		t.Fatalf("a lone use of a permitted model isn't granted: %s", w.manager.Explain(w.now, use))
	}
}

// TestWorld plays random orders of events, with lost, late and repeated orders and
// restarts, and checks that the runner is never ordered to hold more than it can,
// that nothing in use is ordered out, and that every use comes to an end.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": w.acquire,
			"release": w.release,
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"report":           func(*rapid.T) { w.report() },
			"order arrives":    func(t *rapid.T) { w.deliver(t, "arrives") },
			"order's answer":   func(t *rapid.T) { w.deliver(t, "answer lost") },
			"order comes late": func(t *rapid.T) { w.deliver(t, "late") },
			"starts granted":   func(*rapid.T) { w.grantStarts() },
			"runner restarts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "luck") == 0 {
					w.restartRunner()
				}
			},
			"agent restarts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "luck") == 0 {
					w.startAgent()
				}
			},
		})
		w.settle(t)
	})
}
