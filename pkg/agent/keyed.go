package agent

import (
	"context"
	"fmt"
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

// recordStore reads and creates the records of idempotency keys.
type recordStore struct {
	store keyvalue.Store
	// lease and leaseUntil are used by one goroutine at a time, see create.
	lease      int64
	leaseUntil time.Time
}

// create writes the batch in one transaction if none of its keys exists, and
// returns the events that report the result for each record.
func (s *recordStore) create(ctx context.Context, batch once.Batch) []once.Event {
	var events []once.Event
	for len(batch.Writes) > 0 {
		existing, err := s.createAll(ctx, batch)
		if err != nil {
			return append(events, batch.Failed(keyvalue.IsUncertain(err))...)
		}
		if existing == nil {
			return append(events, batch.Created()...)
		}
		var resolved []once.Event
		resolved, batch = batch.Split(existing)
		if len(resolved) == 0 {
			return append(events, batch.Failed(false)...)
		}
		events = append(events, resolved...)
	}
	return events
}

// createAll returns nil without an error if all records were created, and
// otherwise the records that exist.
func (s *recordStore) createAll(ctx context.Context, batch once.Batch) (map[once.Key]once.Record, error) {
	lease, err := s.currentLease(ctx)
	if err != nil {
		return nil, err
	}
	conditions := make([]keyvalue.Compare, 0, len(batch.Writes))
	changes := make([]keyvalue.Op, 0, len(batch.Writes))
	keys := make(map[string]once.Key, len(batch.Writes))
	for _, write := range batch.Writes {
		value, err := write.Record.Encode()
		if err != nil {
			return nil, err
		}
		storeKey := write.Key.StoreKey()
		keys[storeKey] = write.Key
		conditions = append(conditions, keyvalue.Compare{Key: storeKey})
		changes = append(changes, keyvalue.Op{Key: storeKey, Value: value, Lease: lease})
	}
	result, err := s.store.Txn(ctx, conditions, changes)
	if err != nil {
		return nil, err
	}
	if result.Succeeded {
		return nil, nil
	}
	return conflictingRecords(result.Current, keys), nil
}

// conflictingRecords returns the existing records of a batch's keys. A record that
// can't be decoded counts as one without an owner.
func conflictingRecords(current []keyvalue.KeyValue, keys map[string]once.Key) map[once.Key]once.Record {
	existing := make(map[once.Key]once.Record, len(current))
	for _, value := range current {
		if value.ModRevision == 0 {
			continue
		}
		record, err := once.DecodeRecord(value.Value)
		if err != nil {
			record = once.Record{}
		}
		existing[keys[value.Key]] = record
	}
	return existing
}

// currentLease returns the lease for new records. Its errors aren't uncertain, as
// a failed grant leaves no record behind.
func (s *recordStore) currentLease(ctx context.Context) (int64, error) {
	now := time.Now()
	if s.lease != 0 && now.Before(s.leaseUntil) {
		return s.lease, nil
	}
	lease, err := s.store.Grant(ctx, recordTTL+recordLeaseReuse)
	if err != nil {
		return 0, fmt.Errorf("lease for records: %v", err)
	}
	s.lease = lease
	s.leaseUntil = now.Add(recordLeaseReuse)
	return lease, nil
}

// read returns the event that reports the owner of a key's record.
func (s *recordStore) read(ctx context.Context, key once.Key) once.Event {
	result, err := s.store.Range(ctx, key.StoreKey(), false)
	if err != nil {
		return once.RecordRead{Key: key, Failed: true}
	}
	if len(result.Values) == 0 {
		return once.RecordRead{Key: key}
	}
	record, err := once.DecodeRecord(result.Values[0].Value)
	if err != nil {
		return once.RecordRead{Key: key, Failed: true}
	}
	return once.RecordRead{Key: key, Found: true, Owner: record}
}

// idempotentCalls runs calls with an idempotency key at most once. Its methods run
// on the loop.
type idempotentCalls struct {
	controller *controller
	machine    *once.Machine
	batcher    *once.Batcher
	records    *recordStore
	// flushing reports whether a flush is scheduled.
	flushing bool
	// batches feeds the goroutine that writes records.
	batches chan once.Batch
	// calls holds the calls that wait for a reply, by request id.
	calls map[string]*requestState
	// nextTick is when the machine next drops expired keys.
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
func (k *idempotentCalls) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-k.batches:
			k.writeBatch(ctx, batch)
		}
	}
}

func (k *idempotentCalls) writeBatch(ctx context.Context, batch once.Batch) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	events := k.records.create(callCtx, batch)
	k.controller.loop.Post(func() { k.stepAll(k.controller.now(), events) })
}

