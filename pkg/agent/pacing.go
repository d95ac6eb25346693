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

// loadSlotTimeout bounds one call to the load coordinator.
const loadSlotTimeout = 300 * time.Millisecond

// loadPacer delays loads from the weight store until they have a slot. Its
// methods run on the loop.
type loadPacer struct {
	table  *modelTable
	guided *loading.CoordinatedPacer
	// waiting holds the loads that have not started.
	waiting map[engine.Target]pacedLoad
	// requestSlot sends a message to the coordinator and calls done on the loop; ok
	// is false if no response arrived.
	requestSlot func(message wire.LoadRequest, done func(slot wire.LoadGrant, ok bool))
}

// pacedLoad is a load that waits for its slot.
type pacedLoad struct {
	command loadCommand
	since   time.Time
}

// enqueue adds a load.
func (p *loadPacer) enqueue(now time.Time, command loadCommand) {
	p.waiting[command.target] = pacedLoad{command: command, since: now}
	p.guided.Add(now, loading.PendingLoad{Target: command.target, Waiting: command.waiting, Deadline: command.deadline})
}

// startDueLoads requests slots and starts the loads whose slot has come.
func (p *loadPacer) startDueLoads(now time.Time) {
	p.dropUnwanted(now)
	p.updateDemand(now)
	for {
		want, ok := p.guided.NextRequest(now)
		if !ok {
			break
		}
		p.requestSlotFor(now, want)
	}
	for {
		target, ok := p.guided.Next(now)
		if !ok {
			return
		}
		load := p.waiting[target]
		delete(p.waiting, target)
		p.table.controller.metrics.LoadPacingWait(now.Sub(load.since))
		p.table.model(load.command.id).loadStarted = now
		p.table.executor.loadModel(load.command)
	}
}

// dropUnwanted cancels the loads that no request waits for any more.
func (p *loadPacer) dropUnwanted(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.command.id)
		if m.isWanted(now) {
			continue
		}
		delete(p.waiting, target)
		p.guided.Remove(target)
		p.table.pendingLoadDropped(now, m)
	}
}

// updateDemand passes on the current number of requests that wait for each load
// and their earliest deadline.
func (p *loadPacer) updateDemand(now time.Time) {
	for target, load := range p.waiting {
		m := p.table.model(load.command.id)
		if m.waiting == 0 {
			continue
		}
		p.guided.Add(now, loading.PendingLoad{Target: target, Waiting: m.waiting, Deadline: m.deadline})
	}
}

func (p *loadPacer) requestSlotFor(now time.Time, want loading.PendingLoad) {
	left := want.Deadline.Sub(now)
	message := p.newLoadAsk(want.Target)
	message.Waiting = want.Waiting
	message.DeadlineMillis = millis(left)
	p.requestSlot(message, func(slot wire.LoadGrant, ok bool) {
		receivedAt := p.table.controller.now()
		if !ok {
			p.guided.RequestFailed(receivedAt, want.Target)
		} else if !p.guided.GrantReceived(receivedAt, want.Target, slot) {
			p.reportLoadEnd(want.Target, 0)
		}
		p.startDueLoads(receivedAt)
	})
}

func (p *loadPacer) newLoadAsk(target engine.Target) wire.LoadRequest {
	return wire.LoadRequest{
		Runner:  p.table.controller.runner,
		Model:   target.Model,
		Version: target.Version,
	}
}

// loadEnded handles the end of a load from the weight store.
func (p *loadPacer) loadEnded(now time.Time, target engine.Target, took, expected time.Duration) {
	p.guided.Done(now, target, took, expected)
	p.reportLoadEnd(target, took)
	p.startDueLoads(now)
}

// reportLoadEnd reports the end of a load to the coordinator. If the report is
// lost, the coordinator frees the slot after a timeout.
func (p *loadPacer) reportLoadEnd(target engine.Target, took time.Duration) {
	message := p.newLoadAsk(target)
	message.Done = true
	message.TookMillis = millis(took)
	p.requestSlot(message, func(wire.LoadGrant, bool) {})
}

// coordinatorClient sends the pacer's messages to the entry that coordinates
// loads.
type coordinatorClient struct {
	ctx       context.Context
	loop      *eventloop.Loop
	directory *entryDirectory
	// node is nil until the node of the inner protocol is open.
	node atomic.Pointer[wire.Node]
}

// requestSlot sends a message to the coordinator and calls done on the loop.
func (c *coordinatorClient) requestSlot(message wire.LoadRequest, done func(wire.LoadGrant, bool)) {
	go func() {
		slot, ok := c.send(message)
		c.loop.Post(func() { done(slot, ok) })
	}()
}

func (c *coordinatorClient) send(message wire.LoadRequest) (wire.LoadGrant, bool) {
	node := c.node.Load()
	coordinator := c.directory.loadCoordinator()
	if node == nil || coordinator == nil {
		return wire.LoadGrant{}, false
	}
	callCtx, cancel := context.WithTimeout(c.ctx, loadSlotTimeout)
	defer cancel()
	response, err := node.Call(callCtx, coordinator.id, coordinator.address, &wire.Frame{LoadRequest: &message})
	if err != nil || response.LoadGrant == nil {
		c.directory.requestRefresh()
		return wire.LoadGrant{}, false
	}
	return *response.LoadGrant, true
}

// isQuiescent reports whether no model load and no adapter load waits for a slot.
func (t *modelTable) isQuiescent() bool {
	return len(t.pacer.waiting) == 0 && len(t.adapterLoads) == 0
}
