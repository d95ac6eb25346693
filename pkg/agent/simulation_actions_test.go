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

// maxDrainOrders bounds the orders completed in a row while draining, as each may
// cause another one.
const maxDrainOrders = 100

// TestModelTableInvariants runs random sequences of requests while loads and
// unloads fail, lose their responses or take effect late, the engine restarts,
// and permits are granted and revoked. It guards against an engine that holds
// more than its memory or models without a stored permit, and against requests
// that start or end more than once, miss their deadline, or are refused as
// "not run" although they ran.
func TestModelTableInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":        s.submit,
			"finish":        s.finish,
			"cancel":        s.cancel,
			"leave":         s.leave,
			"answer order":  s.completeOrder,
			"lose answer":   s.loseResponse,
			"late effect":   s.applyLate,
			"observe":       s.observe,
			"revoke":        s.revoke,
			"grant":         func(rt *rapid.T) { s.grantPermit(drawModel(rt)) },
			"tell permits":  s.relayPermits,
			"remove permit": s.removeStored,
			"read permit":   s.readStored,
			"ask lost":      s.failLoadRequest,
			"restart":       s.restartEngine,
			"tick":          func(rt *rapid.T) { s.advance(rapid.IntRange(1, 40).Draw(rt, "ticks")) },
			"":              s.check,
		})
		s.drainAndCheck()
	})
}

func drawModel(rt *rapid.T) int { return rapid.IntRange(0, simModels-1).Draw(rt, "model") }

