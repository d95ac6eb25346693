// Package keyvaluetest provides an in-memory key-value service for tests. It
// supports revisions, compare-and-swap, leases and watches, and can inject faults.
package keyvaluetest

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// ErrDown is the cause of errors while the store is down.
var ErrDown = errors.New("store is down")

// ErrResponseLost is the cause of errors of calls that may have taken effect.
var ErrResponseLost = errors.New("response lost")

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Down makes all calls and watches fail.
	Down bool
	// LoseResponses is the fraction of transactions, from 0 to 1, that take
	// effect but whose response is lost.
	LoseResponses float64
	// LoseRequests is the fraction of transactions, from 0 to 1, that take no effect
	// and fail with the same error as those whose response is lost.
	LoseRequests float64
	// MaxDelay limits the random delay of each call, before and after its effect.
	MaxDelay time.Duration
}

// Store implements keyvalue.LeaseStore in memory.
type Store struct {
	mu                sync.Mutex
	random            *rand.Rand
	faults            Faults
	revision          int64
	compactedRevision int64
	values            map[string]keyvalue.KeyValue
	keyLeases         map[string]int64
	// ended holds the leases that expired or were revoked.
	ended   map[int64]bool
	nextID  int64
	history []change
	changed chan struct{}
	calls   int
}

// change is one entry of the history that watches read.
type change struct {
	revision int64
	events   []keyvalue.WatchEvent
}

// NewStore returns an empty store without faults. The seed determines the random
// faults.
func NewStore(seed uint64) *Store {
	return &Store{
		random:    rand.New(rand.NewPCG(seed, seed)),
		values:    make(map[string]keyvalue.KeyValue),
		keyLeases: make(map[string]int64),
		ended:     make(map[int64]bool),
		changed:   make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. They apply to later calls and to watches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// Calls returns the number of calls that the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the watch history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.history = nil
	s.notifyWatches()
}

// Range implements keyvalue.Store.
func (s *Store) Range(ctx context.Context, key string, prefix bool) (keyvalue.RangeResult, error) {
	if err := s.begin(ctx, "range"); err != nil {
		return keyvalue.RangeResult{}, err
	}
	result := s.read(key, prefix)
	return result, s.delay(ctx, "range")
}

func (s *Store) read(key string, prefix bool) keyvalue.RangeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := keyvalue.RangeResult{Revision: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if name == key || prefix && strings.HasPrefix(name, key) {
			result.Values = append(result.Values, clone(s.values[name]))
		}
	}
	return result
}

// Txn implements keyvalue.Store.
func (s *Store) Txn(ctx context.Context, conditions []keyvalue.Compare, changes []keyvalue.Op) (keyvalue.TxnResult, error) {
	if err := s.begin(ctx, "txn"); err != nil {
		return keyvalue.TxnResult{}, err
	}
	result, lost := s.commit(conditions, changes)
	if lost {
		return keyvalue.TxnResult{}, &keyvalue.StoreError{Op: "txn", Uncertain: true, Err: ErrResponseLost}
	}
	return result, s.delay(ctx, "txn")
}

// commit applies a transaction and reports whether its response is lost.
func (s *Store) commit(conditions []keyvalue.Compare, changes []keyvalue.Op) (keyvalue.TxnResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.faults.LoseRequests {
		return keyvalue.TxnResult{}, true
	}
	lost := s.random.Float64() < s.faults.LoseResponses
	if !s.conditionsHold(conditions) {
		return keyvalue.TxnResult{Revision: s.revision, Current: s.currentValues(conditions)}, lost
	}
	s.apply(changes)
	return keyvalue.TxnResult{Succeeded: true, Revision: s.revision}, lost
}

func (s *Store) conditionsHold(conditions []keyvalue.Compare) bool {
	for _, condition := range conditions {
		if s.values[condition.Key].ModRevision != condition.ModRevision {
			return false
		}
	}
	return true
}

func (s *Store) currentValues(conditions []keyvalue.Compare) []keyvalue.KeyValue {
	var current []keyvalue.KeyValue
	for _, condition := range conditions {
		if value, ok := s.values[condition.Key]; ok {
			current = append(current, clone(value))
		}
	}
	return current
}

func (s *Store) apply(changes []keyvalue.Op) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	entry := change{revision: s.revision}
	for _, op := range changes {
		if event, ok := s.applyOp(op); ok {
			entry.events = append(entry.events, event)
		}
	}
	s.history = append(s.history, entry)
	s.notifyWatches()
}

