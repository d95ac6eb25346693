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

// loadRequestTimeout bounds one call to the load coordinator.
const loadRequestTimeout = 300 * time.Millisecond

// loadPacer delays loads from the weight store until they have a load grant. Its
// methods run on the loop.
type loadPacer struct {
	table       *modelTable
	coordinated *loading.CoordinatedPacer
	// waiting holds the loads that have not started.
	waiting map[engine.Target]pacedLoad
	// sendRequest sends a message to the coordinator and calls done on the loop; ok
	// is false if no response arrived.
	sendRequest func(message wire.LoadRequest, done func(grant wire.LoadGrant, ok bool))
}

// pacedLoad is a load that waits for its load grant.
type pacedLoad struct {
	order loadOrder
	since time.Time
}

// enqueue adds a load.
func (p *loadPacer) enqueue(now time.Time, order loadOrder) {
	p.waiting[order.target] = pacedLoad{order: order, since: now}
	p.coordinated.Add(now, loading.PendingLoad{Target: order.target, Waiting: order.waiting, Deadline: order.deadline})
}

// startDueLoads requests load grants and starts the loads that have one and are due.
func (p *loadPacer) startDueLoads(now time.Time) {
	p.removeUnwanted(now)
	p.updateDemand(now)
	for {
		pending, ok := p.coordinated.NextRequest(now)
		if !ok {
			break
		}
		p.requestGrant(now, pending)
	}
	for {
		target, ok := p.coordinated.Next(now)
		if !ok {
			return
		}
		load := p.waiting[target]
		delete(p.waiting, target)
		p.table.controller.metrics.LoadPacingWait(now.Sub(load.since))
		p.table.model(load.order.id).loadStarted = now
		p.table.executor.loadModel(load.order)
	}
}

// removeUnwanted cancels the loads that no request waits for any more.
func (p *loadPacer) removeUnwanted(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.order.id)
		if m.isWanted(now) {
			continue
		}
		delete(p.waiting, target)
		p.coordinated.Remove(target)
		p.table.cancelPendingLoad(now, m)
	}
}

// updateDemand updates the number of requests that wait for each load and their
// earliest deadline.
func (p *loadPacer) updateDemand(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.order.id)
		if m.waiting == 0 {
			continue
		}
		p.coordinated.Add(now, loading.PendingLoad{Target: target, Waiting: m.waiting, Deadline: m.deadline})
	}
}

func (p *loadPacer) requestGrant(now time.Time, pending loading.PendingLoad) {
	left := pending.Deadline.Sub(now)
	message := p.newLoadRequest(pending.Target)
	message.Waiting = pending.Waiting
	message.DeadlineMillis = millis(left)
	p.sendRequest(message, func(grant wire.LoadGrant, ok bool) {
		receivedAt := p.table.controller.now()
		if !ok {
			p.coordinated.RequestFailed(receivedAt, pending.Target)
		} else if !p.coordinated.GrantReceived(receivedAt, pending.Target, grant) {
			p.reportLoadEnd(pending.Target, 0)
		}
		p.startDueLoads(receivedAt)
	})
}

func (p *loadPacer) newLoadRequest(target engine.Target) wire.LoadRequest {
	return wire.LoadRequest{
		Runner:  p.table.controller.runner,
		Model:   target.Model,
		Version: target.Version,
	}
}

// loadEnded handles the end of a load from the weight store.
func (p *loadPacer) loadEnded(now time.Time, target engine.Target, took, expected time.Duration) {
	p.coordinated.Done(now, target, took, expected)
	p.reportLoadEnd(target, took)
	p.startDueLoads(now)
}

// reportLoadEnd reports the end of a load to the coordinator. If the report is
// lost, the coordinator ends the grant after a timeout.
func (p *loadPacer) reportLoadEnd(target engine.Target, took time.Duration) {
	message := p.newLoadRequest(target)
	message.Done = true
	message.TookMillis = millis(took)
	p.sendRequest(message, func(wire.LoadGrant, bool) {})
}

// coordinatorClient sends the pacer's messages to the entry that coordinates
// loads.
type coordinatorClient struct {
	ctx       context.Context
	loop      *eventloop.Loop
	directory *entryDirectory
	// node is nil until the node of the internal protocol is open.
	node atomic.Pointer[wire.Node]
}

// sendRequest sends a message to the coordinator and calls done on the loop.
func (c *coordinatorClient) sendRequest(message wire.LoadRequest, done func(wire.LoadGrant, bool)) {
	go func() {
		grant, ok := c.send(message)
		c.loop.Post(func() { done(grant, ok) })
	}()
}

func (c *coordinatorClient) send(message wire.LoadRequest) (wire.LoadGrant, bool) {
	node := c.node.Load()
	coordinator := c.directory.loadCoordinator()
	if node == nil || coordinator == nil {
		return wire.LoadGrant{}, false
	}
	callCtx, cancel := context.WithTimeout(c.ctx, loadRequestTimeout)
	defer cancel()
	response, err := node.Call(callCtx, coordinator.id, coordinator.address, &wire.Frame{LoadRequest: &message})
	if err != nil || response.LoadGrant == nil {
		c.directory.requestRefresh()
		return wire.LoadGrant{}, false
	}
	return *response.LoadGrant, true
}

// isQuiescent reports whether no model load waits for a load grant and no adapter
// load for a free slot.
func (t *modelTable) isQuiescent() bool {
	return len(t.pacer.waiting) == 0 && len(t.adapterLoads) == 0
}
