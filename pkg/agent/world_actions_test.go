package agent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxSettlingOrders bounds the orders that follow from each other.
const maxSettlingOrders = 100

// TestModelTableUnderGeneratedHistories lets requests arrive while loads and
// unloads fail, lose their answers or come late, the engine restarts, and
// permits are granted and revoked. After every step the engine holds no more
// than its memory and only what a stored permit allows, and every request is
// started at most once, ends at most once and in time, and is told "not run"
// only if it didn't run.
func TestModelTableUnderGeneratedHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":        w.arrive,
			"finish":        w.finish,
			"cancel":        w.cancel,
			"leave":         w.leave,
			"answer order":  w.answerOrder,
			"lose answer":   w.loseAnswer,
			"late effect":   w.lateEffect,
			"observe":       w.observe,
			"revoke":        w.revoke,
			"grant":         func(rt *rapid.T) { w.grantPermit(drawModel(rt)) },
			"tell permits":  w.tellPermits,
			"remove permit": w.removeStored,
			"read permit":   w.readStored,
			"ask lost":      w.askLost,
			"restart":       w.restartEngine,
			"tick":          func(rt *rapid.T) { w.advance(rapid.IntRange(1, 40).Draw(rt, "ticks")) },
			"":              w.check,
		})
		w.settle()
	})
}

func drawModel(rt *rapid.T) int { return rapid.IntRange(0, worldModels-1).Draw(rt, "model") }

func (w *world) arrive(rt *rapid.T) {
	i := drawModel(rt)
	request := &wire.Request{
		ID:           fmt.Sprintf("request-%d", len(w.requests)),
		Plan:         rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "plan"),
		Weight:       rapid.IntRange(1, 3).Draw(rt, "weight"),
		Model:        modelID(i).Model,
		Version:      "1",
		BudgetMillis: uint32(rapid.IntRange(100, 60_000).Draw(rt, "budget")),
		Tokens:       100,
		MemoryMiB:    modelMiB(i),
	}
	if rapid.Bool().Draw(rt, "with adapter") {
		request.Adapter = fmt.Sprintf("adapter-%d", rapid.IntRange(1, worldAdapters).Draw(rt, "adapter"))
		request.AdapterVersion = "1"
		request.AdapterMemoryMiB = adapterMiB
	}
	t := w.controller.arrive(w.now, request)
	if len(w.requests) > 0 && w.requests[len(w.requests)-1].ticket == t {
		return
	}
	r := w.newServed(t)
	if t.refusedAtOnce() != nil {
		r.ends++
	}
	w.requests = append(w.requests, r)
}

