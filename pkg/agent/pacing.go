package agent

import (
	"context"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// askTimeout bounds one question to the load coordinator.
const askTimeout = 300 * time.Millisecond

// loadPacer makes loads from the weight store wait for their turn. Its methods
// run on the loop.
type loadPacer struct {
	table  *modelTable
	guided *loading.CoordinatedPacer
	// waiting holds the loads that have not started.
	waiting map[engine.Target]pacedLoad
	// ask sends a question to the coordinator and calls done on the loop; ok is
	// false if no answer came.
	ask func(question wire.LoadRequest, done func(slot wire.LoadGrant, ok bool))
}

// pacedLoad is a load that waits for its turn.
type pacedLoad struct {
	order loadOrder
	since time.Time
}

// want adds a load.
func (p *loadPacer) want(now time.Time, order loadOrder) {
	p.waiting[order.target] = pacedLoad{order: order, since: now}
	p.guided.Add(now, loading.PendingLoad{Target: order.target, Waiting: order.waiting, Deadline: order.deadline})
}

// pump asks for turns and starts the loads whose turn has come.
func (p *loadPacer) pump(now time.Time) {
	p.dropUnwanted(now)
	p.refresh(now)
	for {
		want, ok := p.guided.NextRequest(now)
		if !ok {
			break
		}
		p.askFor(now, want)
	}
	for {
		target, ok := p.guided.Next(now)
		if !ok {
			return
		}
		load := p.waiting[target]
		delete(p.waiting, target)
		p.table.controller.metrics.LoadPacingWait(now.Sub(load.since))
		p.table.model(load.order.id).loadStarted = now
		p.table.orders.loadModel(load.order)
	}
}

// dropUnwanted gives up the loads that no request waits for any more.
func (p *loadPacer) dropUnwanted(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.order.id)
		if m.isWanted(now) {
			continue
		}
		delete(p.waiting, target)
		p.guided.Remove(target)
		p.table.loadDropped(now, m)
	}
}

// refresh tells the pacer how many requests wait for each load by now, and the
// most urgent deadline.
func (p *loadPacer) refresh(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.order.id)
		if m.waiting == 0 {
			continue
		}
		p.guided.Add(now, loading.PendingLoad{Target: target, Waiting: m.waiting, Deadline: m.deadline})
	}
}

func (p *loadPacer) askFor(now time.Time, want loading.PendingLoad) {
	left := want.Deadline.Sub(now)
	question := p.question(want.Target)
	question.Waiting = want.Waiting
	question.DeadlineMillis = millis(left)
	p.ask(question, func(slot wire.LoadGrant, ok bool) {
		answered := p.table.controller.now()
		if !ok {
			p.guided.RequestFailed(answered, want.Target)
		} else if !p.guided.GrantReceived(answered, want.Target, slot) {
			p.report(want.Target, 0)
		}
		p.pump(answered)
	})
}

func (p *loadPacer) question(target engine.Target) wire.LoadRequest {
	return wire.LoadRequest{
		Runner:  p.table.controller.runner,
		Model:   target.Model,
		Version: target.Version,
	}
}

// ended takes in the end of a load from the weight store.
func (p *loadPacer) ended(now time.Time, target engine.Target, took, expected time.Duration) {
	p.guided.Done(now, target, took, expected)
	p.report(target, took)
	p.pump(now)
}

// report tells the coordinator of a load's end. The report may be lost; then
// the coordinator frees the place after a while.
func (p *loadPacer) report(target engine.Target, took time.Duration) {
	question := p.question(target)
	question.Done = true
	question.TookMillis = millis(took)
	p.ask(question, func(wire.LoadGrant, bool) {})
}

// coordinatorClient sends the pacer's questions to the entry that coordinates
// loads.
type coordinatorClient struct {
	ctx       context.Context
	loop      *eventloop.Loop
	directory *entryDirectory
	// node is nil until the inner protocol is up.
	node atomic.Pointer[wire.Node]
}

// ask sends a question and calls done on the loop.
func (c *coordinatorClient) ask(question wire.LoadRequest, done func(wire.LoadGrant, bool)) {
	go func() {
		slot, ok := c.send(question)
		c.loop.Post(func() { done(slot, ok) })
	}()
}

func (c *coordinatorClient) send(question wire.LoadRequest) (wire.LoadGrant, bool) {
	node := c.node.Load()
	coordinator := c.directory.loadCoordinator()
	if node == nil || coordinator == nil {
		return wire.LoadGrant{}, false
	}
	callCtx, cancel := context.WithTimeout(c.ctx, askTimeout)
	defer cancel()
	answer, err := node.Call(callCtx, coordinator.id, coordinator.address, &wire.Frame{LoadRequest: &question})
	if err != nil || answer.LoadGrant == nil {
		c.directory.noAnswer()
		return wire.LoadGrant{}, false
	}
	return *answer.LoadGrant, true
}

// isQuiet tells whether no load and no adapter waits for its turn.
func (t *modelTable) isQuiet() bool {
	return len(t.pacer.waiting) == 0 && len(t.adapterLoads) == 0
}
