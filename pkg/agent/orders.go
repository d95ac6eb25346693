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

func (o *engineExecutor) newOrder(target engine.Target, mib int64) engine.Order {
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d", o.incarnation, o.lastOrder.Add(1)),
		Fence:     o.fence,
		Target:    target,
		MemoryMiB: mib,
	}
}

func (o *engineExecutor) loadModel(load loadOrder) {
	go o.runLoad(load)
}

func (o *engineExecutor) runLoad(load loadOrder) {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	err, sent := o.issueLoad(ctx, load)
	if !sent {
		o.loop.Post(func() { o.table.loadNotStarted(o.table.controller.now(), load.id, wire.ReasonNoPermit) })
		return
	}
	o.loop.Post(func() { o.table.loadEnded(o.table.controller.now(), load.id, err) })
}

// issueLoad sends a load to the engine if its permit is still valid.
func (o *engineExecutor) issueLoad(ctx context.Context, load loadOrder) (err error, sent bool) {
	permitted := false
	o.loop.Do(func() { permitted = o.table.beginLoadIfPermitted(load.id) })
	if !permitted {
		return nil, false
	}
	return o.engine.Load(ctx, o.newOrder(load.target, load.memoryMiB)), true
}

func (o *engineExecutor) loadAdapter(target engine.Target, mib int64, done func(error)) {
	order := o.newOrder(target, mib)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
		defer cancel()
		err := o.engine.Load(ctx, order)
		o.loop.Post(func() { done(err) })
	}()
}

func (o *engineExecutor) unload(target engine.Target, done func(error)) {
	order := o.newOrder(target, 0)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, unloadTimeout)
		defer cancel()
		err := o.engine.Unload(ctx, order)
		o.loop.Post(func() { done(err) })
	}()
}

func (o *engineExecutor) removePermit(change placement.Change) {
	go func() {
		event := o.writeRemoval(change)
		if _, failed := event.(placement.RemoveFailed); failed {
			backoff.Sleep(o.ctx, removeRetryDelay)
		}
		o.loop.Post(func() { o.table.execute(o.table.enforcer.Step(event)) })
	}()
}

func (o *engineExecutor) writeRemoval(change placement.Change) placement.EnforcerEvent {
	id := placement.ModelVersionOf(&change.Placement)
	failed := placement.RemoveFailed{Model: id}
	condition, op, err := change.Transaction()
	if err != nil {
		return failed
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	result, err := o.store.Txn(ctx, []keyvalue.Compare{condition}, []keyvalue.Op{op})
	if err != nil || !result.Succeeded {
		return failed
	}
	return placement.Removed{Model: id, Revision: result.Revision}
}

func (o *engineExecutor) readPlacement(id placement.ModelVersion) {
	go func() {
		for o.ctx.Err() == nil {
			current, err := o.fetchPlacement(id)
			if err == nil {
				event := placement.PlacementChanged{Placement: current}
				o.loop.Post(func() { o.table.execute(o.table.enforcer.Step(event)) })
				return
			}
			backoff.Sleep(o.ctx, removeRetryDelay)
		}
	}()
}

func (o *engineExecutor) fetchPlacement(id placement.ModelVersion) (wire.Placement, error) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	result, err := o.store.Range(ctx, placement.Key(id), false)
	if err != nil {
		return wire.Placement{}, err
	}
	if len(result.Values) == 0 {
		return wire.Placement{Model: id.Model, Version: id.Version, Revision: result.Revision}, nil
	}
	return placement.Decode(result.Values[0])
}
