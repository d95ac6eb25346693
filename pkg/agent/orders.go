package agent

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// loadTimeout bounds one load of a model or adapter.
	loadTimeout = 15 * time.Minute
	// unloadTimeout bounds one unload.
	unloadTimeout = time.Minute
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 2 * time.Second
	// removeRetryDelay is the delay before a failed removal of a permit is reported
	// and between attempts to read a placement.
	removeRetryDelay = time.Second
)

// engineExecutor sends orders to the engine and writes permits, on its own
// goroutines. It implements executor.
type engineExecutor struct {
	ctx         context.Context
	loop        *eventloop.Loop
	engine      engine.Engine
	store       keyvalue.Store
	table       *modelTable
	incarnation string
	fence       int64
	lastOrder   atomic.Int64
}

func (e *engineExecutor) newOrder(target engine.Target, mib int64) engine.Order {
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d", e.incarnation, e.lastOrder.Add(1)),
		Fence:     e.fence,
		Target:    target,
		MemoryMiB: mib,
	}
}

func (e *engineExecutor) loadModel(load loadOrder) {
	go e.runLoad(load)
}

func (e *engineExecutor) runLoad(load loadOrder) {
	ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
	defer cancel()
	err, sent := e.issueLoad(ctx, load)
	if !sent {
		e.loop.Post(func() { e.table.cancelLoad(e.table.controller.now(), load.id, wire.ReasonNoPermit) })
		return
	}
	e.loop.Post(func() { e.table.loadEnded(e.table.controller.now(), load.id, err) })
}

// issueLoad sends a load to the engine if its permit is still valid.
func (e *engineExecutor) issueLoad(ctx context.Context, load loadOrder) (err error, sent bool) {
	permitted := false
	e.loop.Do(func() { permitted = e.table.beginLoadIfPermitted(load.id) })
	if !permitted {
		return nil, false
	}
	return e.engine.Load(ctx, e.newOrder(load.target, load.memoryMiB)), true
}

func (e *engineExecutor) loadAdapter(target engine.Target, mib int64, done func(error)) {
	order := e.newOrder(target, mib)
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
		defer cancel()
		err := e.engine.Load(ctx, order)
		e.loop.Post(func() { done(err) })
	}()
}

func (e *engineExecutor) unload(target engine.Target, done func(error)) {
	order := e.newOrder(target, 0)
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, unloadTimeout)
		defer cancel()
		err := e.engine.Unload(ctx, order)
		e.loop.Post(func() { done(err) })
	}()
}

func (e *engineExecutor) removePermit(change placement.Change) {
	go func() {
		event := e.writeRemoval(change)
		if _, failed := event.(placement.RemoveFailed); failed {
			backoff.Sleep(e.ctx, removeRetryDelay)
		}
		e.loop.Post(func() { e.table.execute(e.table.enforcer.Step(event)) })
	}()
}

func (e *engineExecutor) writeRemoval(change placement.Change) placement.EnforcerEvent {
	id := placement.ModelVersionOf(&change.Placement)
	failed := placement.RemoveFailed{Model: id}
	condition, op, err := change.Transaction()
	if err != nil {
		return failed
	}
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	result, err := e.store.Txn(ctx, []keyvalue.Compare{condition}, []keyvalue.Op{op})
	if err != nil || !result.Succeeded {
		return failed
	}
	return placement.Removed{Model: id, Revision: result.Revision}
}

func (e *engineExecutor) readPlacement(id placement.ModelVersion) {
	go func() {
		for e.ctx.Err() == nil {
			current, err := e.fetchPlacement(id)
			if err == nil {
				event := placement.PlacementChanged{Placement: current}
				e.loop.Post(func() { e.table.execute(e.table.enforcer.Step(event)) })
				return
			}
			backoff.Sleep(e.ctx, removeRetryDelay)
		}
	}()
}

func (e *engineExecutor) fetchPlacement(id placement.ModelVersion) (wire.Placement, error) {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	result, err := e.store.Range(ctx, placement.Key(id), false)
	if err != nil {
		return wire.Placement{}, err
	}
	if len(result.Values) == 0 {
		return wire.Placement{Model: id.Model, Version: id.Version, Revision: result.Revision}, nil
	}
	return placement.Decode(result.Values[0])
}