func (s *simulation) submit(rt *rapid.T) {
	i := drawModel(rt)
	request := &wire.Request{
		ID:           fmt.Sprintf("request-%d", len(s.requests)),
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
	rs := s.controller.submit(s.now, request)
	if len(s.requests) > 0 && s.requests[len(s.requests)-1].state == rs {
		return
	}
	r := s.newSimulatedRequest(rs)
	if rs.immediateRefusal() != nil {
		r.ends++
	}
	s.requests = append(s.requests, r)
}

// finish ends a running request; after an engine restart its response is lost.
func (s *simulation) finish(rt *rapid.T) {
	var running []*simulatedRequest
	for _, r := range s.requests {
		if r.running && s.canFinish(r) {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		rt.Skip("nothing runs")
	}
	s.endRequest(rapid.SampledFrom(running).Draw(rt, "request"))
}

// cancel cancels a request that hasn't ended.
func (s *simulation) cancel(rt *rapid.T) {
	var open []*simulatedRequest
	for _, r := range s.requests {
		if r.ends == 0 {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		rt.Skip("no open request")
	}
	s.controller.cancelRequest(s.now, rapid.SampledFrom(open).Draw(rt, "request").state)
}

// leave makes the agent leave, in few of the sequences. Requests that it has
// accepted are still served or refused in time.
func (s *simulation) leave(rt *rapid.T) {
	if rapid.IntRange(0, 30).Draw(rt, "leaving") > 0 {
		rt.Skip("stays")
	}
	s.controller.leave("test")
}

// canFinish reports whether a request doesn't wait for its adapter.
func (s *simulation) canFinish(r *simulatedRequest) bool {
	return r.acquired || r.adapter == (engine.Target{})
}

func (s *simulation) endRequest(r *simulatedRequest) {
	r.running = false
	if r.acquired {
		s.table.releaseAdapter(s.now, r.adapter)
	}
	if r.interrupted {
		r.state.refuse(wire.OutcomeUnknown, wire.ReasonEngine, retryAfterEngineFailure, "restart")
	}
	r.state.response.finish()
	s.controller.finish(s.now, r.state, 100, time.Second)
}

// takeOrder removes and returns an order in progress. A load is sent only if
// its permit is still valid.
func (s *simulation) takeOrder(rt *rapid.T) order {
	if len(s.orders) == 0 {
		rt.Skip("no order")
	}
	i := rapid.IntRange(0, len(s.orders)-1).Draw(rt, "order")
	o := s.orders[i]
	s.orders = append(s.orders[:i:i], s.orders[i+1:]...)
	if o.permitted != nil && !o.permitted() {
		o.cancelled()
		rt.Skip("the load was cancelled")
	}
	return o
}

// completeOrder lets an order succeed or be refused by the engine.
func (s *simulation) completeOrder(rt *rapid.T) {
	refused := rapid.IntRange(0, 4).Draw(rt, "refused") == 0
	o := s.takeOrder(rt)
	if refused && o.kind != orderUnload {
		o.done(&engine.Error{Op: "load", NotRun: true, Err: errLostResponse})
		return
	}
	s.applyOrder(o)
	o.done(nil)
}

// loseResponse loses the response to an order. The order has taken effect, will
// do so within the time that the agent allows for it, or never does.
func (s *simulation) loseResponse(rt *rapid.T) {
	effect := rapid.SampledFrom([]string{"done", "late", "never"}).Draw(rt, "effect")
	o := s.takeOrder(rt)
	switch effect {
	case "done":
		s.applyOrder(o)
	case "late":
		s.late = append(s.late, lateOrder{order: o, until: s.now.Add(lateEffectWindow)})
	}
	o.done(errLostResponse)
}

func (s *simulation) applyLate(rt *rapid.T) {
	if len(s.late) == 0 {
		rt.Skip("no late order")
	}
	i := rapid.IntRange(0, len(s.late)-1).Draw(rt, "late")
	o := s.late[i].order
	s.late = append(s.late[:i:i], s.late[i+1:]...)
	s.applyOrder(o)
}

// advance advances the clock in ticks. Late orders take effect before their time
// limit.
func (s *simulation) advance(ticks int) {
	for range ticks {
		s.now = s.now.Add(tickInterval)
		s.applyDueLate()
		s.controller.tick(s.now)
		s.check(s.t)
	}
}

func (s *simulation) applyDueLate() {
	var left []lateOrder
	for _, late := range s.late {
		if late.until.After(s.now) {
			left = append(left, late)
		} else {
			s.applyOrder(late.order)
		}
	}
	s.late = left
}

// observe reads the engine's state, which the agent receives a little later.
func (s *simulation) observe(rt *rapid.T) {
	readAt, state := s.now, s.state()
	s.advance(rapid.IntRange(0, 5).Draw(rt, "delay"))
	s.table.reconcile(s.now, readAt, state)
	s.lossesNoticed = s.lossesNoticed || s.lossesKnown()
}

// lossesKnown reports whether the agent knows everything that the engine lost.
func (s *simulation) lossesKnown() bool {
	for i := range simModels {
		m := s.table.model(modelID(i))
		if m.state == wire.ModelLoaded && !m.uncertain && s.loaded[m.target()] == 0 {
			return false
		}
	}
	for target, a := range s.table.adapters {
		if a.state == wire.ModelLoaded && !a.uncertain && s.loaded[target] == 0 {
			return false
		}
	}
	return true
}

func (s *simulation) revoke(rt *rapid.T) {
	id := modelID(drawModel(rt))
	current := s.placements[id]
	if len(current.Permits) == 0 || current.Permits[0].Revoked {
		rt.Skip("nothing to revoke")
	}
	s.revision++
	permit := current.Permits[0]
	permit.Revoked = true
	current.Permits = []wire.Permit{permit}
	current.Revision = s.revision
	s.placements[id] = current
}

// relayPermits sends a stored placement to the agent.
func (s *simulation) relayPermits(rt *rapid.T) {
	s.relayPlacement(modelID(drawModel(rt)))
}

func (s *simulation) relayPlacement(id placement.ModelVersion) {
	current, ok := s.placements[id]
	if !ok {
		return
	}
	s.table.execute(s.table.enforcer.Step(placement.PlacementChanged{Placement: current}))
	s.controller.schedule(s.now)
}

// removeStored performs the removal of a permit, by compare-and-swap.
func (s *simulation) removeStored(rt *rapid.T) {
	if len(s.changes) == 0 {
		rt.Skip("no removal")
	}
	change := s.changes[0]
	s.changes = s.changes[1:]
	id := placement.ModelVersionOf(&change.Placement)
	lost := rapid.IntRange(0, 3).Draw(rt, "lost") == 0
	if s.placements[id].Revision != change.ExpectRevision {
		s.table.execute(s.table.enforcer.Step(placement.RemoveFailed{Model: id}))
		return
	}
	s.revision++
	change.Placement.Revision = s.revision
	s.placements[id] = change.Placement
	if lost {
		s.table.execute(s.table.enforcer.Step(placement.RemoveFailed{Model: id}))
		return
	}
	s.table.execute(s.table.enforcer.Step(placement.Removed{Model: id, Revision: s.revision}))
}

func (s *simulation) readStored(rt *rapid.T) {
	if len(s.reads) == 0 {
		rt.Skip("no read")
	}
	id := s.reads[0]
	s.reads = s.reads[1:]
	s.relayPlacement(id)
}

func (s *simulation) failLoadRequest(rt *rapid.T) {
	if len(s.loadRequests) == 0 {
		rt.Skip("no load request")
	}
	done := s.loadRequests[0]
	s.loadRequests = s.loadRequests[1:]
	done()
}

// restartEngine empties the engine. Requests that run on it are lost and end
// later.
func (s *simulation) restartEngine(*rapid.T) {
	clear(s.loaded)
	s.late = nil
	s.lossesNoticed = false
	for _, r := range s.requests {
		r.interrupted = r.running
	}
}

// drainAndCheck completes all orders and requests and checks that none remain.
func (s *simulation) drainAndCheck() {
	for range 200 {
		for completed := 0; len(s.orders) > 0; completed++ {
			if completed > maxDrainOrders {
				s.t.Fatalf("the agent sends orders without end: %v", s.orders)
			}
			o := s.orders[0]
			s.orders = s.orders[1:]
			if o.permitted != nil && !o.permitted() {
				o.cancelled()
				continue
			}
			s.applyOrder(o)
			o.done(nil)
		}
		for _, r := range s.requests {
			if r.running && s.canFinish(r) {
				s.endRequest(r)
			}
		}
		s.advance(int(time.Second / tickInterval))
	}
	for _, r := range s.requests {
		if r.ends != 1 {
			s.t.Fatalf("request %s ended %d times after all orders completed", r.state.request.ID, r.ends)
		}
	}
}
