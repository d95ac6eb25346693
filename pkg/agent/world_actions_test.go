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

// maxDrainOrders bounds the orders that follow from each other.
const maxDrainOrders = 100

// TestModelTableInvariants runs random sequences of requests while loads and
// unloads fail, lose their responses or take effect late, the engine restarts,
// and permits are granted and revoked. It guards against an engine that holds
// more than its memory or models without a stored permit, and against requests
// that start or end more than once, miss their deadline, or are refused as
// "not run" although they ran.
func TestModelTableInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":        w.submit,
			"finish":        w.finish,
			"cancel":        w.cancel,
			"leave":         w.leave,
			"answer order":  w.completeOrder,
			"lose answer":   w.loseResponse,
			"late effect":   w.applyLate,
			"observe":       w.observe,
			"revoke":        w.revoke,
			"grant":         func(rt *rapid.T) { w.grantPermit(drawModel(rt)) },
			"tell permits":  w.relayPermits,
			"remove permit": w.removeStored,
			"read permit":   w.readStored,
			"ask lost":      w.failLoadRequest,
			"restart":       w.restartEngine,
			"tick":          func(rt *rapid.T) { w.advance(rapid.IntRange(1, 40).Draw(rt, "ticks")) },
			"":              w.check,
		})
		w.drainAndCheck()
	})
}

func drawModel(rt *rapid.T) int { return rapid.IntRange(0, simModels-1).Draw(rt, "model") }

func (w *simulation) submit(rt *rapid.T) {
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
		request.Adapter = fmt.Sprintf("adapter-%d", rapid.IntRange(1, simAdapters).Draw(rt, "adapter"))
		request.AdapterVersion = "1"
		request.AdapterMemoryMiB = adapterMiB
	}
	t := w.controller.submit(w.now, request)
	if len(w.requests) > 0 && w.requests[len(w.requests)-1].state == t {
		return
	}
	r := w.newSimulatedRequest(t)
	if t.immediateRefusal() != nil {
		r.ends++
	}
	w.requests = append(w.requests, r)
}

