package agent

import (
	"context"
	"fmt"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/once"
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
		return 0, fmt.Errorf("grant a lease for idempotency records: %v", err)
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
