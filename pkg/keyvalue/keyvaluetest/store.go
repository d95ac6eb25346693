// Package keyvaluetest has an in-memory key-value service for tests. It keeps
// revisions, compare-and-swap, leases and watches, and it fails on demand.
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

// ErrDown is the cause of failures while the store is down.
var ErrDown = errors.New("store is down")

// ErrResponseLost is the cause of failures of calls that may have taken effect.
var ErrResponseLost = errors.New("answer lost")

// Faults says how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down refuses all calls and breaks all watches.
	Down bool
	// LoseResponses is the share of transactions, from 0 to 1, that take effect
	// and whose answer is lost.
	LoseResponses float64
	// LoseRequests is the share of transactions, from 0 to 1, that take no
	// effect and fail like those whose answer is lost.
	LoseRequests float64
	// MaxDelay bounds the random delay of each call, before and after its effect.
	MaxDelay time.Duration
}

// Store implements keyvalue.LeaseStore in memory.
type Store struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	revision int64
	first    int64
	values   map[string]keyvalue.KeyValue
	leases   map[string]int64
	// ended holds the leases that have ended.
	ended   map[int64]bool
	nextID  int64
	log     []change
	changed chan struct{}
	calls   int
}

// change is one entry of the history that watches read.
type change struct {
	revision int64
	events   []keyvalue.WatchEvent
}

// NewStore returns an empty, healthy store. The seed drives its faults.
func NewStore(seed uint64) *Store {
	return &Store{
		random:  rand.New(rand.NewPCG(seed, seed)),
		values:  make(map[string]keyvalue.KeyValue),
		leases:  make(map[string]int64),
		ended:   make(map[int64]bool),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults of all later calls.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Calls returns how many calls the store has got.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact forgets the history that watches read, up to now.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = s.revision
	s.log = nil
	s.wake()
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

// commit applies a transaction and tells whether its answer is lost.
func (s *Store) commit(conditions []keyvalue.Compare, changes []keyvalue.Op) (keyvalue.TxnResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.faults.LoseRequests {
		return keyvalue.TxnResult{}, true
	}
	lost := s.random.Float64() < s.faults.LoseResponses
	if !s.hold(conditions) {
		return keyvalue.TxnResult{Revision: s.revision, Current: s.compared(conditions)}, lost
	}
	s.apply(changes)
	return keyvalue.TxnResult{Succeeded: true, Revision: s.revision}, lost
}

func (s *Store) hold(conditions []keyvalue.Compare) bool {
	for _, condition := range conditions {
		if s.values[condition.Key].ModRevision != condition.ModRevision {
			return false
		}
	}
	return true
}

func (s *Store) compared(conditions []keyvalue.Compare) []keyvalue.KeyValue {
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
	s.log = append(s.log, entry)
	s.wake()
}

func (s *Store) applyOp(op keyvalue.Op) (keyvalue.WatchEvent, bool) {
	old, existed := s.values[op.Key]
	if op.Delete {
		delete(s.values, op.Key)
		delete(s.leases, op.Key)
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
	s.leases[op.Key] = op.Lease
	return keyvalue.WatchEvent{Value: clone(value)}, true
}

// Grant implements keyvalue.Store. Leases end only by Expire.
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
	for _, key := range slices.Sorted(maps.Keys(s.leases)) {
		if lease != 0 && s.leases[key] == lease {
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

// since returns the changes after a revision and a channel that is closed by
// the next change.
func (s *Store) since(after int64) ([]change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, nil, &keyvalue.StoreError{Op: "watch", Err: ErrDown}
	}
	if after < s.first {
		return nil, nil, &keyvalue.StoreError{Op: "watch", Err: keyvalue.ErrCompacted}
	}
	start := len(s.log)
	for start > 0 && s.log[start-1].revision > after {
		start--
	}
	return slices.Clone(s.log[start:]), s.changed, nil
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

// delay holds an answer back. A transaction whose caller gives up meanwhile has
// taken effect.
func (s *Store) delay(ctx context.Context, op string) error {
	if err := s.sleep(ctx); err != nil {
		return &keyvalue.StoreError{Op: op, Uncertain: op == "txn", Err: err}
	}
	return nil
}

func (s *Store) sleep(ctx context.Context) error {
	s.mu.Lock()
	limit := s.faults.MaxDelay
	var pause time.Duration
	if limit > 0 {
		pause = time.Duration(s.random.Int64N(int64(limit)))
	}
	s.mu.Unlock()
	if pause == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// wake lets watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(value keyvalue.KeyValue) keyvalue.KeyValue {
	value.Value = slices.Clone(value.Value)
	return value
}