// finish ends a running request, with an answer or a lost one.
func (w *world) finish(rt *rapid.T) {
	var running []*served
	for _, r := range w.requests {
		if r.running && w.canFinish(r) {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		rt.Skip("nothing runs")
	}
	w.end(rapid.SampledFrom(running).Draw(rt, "request"))
}

// cancel lets the caller of a request that hasn't ended go away.
func (w *world) cancel(rt *rapid.T) {
	var open []*served
	for _, r := range w.requests {
		if r.ends == 0 {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		rt.Skip("no open request")
	}
	w.controller.cancelled(w.now, rapid.SampledFrom(open).Draw(rt, "request").ticket)
}

// leave makes the agent leave, in few of the histories. What it has taken in is
// still served or refused in time.
func (w *world) leave(rt *rapid.T) {
	if rapid.IntRange(0, 30).Draw(rt, "leaving") > 0 {
		rt.Skip("stays")
	}
	w.controller.leave("test")
}

// canFinish tells whether a request doesn't wait for its adapter.
func (w *world) canFinish(r *served) bool {
	return r.acquired || r.adapter == (engine.Target{})
}

func (w *world) end(r *served) {
	r.running = false
	if r.acquired {
		w.table.releaseAdapter(w.now, r.adapter)
	}
	if r.broken {
		r.ticket.refuse(wire.OutcomeUnknown, wire.ReasonEngine, retryAfterEngineFailure, "restart")
	}
	r.ticket.answer.finish()
	w.controller.finish(w.now, r.ticket, 100, time.Second)
}

// takeOrder removes and returns an order that is under way. A load is sent only
// if its permit still stands.
func (w *world) takeOrder(rt *rapid.T) order {
	if len(w.orders) == 0 {
		rt.Skip("no order")
	}
	i := rapid.IntRange(0, len(w.orders)-1).Draw(rt, "order")
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	if o.permitted != nil && !o.permitted() {
		o.dropped()
		rt.Skip("the load was dropped")
	}
	return o
}

// answerOrder lets an order succeed or be refused by the engine.
func (w *world) answerOrder(rt *rapid.T) {
	refused := rapid.IntRange(0, 4).Draw(rt, "refused") == 0
	o := w.takeOrder(rt)
	if refused && o.kind != orderUnload {
		o.done(&engine.Error{Op: "load", NotRun: true, Err: errLostAnswer})
		return
	}
	w.carryOut(o)
	o.done(nil)
}

// loseAnswer loses an order's answer. The order has taken effect, will do so
// within the time that the agent waits for, or never.
func (w *world) loseAnswer(rt *rapid.T) {
	effect := rapid.SampledFrom([]string{"done", "late", "never"}).Draw(rt, "effect")
	o := w.takeOrder(rt)
	switch effect {
	case "done":
		w.carryOut(o)
	case "late":
		w.late = append(w.late, lateOrder{order: o, until: w.now.Add(settleDelay)})
	}
	o.done(errLostAnswer)
}

func (w *world) lateEffect(rt *rapid.T) {
	if len(w.late) == 0 {
		rt.Skip("no late order")
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(rt, "late")
	o := w.late[i].order
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.carryOut(o)
}

// advance lets time pass in ticks. Late orders take effect before their time is
// over.
func (w *world) advance(ticks int) {
	for range ticks {
		w.now = w.now.Add(tickInterval)
		w.carryOutOverdue()
		w.controller.tick(w.now)
		w.check(w.t)
	}
}

func (w *world) carryOutOverdue() {
	var left []lateOrder
	for _, late := range w.late {
		if late.until.After(w.now) {
			left = append(left, late)
		} else {
			w.carryOut(late.order)
		}
	}
	w.late = left
}

// observe reads the engine's state. It arrives a little later.
func (w *world) observe(rt *rapid.T) {
	readAt, state := w.now, w.state()
	w.advance(rapid.IntRange(0, 5).Draw(rt, "delay"))
	w.table.observe(w.now, readAt, state)
	w.intact = w.intact || w.isNoticed()
}

// isNoticed tells whether the agent knows what the engine lost.
func (w *world) isNoticed() bool {
	for i := range worldModels {
		m := w.table.model(modelID(i))
		if m.state == wire.ModelLoaded && !m.uncertain && w.held[m.target()] == 0 {
			return false
		}
	}
	for target, a := range w.table.adapters {
		if a.state == wire.ModelLoaded && !a.uncertain && w.held[target] == 0 {
			return false
		}
	}
	return true
}

func (w *world) revoke(rt *rapid.T) {
	id := modelID(drawModel(rt))
	current := w.placements[id]
	if len(current.Permits) == 0 || current.Permits[0].Revoked {
		rt.Skip("nothing to revoke")
	}
	w.revision++
	permit := current.Permits[0]
	permit.Revoked = true
	current.Permits = []wire.Permit{permit}
	current.Revision = w.revision
	w.placements[id] = current
}

// tellPermits passes a stored placement on to the agent.
func (w *world) tellPermits(rt *rapid.T) {
	w.tell(modelID(drawModel(rt)))
}

func (w *world) tell(id placement.ModelVersion) {
	current, ok := w.placements[id]
	if !ok {
		return
	}
	w.table.perform(w.table.holder.Step(placement.PlacementChanged{Placement: current}))
	w.controller.advance(w.now)
}

// removeStored carries out the removal of a permit, by compare-and-swap.
func (w *world) removeStored(rt *rapid.T) {
	if len(w.changes) == 0 {
		rt.Skip("no removal")
	}
	change := w.changes[0]
	w.changes = w.changes[1:]
	id := placement.ModelVersionOf(&change.Placement)
	lost := rapid.IntRange(0, 3).Draw(rt, "lost") == 0
	if w.placements[id].Revision != change.ExpectRevision {
		w.table.perform(w.table.holder.Step(placement.RemoveFailed{Model: id}))
		return
	}
	w.revision++
	change.Placement.Revision = w.revision
	w.placements[id] = change.Placement
	if lost {
		w.table.perform(w.table.holder.Step(placement.RemoveFailed{Model: id}))
		return
	}
	w.table.perform(w.table.holder.Step(placement.Removed{Model: id, Revision: w.revision}))
}

func (w *world) readStored(rt *rapid.T) {
	if len(w.reads) == 0 {
		rt.Skip("no read")
	}
	id := w.reads[0]
	w.reads = w.reads[1:]
	w.tell(id)
}

func (w *world) askLost(rt *rapid.T) {
	if len(w.asks) == 0 {
		rt.Skip("no question")
	}
	done := w.asks[0]
	w.asks = w.asks[1:]
	done()
}

// restartEngine empties the engine. Requests that run on it are lost and end
// later.
func (w *world) restartEngine(*rapid.T) {
	clear(w.held)
	w.late = nil
	w.intact = false
	for _, r := range w.requests {
		r.broken = r.running
	}
}

// settle lets all orders and requests end and demands that none is left.
func (w *world) settle() {
	for range 200 {
		for answered := 0; len(w.orders) > 0; answered++ {
			if answered > maxSettlingOrders {
				w.t.Fatalf("the agent gives orders without end: %v", w.orders)
			}
			o := w.orders[0]
			w.orders = w.orders[1:]
			if o.permitted != nil && !o.permitted() {
				o.dropped()
				continue
			}
			w.carryOut(o)
			o.done(nil)
		}
		for _, r := range w.requests {
			if r.running && w.canFinish(r) {
				w.end(r)
			}
		}
		w.advance(int(time.Second / tickInterval))
	}
	for _, r := range w.requests {
		if r.ends != 1 {
			w.t.Fatalf("request %s ended %d times after everything settled", r.ticket.request.ID, r.ends)
		}
	}
}
