package agent

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/once"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// recordTTL is the minimum lifetime of an idempotency key's record.
	recordTTL = 24 * time.Hour
	// recordLeaseReuse is how long one lease is used for new records.
	recordLeaseReuse = time.Hour
	// recordTimeout bounds one call to the key-value service for records.
	recordTimeout = 2 * time.Second
)

// idempotentCalls runs calls with an idempotency key at most once. Its methods run
// on the loop.
type idempotentCalls struct {
	controller *controller
	machine    *once.Machine
	batcher    *once.Batcher
	records    *recordStore
	// flushing is set if a flush is scheduled.
	flushing bool
	// batches holds the batches for the goroutine that writes records.
	batches chan once.Batch
	// calls holds the calls that wait for a reply, by request id.
	calls map[string]*requestState
	// nextTick is when the machine next checks for expired calls and responses.
	nextTick time.Time
}

// recordBatchQueue bounds the batches that wait for the key-value service.
const recordBatchQueue = 256

func newIdempotentCalls(c *controller, store keyvalue.Store) *idempotentCalls {
	return &idempotentCalls{
		controller: c,
		machine:    once.NewMachine(once.Config{Agent: c.runner, Incarnation: c.incarnation}),
		batcher:    once.NewBatcher(once.DefaultBatchDelay),
		records:    &recordStore{store: store},
		batches:    make(chan once.Batch, recordBatchQueue),
		calls:      make(map[string]*requestState),
	}
}

// writeRecords creates records until ctx ends.
func (ic *idempotentCalls) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-ic.batches:
			ic.writeBatch(ctx, batch)
		}
	}
}

func (ic *idempotentCalls) writeBatch(ctx context.Context, batch once.Batch) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	events := ic.records.create(callCtx, batch)
	ic.controller.loop.Post(func() { ic.stepAll(ic.controller.now(), events) })
}

// scheduleFlush schedules the write of the batched records for when it is due.
func (ic *idempotentCalls) scheduleFlush(now time.Time) {
	due := ic.batcher.NextDue()
	if ic.flushing || due.IsZero() {
		return
	}
	ic.flushing = true
	time.AfterFunc(due.Sub(now), func() {
		ic.controller.loop.Post(func() { ic.flushDue(ic.controller.now()) })
	})
}

func (ic *idempotentCalls) flushDue(now time.Time) {
	ic.flushing = false
	if batch, ok := ic.batcher.Due(now); ok {
		ic.enqueueBatch(now, batch)
	}
	ic.scheduleFlush(now)
}

func (ic *idempotentCalls) enqueueBatch(now time.Time, batch once.Batch) {
	select {
	case ic.batches <- batch:
	default:
		ic.stepAll(now, batch.Failed(false))
	}
}

// submit starts processing a call.
func (ic *idempotentCalls) submit(now time.Time, rs *requestState) {
	ic.calls[rs.request.ID] = rs
	ic.step(now, once.Call{
		Key:         idempotencyKey(rs.request),
		Fingerprint: once.NewFingerprint(rs.request.Method, rs.request.Path, rs.request.ContentType, rs.request.Body),
		RequestID:   rs.request.ID,
		Deadline:    rs.deadline,
	})
}

func idempotencyKey(request *wire.Request) once.Key {
	return once.NewKey(request.Plan, request.Service, request.IdempotencyKey)
}

// cancelWaiting refuses a call without a reply after its caller disconnected, and
// reports whether there was one.
func (ic *idempotentCalls) cancelWaiting(now time.Time, rs *requestState) bool {
	if ic.calls[rs.request.ID] != rs {
		return false
	}
	ic.step(now, once.Cancel{Key: idempotencyKey(rs.request), RequestID: rs.request.ID})
	delete(ic.calls, rs.request.ID)
	ic.controller.refuse(now, rs, wire.OutcomeUnknown, wire.ReasonCancelled, 0, "")
	return true
}

func (ic *idempotentCalls) tick(now time.Time) {
	if now.Before(ic.nextTick) {
		return
	}
	ic.nextTick = now.Add(tickInterval)
	ic.step(now, once.Tick{})
}

func (ic *idempotentCalls) isIdle() bool { return ic.machine.Open() == 0 }

func (ic *idempotentCalls) stepAll(now time.Time, events []once.Event) {
	for _, event := range events {
		ic.step(now, event)
	}
}

func (ic *idempotentCalls) step(now time.Time, event once.Event) {
	for _, action := range ic.machine.Step(now, event) {
		ic.execute(now, action)
	}
}

func (ic *idempotentCalls) execute(now time.Time, action once.Action) {
	switch a := action.(type) {
	case once.WriteRecord:
		if batch, full := ic.batcher.Add(now, a); full {
			ic.enqueueBatch(now, batch)
		}
		ic.scheduleFlush(now)
	case once.ReadRecord:
		ic.readRecord(a.Key)
	case once.Run:
		ic.run(now, a)
	case once.Reply:
		ic.reply(now, a)
	}
}

func (ic *idempotentCalls) readRecord(key once.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(ic.controller.ctx, recordTimeout)
		defer cancel()
		event := ic.records.read(ctx, key)
		ic.controller.loop.Post(func() { ic.step(ic.controller.now(), event) })
	}()
}

// run queues the run of a call as a separate request, so that its response can be
// returned to all calls that wait for the key.
func (ic *idempotentCalls) run(now time.Time, action once.Run) {
	call := ic.calls[action.RequestID]
	if call == nil {
		ic.step(now, once.RunFinished{Key: action.Key, Outcome: once.RunNotRun})
		return
	}
	runState := newRequestState(ic.controller.ctx, call.request, now)
	runState.deadline = call.deadline
	runState.onCompleted = func(ended *requestState) {
		ic.step(ic.controller.now(), runResult(action.Key, ended.response))
	}
	ic.controller.requests[call.request.ID] = runState
	ic.controller.enqueue(now, runState)
}

func runResult(key once.Key, ended *responseBuffer) once.RunFinished {
	head, data, refusal := ended.result()
	if refusal == nil && head != nil {
		return once.RunFinished{Key: key, Outcome: once.RunCompleted, Response: once.Response{
			StatusCode:  head.StatusCode,
			ContentType: head.ContentType,
			Body:        data,
		}}
	}
	result := once.RunFinished{Key: key, Outcome: once.RunUnknown}
	if refusal != nil {
		result.Refusal = *refusal
		if refusal.Outcome == wire.OutcomeNotRun {
			result.Outcome = once.RunNotRun
		}
	}
	return result
}

// reply completes a call.
func (ic *idempotentCalls) reply(now time.Time, action once.Reply) {
	call := ic.calls[action.RequestID]
	if call == nil {
		return
	}
	delete(ic.calls, action.RequestID)
	if action.Refusal != nil {
		refusal := *action.Refusal
		refusal.RequestID = call.request.ID
		call.response.refuse(&refusal)
	} else {
		call.response.start(action.Response.StatusCode, action.Response.ContentType, int64(len(action.Response.Body)))
		call.response.append(action.Response.Body)
		call.response.finish()
	}
	ic.controller.requests[call.request.ID] = call
	ic.controller.complete(call)
}
