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
	// recordTTL is how long a record of an idempotency key is kept at least.
	recordTTL = 24 * time.Hour
	// recordLeaseSpan is how long one lease takes up new records.
	recordLeaseSpan = time.Hour
	// recordTimeout bounds one call to the key-value service for records.
	recordTimeout = 2 * time.Second
)

// recordStore reads and creates records of idempotency keys.
type recordStore struct {
	store keyvalue.Store
	// lease and leaseUntil are used by one goroutine at a time, see create.
	lease      int64
	leaseUntil time.Time
}

// create writes the batch in one transaction if none of its keys exists, and
// returns the events that tell each record's fate.
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
		var settled []once.Event
		settled, batch = batch.Split(existing)
		if len(settled) == 0 {
			return append(events, batch.Failed(false)...)
		}
		events = append(events, settled...)
	}
	return events
}

// createAll returns nil without an error if all records were created, else the
// records that exist.
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
	return existingRecords(result.Current, keys), nil
}

// existingRecords returns the records that stand in the way of a batch. One that
// can't be read counts as a record without an owner.
func existingRecords(current []keyvalue.KeyValue, keys map[string]once.Key) map[once.Key]once.Record {
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

// currentLease returns the lease for new records. A failed grant leaves no
// record behind, so it isn't uncertain.
func (s *recordStore) currentLease(ctx context.Context) (int64, error) {
	now := time.Now()
	if s.lease != 0 && now.Before(s.leaseUntil) {
		return s.lease, nil
	}
	lease, err := s.store.Grant(ctx, recordTTL+recordLeaseSpan)
	if err != nil {
		return 0, fmt.Errorf("lease for records: %v", err)
	}
	s.lease = lease
	s.leaseUntil = now.Add(recordLeaseSpan)
	return lease, nil
}

// read returns the event that tells whose record a key has.
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

// keyedCalls runs calls with an idempotency key at most once. Its methods run
// on the loop.
type keyedCalls struct {
	controller *controller
	machine    *once.Machine
	batcher    *once.Batcher
	records    *recordStore
	// flushing tells that a flush is scheduled.
	flushing bool
	// batches feeds the goroutine that writes records.
	batches chan once.Batch
	// calls holds the tickets of the calls that wait for a reply.
	calls map[string]*ticket
	// nextTick is when the machine drops old keys next.
	nextTick time.Time
}

// recordBatchQueue is how many batches may wait for the key-value service.
const recordBatchQueue = 256

func newKeyedCalls(c *controller, store keyvalue.Store) *keyedCalls {
	return &keyedCalls{
		controller: c,
		machine:    once.NewMachine(once.Config{Agent: c.runner, Incarnation: c.incarnation}),
		batcher:    once.NewBatcher(once.DefaultBatchDelay),
		records:    &recordStore{store: store},
		batches:    make(chan once.Batch, recordBatchQueue),
		calls:      make(map[string]*ticket),
	}
}

// writeRecords creates records until ctx ends.
func (k *keyedCalls) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-k.batches:
			k.writeBatch(ctx, batch)
		}
	}
}

func (k *keyedCalls) writeBatch(ctx context.Context, batch once.Batch) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	events := k.records.create(callCtx, batch)
	k.controller.loop.Post(func() { k.stepAll(k.controller.now(), events) })
}

// scheduleFlush hands the waiting records over when they are due.
func (k *keyedCalls) scheduleFlush(now time.Time) {
	due := k.batcher.NextDue()
	if k.flushing || due.IsZero() {
		return
	}
	k.flushing = true
	time.AfterFunc(due.Sub(now), func() {
		k.controller.loop.Post(func() { k.flushDue(k.controller.now()) })
	})
}

func (k *keyedCalls) flushDue(now time.Time) {
	k.flushing = false
	if batch, ok := k.batcher.Due(now); ok {
		k.send(now, batch)
	}
	k.scheduleFlush(now)
}

func (k *keyedCalls) send(now time.Time, batch once.Batch) {
	select {
	case k.batches <- batch:
	default:
		k.stepAll(now, batch.Failed(false))
	}
}

// call takes in a call.
func (k *keyedCalls) call(now time.Time, t *ticket) {
	k.calls[t.request.ID] = t
	k.step(now, once.Call{
		Key:         keyOf(t.request),
		Fingerprint: once.NewFingerprint(t.request.Method, t.request.Path, t.request.ContentType, t.request.Body),
		RequestID:   t.request.ID,
		Deadline:    t.deadline,
	})
}

func keyOf(request *wire.Request) once.Key {
	return once.NewKey(request.Plan, request.Service, request.IdempotencyKey)
}

// cancelWaiting drops a call whose caller went away before it ran.
func (k *keyedCalls) cancelWaiting(now time.Time, t *ticket) bool {
	if k.calls[t.request.ID] != t {
		return false
	}
	k.step(now, once.Cancel{Key: keyOf(t.request), RequestID: t.request.ID})
	delete(k.calls, t.request.ID)
	k.controller.end(now, t, wire.OutcomeUnknown, wire.ReasonCancelled, 0, "")
	return true
}

func (k *keyedCalls) tick(now time.Time) {
	if now.Before(k.nextTick) {
		return
	}
	k.nextTick = now.Add(tickInterval)
	k.step(now, once.Tick{})
}

func (k *keyedCalls) idle() bool { return k.machine.Open() == 0 }

func (k *keyedCalls) stepAll(now time.Time, events []once.Event) {
	for _, event := range events {
		k.step(now, event)
	}
}

func (k *keyedCalls) step(now time.Time, event once.Event) {
	for _, action := range k.machine.Step(now, event) {
		k.act(now, action)
	}
}

func (k *keyedCalls) act(now time.Time, action once.Action) {
	switch a := action.(type) {
	case once.WriteRecord:
		if batch, full := k.batcher.Add(now, a); full {
			k.send(now, batch)
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

func (k *keyedCalls) readRecord(key once.Key) {
	go func() {
		ctx, cancel := context.WithTimeout(k.controller.ctx, recordTimeout)
		defer cancel()
		event := k.records.read(ctx, key)
		k.controller.loop.Post(func() { k.step(k.controller.now(), event) })
	}()
}

// run queues the work of a call as a ticket of its own, so that the answer can
// serve all calls that wait for the key.
func (k *keyedCalls) run(now time.Time, action once.Run) {
	call := k.calls[action.RequestID]
	if call == nil {
		k.step(now, once.RunFinished{Key: action.Key, Outcome: once.RunNotRun})
		return
	}
	work := newTicket(k.controller.ctx, call.request, now)
	work.deadline = call.deadline
	work.finished = func(ended *ticket) {
		k.step(k.controller.now(), runResult(action.Key, ended.answer))
	}
	k.controller.tickets[call.request.ID] = work
	k.controller.enqueue(now, work)
}

func runResult(key once.Key, ended *answer) once.RunFinished {
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

// reply ends a call.
func (k *keyedCalls) reply(now time.Time, action once.Reply) {
	call := k.calls[action.RequestID]
	if call == nil {
		return
	}
	delete(k.calls, action.RequestID)
	if action.Refusal != nil {
		refusal := *action.Refusal
		refusal.RequestID = call.request.ID
		call.answer.refuse(&refusal)
	} else {
		call.answer.start(action.Response.StatusCode, action.Response.ContentType)
		call.answer.append(action.Response.Body)
		call.answer.finish()
	}
	k.controller.tickets[call.request.ID] = call
	k.controller.retire(call)
}
