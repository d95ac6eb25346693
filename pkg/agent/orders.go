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
	// loadTimeout bounds one load.
	loadTimeout = 15 * time.Minute
	// unloadTimeout bounds one unload.
	unloadTimeout = time.Minute
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 2 * time.Second
	// removeRetry is the pause before a failed removal of a permit is reported.
	removeRetry = time.Second
)

// engineOrders gives orders to the engine and writes permits, on goroutines of
// its own.
type engineOrders struct {
	ctx         context.Context
	loop        *eventloop.Loop
	engine      engine.Engine
	store       keyvalue.Store
	table       *modelTable
	incarnation string
	fence       int64
	next        atomic.Int64
}

func (o *engineOrders) order(target engine.Target, mib int64) engine.Order {
	return engine.Order{
		ID:        fmt.Sprintf("%s-%d", o.incarnation, o.next.Add(1)),
		Fence:     o.fence,
		Target:    target,
		MemoryMiB: mib,
	}
}

func (o *engineOrders) loadModel(load loadOrder) {
	go o.runLoad(load)
}

func (o *engineOrders) runLoad(load loadOrder) {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	err, ordered := o.orderLoad(ctx, load)
	if !ordered {
		o.loop.Post(func() { o.table.loadNotOrdered(o.table.controller.now(), load.id, wire.ReasonNoPermit) })
		return
	}
	o.loop.Post(func() { o.table.loadEnded(o.table.controller.now(), load.id, err) })
}

// orderLoad orders a load if the permit still stands.
func (o *engineOrders) orderLoad(ctx context.Context, load loadOrder) (err error, ordered bool) {
	permitted := false
	o.loop.Do(func() { permitted = o.table.mayOrderLoad(load.id) })
	if !permitted {
		return nil, false
	}
	return o.engine.Load(ctx, o.order(load.target, load.memoryMiB)), true
}

func (o *engineOrders) loadAdapter(target engine.Target, mib int64, done func(error)) {
	order := o.order(target, mib)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
		defer cancel()
		err := o.engine.Load(ctx, order)
		o.loop.Post(func() { done(err) })
	}()
}

func (o *engineOrders) unload(target engine.Target, done func(error)) {
	order := o.order(target, 0)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, unloadTimeout)
		defer cancel()
		err := o.engine.Unload(ctx, order)
		o.loop.Post(func() { done(err) })
	}()
}

func (o *engineOrders) removePermit(change placement.Change) {
	go func() {
		event := o.writeRemoval(change)
		if _, failed := event.(placement.RemoveFailed); failed {
			backoff.Sleep(o.ctx, removeRetry)
		}
		o.loop.Post(func() { o.table.perform(o.table.holder.Step(event)) })
	}()
}

func (o *engineOrders) writeRemoval(change placement.Change) placement.EnforcerEvent {
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

func (o *engineOrders) readPlacement(id placement.ModelVersion) {
	go func() {
		for o.ctx.Err() == nil {
			current, err := o.fetchPlacement(id)
			if err == nil {
				event := placement.PlacementChanged{Placement: current}
				o.loop.Post(func() { o.table.perform(o.table.holder.Step(event)) })
				return
			}
			backoff.Sleep(o.ctx, removeRetry)
		}
	}()
}

func (o *engineOrders) fetchPlacement(id placement.ModelVersion) (wire.Placement, error) {
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