func (s *Store) applyOp(op keyvalue.Op) (keyvalue.WatchEvent, bool) {
	old, existed := s.values[op.Key]
	if op.Delete {
		delete(s.values, op.Key)
		delete(s.keyLeases, op.Key)
		value := keyvalue.KeyValue{Key: op.Key, ModRevision: s.revision}
		return keyvalue.WatchEvent{Deleted: true, Value: value}, existed
	}
	value := keyvalue.KeyValue{
		Key:            op.Key,
		Value:          slices.Clone(op.Value),
		CreateRevision: s.revision,
		ModRevision:    s.revision,
	}
	if existed {
		value.CreateRevision = old.CreateRevision
	}
	s.values[op.Key] = value
	s.keyLeases[op.Key] = op.Lease
	return keyvalue.WatchEvent{Value: clone(value)}, true
}

// Grant implements keyvalue.Store. Leases end only by Expire or Revoke.
func (s *Store) Grant(ctx context.Context, _ time.Duration) (int64, error) {
	if err := s.begin(ctx, "grant"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return s.nextID, nil
}

// KeepAlive implements keyvalue.LeaseStore.
func (s *Store) KeepAlive(ctx context.Context, lease int64) error {
	if err := s.begin(ctx, "keep-alive"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease > s.nextID || s.ended[lease] {
		return &keyvalue.StoreError{Op: "keep-alive", Err: keyvalue.ErrLeaseEnded}
	}
	return nil
}

// Revoke implements keyvalue.LeaseStore.
func (s *Store) Revoke(ctx context.Context, lease int64) error {
	if err := s.begin(ctx, "revoke"); err != nil {
		return err
	}
	s.Expire(lease)
	return nil
}

// Expire ends a lease and deletes its keys.
func (s *Store) Expire(lease int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[lease] = true
	var changes []keyvalue.Op
	for _, key := range slices.Sorted(maps.Keys(s.keyLeases)) {
		if lease != 0 && s.keyLeases[key] == lease {
			changes = append(changes, keyvalue.Op{Key: key, Delete: true})
		}
	}
	s.apply(changes)
}

// Watch implements keyvalue.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, fn func(int64, []keyvalue.WatchEvent)) error {
	if err := s.begin(ctx, "watch"); err != nil {
		return err
	}
	for {
		batch, changed, err := s.since(after)
		if err != nil {
			return err
		}
		for _, entry := range batch {
			after = entry.revision
			if events := matching(entry.events, prefix); len(events) > 0 {
				fn(entry.revision, events)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// since returns the changes after a revision, and a channel that is closed by the
// next change.
func (s *Store) since(after int64) ([]change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, nil, &keyvalue.StoreError{Op: "watch", Err: ErrDown}
	}
	if after < s.compactedRevision {
		return nil, nil, &keyvalue.StoreError{Op: "watch", Err: keyvalue.ErrCompacted}
	}
	start := len(s.history)
	for start > 0 && s.history[start-1].revision > after {
		start--
	}
	return slices.Clone(s.history[start:]), s.changed, nil
}

func matching(events []keyvalue.WatchEvent, prefix string) []keyvalue.WatchEvent {
	var found []keyvalue.WatchEvent
	for _, event := range events {
		if strings.HasPrefix(event.Value.Key, prefix) {
			found = append(found, event)
		}
	}
	return found
}

func (s *Store) begin(ctx context.Context, op string) error {
	s.mu.Lock()
	s.calls++
	down := s.faults.Down
	s.mu.Unlock()
	if down {
		return &keyvalue.StoreError{Op: op, Err: ErrDown}
	}
	if err := s.sleep(ctx); err != nil {
		return &keyvalue.StoreError{Op: op, Err: err}
	}
	return nil
}

// delay delays a response. If the caller's context ends during the delay of a
// transaction, the transaction has still taken effect.
func (s *Store) delay(ctx context.Context, op string) error {
	if err := s.sleep(ctx); err != nil {
		return &keyvalue.StoreError{Op: op, Uncertain: op == "txn", Err: err}
	}
	return nil
}

func (s *Store) sleep(ctx context.Context) error {
	s.mu.Lock()
	limit := s.faults.MaxDelay
	var delay time.Duration
	if limit > 0 {
		delay = time.Duration(s.random.Int64N(int64(limit)))
	}
	s.mu.Unlock()
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// notifyWatches notifies the watches. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(value keyvalue.KeyValue) keyvalue.KeyValue {
	value.Value = slices.Clone(value.Value)
	return value
}