// finish ends a running request; after an engine restart its response is lost.
func (w *simulation) finish(rt *rapid.T) {
	var running []*simulatedRequest
	for _, r := range w.requests {
		if r.running && w.canFinish(r) {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		rt.Skip("nothing runs")
	}
	w.endRequest(rapid.SampledFrom(running).Draw(rt, "request"))
}

// cancel cancels a request that hasn't ended.
func (w *simulation) cancel(rt *rapid.T) {
	var open []*simulatedRequest
	for _, r := range w.requests {
		if r.ends == 0 {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		rt.Skip("no open request")
	}
	w.controller.cancelRequest(w.now, rapid.SampledFrom(open).Draw(rt, "request").state)
}

// leave makes the agent leave, in few of the sequences. Requests that it has
// accepted are still served or refused in time.
func (w *simulation) leave(rt *rapid.T) {
	if rapid.IntRange(0, 30).Draw(rt, "leaving") > 0 {
		rt.Skip("stays")
	}
	w.controller.leave("test")
}

// canFinish reports whether a request doesn't wait for its adapter.
func (w *simulation) canFinish(r *simulatedRequest) bool {
	return r.acquired || r.adapter == (engine.Target{})
}

func (w *simulation) endRequest(r *simulatedRequest) {
	r.running = false
	if r.acquired {
		w.table.releaseAdapter(w.now, r.adapter)
	}
	if r.interrupted {
		r.state.refuse(wire.OutcomeUnknown, wire.ReasonEngine, retryAfterEngineFailure, "restart")
	}
	r.state.response.finish()
	w.controller.finish(w.now, r.state, 100, time.Second)
}

// takeOrder removes and returns an order in progress. A load is sent only if
// its permit is still valid.
func (w *simulation) takeOrder(rt *rapid.T) order {
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

// completeOrder lets an order succeed or be refused by the engine.
func (w *simulation) completeOrder(rt *rapid.T) {
	refused := rapid.IntRange(0, 4).Draw(rt, "refused") == 0
	o := w.takeOrder(rt)
	if refused && o.kind != orderUnload {
		o.done(&engine.Error{Op: "load", NotRun: true, Err: errLostResponse})
		return
	}
	w.applyOrder(o)
	o.done(nil)
}

// loseResponse loses the response to an order. The order has taken effect, will
// do so within the time that the agent allows for it, or never does.
func (w *simulation) loseResponse(rt *rapid.T) {
	effect := rapid.SampledFrom([]string{"done", "late", "never"}).Draw(rt, "effect")
	o := w.takeOrder(rt)
	switch effect {
	case "done":
		w.applyOrder(o)
	case "late":
		w.late = append(w.late, lateOrder{order: o, until: w.now.Add(lateEffectWindow)})
	}
	o.done(errLostResponse)
}

func (w *simulation) applyLate(rt *rapid.T) {
	if len(w.late) == 0 {
		rt.Skip("no late order")
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(rt, "late")
	o := w.late[i].order
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.applyOrder(o)
}

// advance advances the clock in ticks. Late orders take effect before their time
// limit.
func (w *simulation) advance(ticks int) {
	for range ticks {
		w.now = w.now.Add(tickInterval)
		w.applyOverdue()
		w.controller.tick(w.now)
		w.check(w.t)
	}
}

func (w *simulation) applyOverdue() {
	var left []lateOrder
	for _, late := range w.late {
		if late.until.After(w.now) {
			left = append(left, late)
		} else {
			w.applyOrder(late.order)
		}
	}
	w.late = left
}

// observe reads the engine's state, which the agent receives a little later.
func (w *simulation) observe(rt *rapid.T) {
	readAt, state := w.now, w.state()
	w.advance(rapid.IntRange(0, 5).Draw(rt, "delay"))
	w.table.reconcile(w.now, readAt, state)
	w.lossesNoticed = w.lossesNoticed || w.lossesKnown()
}

// lossesKnown reports whether the agent knows everything that the engine lost.
func (w *simulation) lossesKnown() bool {
	for i := range simModels {
		m := w.table.model(modelID(i))
		if m.state == wire.ModelLoaded && !m.uncertain && w.loaded[m.target()] == 0 {
			return false
		}
	}
	for target, a := range w.table.adapters {
		if a.state == wire.ModelLoaded && !a.uncertain && w.loaded[target] == 0 {
			return false
		}
	}
	return true
}

func (w *simulation) revoke(rt *rapid.T) {
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

// relayPermits sends a stored placement to the agent.
func (w *simulation) relayPermits(rt *rapid.T) {
	w.relayPlacement(modelID(drawModel(rt)))
}

func (w *simulation) relayPlacement(id placement.ModelVersion) {
	current, ok := w.placements[id]
	if !ok {
		return
	}
	w.table.execute(w.table.enforcer.Step(placement.PlacementChanged{Placement: current}))
	w.controller.schedule(w.now)
}

// removeStored performs the removal of a permit, by compare-and-swap.
func (w *simulation) removeStored(rt *rapid.T) {
	if len(w.changes) == 0 {
		rt.Skip("no removal")
	}
	change := w.changes[0]
	w.changes = w.changes[1:]
	id := placement.ModelVersionOf(&change.Placement)
	lost := rapid.IntRange(0, 3).Draw(rt, "lost") == 0
	if w.placements[id].Revision != change.ExpectRevision {
		w.table.execute(w.table.enforcer.Step(placement.RemoveFailed{Model: id}))
		return
	}
	w.revision++
	change.Placement.Revision = w.revision
	w.placements[id] = change.Placement
	if lost {
		w.table.execute(w.table.enforcer.Step(placement.RemoveFailed{Model: id}))
		return
	}
	w.table.execute(w.table.enforcer.Step(placement.Removed{Model: id, Revision: w.revision}))
}

func (w *simulation) readStored(rt *rapid.T) {
	if len(w.reads) == 0 {
		rt.Skip("no read")
	}
	id := w.reads[0]
	w.reads = w.reads[1:]
	w.relayPlacement(id)
}

func (w *simulation) failLoadRequest(rt *rapid.T) {
	if len(w.loadRequests) == 0 {
		rt.Skip("no load request")
	}
	done := w.loadRequests[0]
	w.loadRequests = w.loadRequests[1:]
	done()
}

// restartEngine empties the engine. Requests that run on it are lost and end
// later.
func (w *simulation) restartEngine(*rapid.T) {
	clear(w.loaded)
	w.late = nil
	w.lossesNoticed = false
	for _, r := range w.requests {
		r.interrupted = r.running
	}
}

// drainAndCheck completes all orders and requests and checks that none remain.
func (w *simulation) drainAndCheck() {
	for range 200 {
		for completed := 0; len(w.orders) > 0; completed++ {
			if completed > maxDrainOrders {
				w.t.Fatalf("the agent sends orders without end: %v", w.orders)
			}
			o := w.orders[0]
			w.orders = w.orders[1:]
			if o.permitted != nil && !o.permitted() {
				o.dropped()
				continue
			}
			w.applyOrder(o)
			o.done(nil)
		}
		for _, r := range w.requests {
			if r.running && w.canFinish(r) {
				w.endRequest(r)
			}
		}
		w.advance(int(time.Second / tickInterval))
	}
	for _, r := range w.requests {
		if r.ends != 1 {
			w.t.Fatalf("request %s ended %d times after all orders completed", r.state.request.ID, r.ends)
		}
	}
}