// scheduleFlush schedules the write of the batched records for when it is due.
func (k *idempotentCalls) scheduleFlush(now time.Time) {
	due := k.batcher.NextDue()
	if k.flushing || due.IsZero() {
		return
	}
	k.flushing = true
	time.AfterFunc(due.Sub(now), func() {
		k.controller.loop.Post(func() { k.flushDue(k.controller.now()) })
	})
}

func (k *idempotentCalls) flushDue(now time.Time) {
	k.flushing = false
	if batch, ok := k.batcher.Due(now); ok {
		k.enqueueBatch(now, batch)
	}
	k.scheduleFlush(now)
}

func (k *idempotentCalls) enqueueBatch(now time.Time, batch once.Batch) {
	select {
	case k.batches <- batch:
	default:
		k.stepAll(now, batch.Failed(false))
	}
}

// submit starts processing a call.
func (k *idempotentCalls) submit(now time.Time, rs *requestState) {
	k.calls[rs.request.ID] = rs
	k.step(now, once.Call{
		Key:         idempotencyKey(rs.request),
		Fingerprint: once.NewFingerprint(rs.request.Method, rs.request.Path, rs.request.ContentType, rs.request.Body),
		RequestID:   rs.request.ID,
		Deadline:    rs.deadline,
	})
}

func idempotencyKey(request *wire.Request) once.Key {
	return once.NewKey(request.Plan, request.Service, request.IdempotencyKey)
}

// cancelWaiting drops a call whose caller disconnected before it ran.
func (k *idempotentCalls) cancelWaiting(now time.Time, rs *requestState) bool {
	if k.calls[rs.request.ID] != rs {
		return false
	}
	k.step(now, once.Cancel{Key: idempotencyKey(rs.request), RequestID: rs.request.ID})
	delete(k.calls, rs.request.ID)
	k.controller.refuse(now, rs, wire.OutcomeUnknown, wire.ReasonCancelled, 0, "")
	return true
}

func (k *idempotentCalls) tick(now time.Time) {
	if now.Before(k.nextTick) {
		return
	}
	k.nextTick = now.Add(tickInterval)
	k.step(now, once.Tick{})
}

func (k *idempotentCalls) isIdle() bool { return k.machine.Open() == 0 }

func (k *idempotentCalls) stepAll(now time.Time, events []once.Event) {
	for _, event := range events {
		k.step(now, event)
	}
}

func (k *idempotentCalls) step(now time.Time, event once.Event) {
	for _, action := range k.machine.Step(now, event) {
		k.execute(now, action)
	}
}

func (k *idempotentCalls) execute(now time.Time, action once.Action) {
	switch a := action.(type) {
	case once.WriteRecord:
		if batch, full := k.batcher.Add(now, a); full {
			k.enqueueBatch(now, batch)
		}
		k.scheduleFlush(now)
	case once.ReadRecord:
		k.readRecord(a.Key)
	case once.Run:
		k.run(now, a)
	case once.Reply:
		k.reply(now, a)
	}
}

func (k *idempotentCalls) readRecord(key once.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(k.controller.ctx, recordTimeout)
		defer cancel()
		event := k.records.read(ctx, key)
		k.controller.loop.Post(func() { k.step(k.controller.now(), event) })
	}()
}

// run queues the work of a call as a request of its own, so that its response can
// be returned to all calls that wait for the key.
func (k *idempotentCalls) run(now time.Time, action once.Run) {
	call := k.calls[action.RequestID]
	if call == nil {
		k.step(now, once.RunFinished{Key: action.Key, Outcome: once.RunNotRun})
		return
	}
	work := newRequestState(k.controller.ctx, call.request, now)
	work.deadline = call.deadline
	work.onCompleted = func(ended *requestState) {
		k.step(k.controller.now(), runResult(action.Key, ended.response))
	}
	k.controller.requests[call.request.ID] = work
	k.controller.enqueue(now, work)
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
func (k *idempotentCalls) reply(now time.Time, action once.Reply) {
	call := k.calls[action.RequestID]
	if call == nil {
		return
	}
	delete(k.calls, action.RequestID)
	if action.Refusal != nil {
		refusal := *action.Refusal
		refusal.RequestID = call.request.ID
		call.response.refuse(&refusal)
	} else {
		call.response.start(action.Response.StatusCode, action.Response.ContentType)
		call.response.append(action.Response.Body)
		call.response.finish()
	}
	k.controller.requests[call.request.ID] = call
	k.controller.complete(call)
}
