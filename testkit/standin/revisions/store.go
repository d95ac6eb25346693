// Package revisions implements the content of a key-value service with a single
// revision counter: keys, leases and the history of changes. Stand-ins for
// services with different interfaces are built on it.
package revisions

import (
	"bytes"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"
)

// maxHistory is the number of changes that are kept for watches. Older changes are
// compacted.
const maxHistory = 100_000

// ErrNoLease is returned if a put refers to a lease that doesn't exist.
var ErrNoLease = errors.New("requested lease not found")

// Record is one key. Its field names are etcd's.
type Record struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// Deletion is the type of an Event that deletes a key.
const Deletion = "DELETE"

// Event is one change, as it is sent to watches.
type Event struct {
	Type string `json:"type,omitempty"`
	KV   Record `json:"kv"`
}

// lease is a lease to which several keys may be attached.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

// Store holds the keys, the leases and the history of changes. Except for Close,
// its methods must be called with Mu held. Use New.
type Store struct {
	Mu sync.Mutex
	// Revision is the revision of the last change.
	Revision int64
	Keys     map[string]Record
	// Compacted is the first revision that the history covers.
	Compacted int64

	leases map[int64]*lease
	nextID int64
	// paused suspends the expiry of leases; leases that reach their end meanwhile
	// are collected in expiredWhilePaused.
	paused             bool
	expiredWhilePaused []int64
	// history holds the changes since the compacted revision, in order.
	history []Event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		Revision: 1,
		Keys:     map[string]Record{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// PrefixEnd returns the end of the range of all keys with a prefix, in etcd's
// form.
func PrefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// inRange reports whether a key lies in a range in etcd's form: a single key if
// end is empty, all keys from key on if end is a zero byte.
func inRange(candidate, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(candidate, key)
	}
	if bytes.Compare(candidate, key) < 0 {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || bytes.Compare(candidate, end) < 0
}

// Range returns the keys of a range in order.
func (s *Store) Range(key, end []byte) []Record {
	var found []Record
	if len(end) == 0 {
		if kv, ok := s.Keys[string(key)]; ok {
			found = append(found, kv)
		}
		return found
	}
	for name, kv := range s.Keys {
		if inRange([]byte(name), key, end) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	return found
}

// Put writes a key at the current revision.
func (s *Store) Put(key, value []byte, leaseID int64) {
	name := string(key)
	previous, existed := s.Keys[name]
	kv := Record{
		Key: key, Value: value, CreateRevision: s.Revision, ModRevision: s.Revision, Version: 1, Lease: leaseID,
	}
	if existed {
		kv.CreateRevision = previous.CreateRevision
		kv.Version = previous.Version + 1
		s.detach(name, previous.Lease)
	}
	if l, ok := s.leases[leaseID]; ok {
		l.keys[name] = struct{}{}
	}
	s.Keys[name] = kv
	s.history = append(s.history, Event{KV: kv})
}

// Remove deletes a key at the current revision and reports whether it existed.
func (s *Store) Remove(key []byte) bool {
	name := string(key)
	previous, existed := s.Keys[name]
	if !existed {
		return false
	}
	delete(s.Keys, name)
	s.detach(name, previous.Lease)
	s.history = append(s.history, Event{Type: Deletion, KV: Record{Key: key, ModRevision: s.Revision}})
	return true
}

func (s *Store) detach(name string, leaseID int64) {
	if l, ok := s.leases[leaseID]; ok {
		delete(l.keys, name)
	}
}

// Change applies changes in one new revision. If nothing changes, the revision
// stays as it is.
func (s *Store) Change(apply func()) {
	before := len(s.history)
	s.Revision++
	apply()
	if len(s.history) == before {
		s.Revision--
		return
	}
	s.publish()
}

// publish compacts excess history and notifies the watches after a change.
func (s *Store) publish() {
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.Compact(s.history[excess].KV.ModRevision)
	}
	s.NotifyWatchers()
}

// NotifyWatchers makes waiting watches read the store again.
func (s *Store) NotifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the changes before a revision.
func (s *Store) Compact(revision int64) {
	kept := sort.Search(len(s.history), func(i int) bool { return s.history[i].KV.ModRevision >= revision })
	s.history = append([]Event(nil), s.history[kept:]...)
	s.Compacted = max(s.Compacted, revision)
}

// Since returns the changes in a range from a revision on, the revision up to
// which they are complete, and a channel that is closed at the next change.
func (s *Store) Since(from int64, key, end []byte) (events []Event, revision int64, changed <-chan struct{}) {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].KV.ModRevision >= from })
	for _, change := range s.history[first:] {
		if inRange(change.KV.Key, key, end) {
			events = append(events, change)
		}
	}
	return events, s.Revision, s.changed
}

// HasLease reports whether a lease exists.
func (s *Store) HasLease(id int64) bool {
	_, ok := s.leases[id]
	return ok
}

// Grant creates a lease. If the ID is zero, the store chooses one.
func (s *Store) Grant(id int64, ttl time.Duration) int64 {
	if id == 0 {
		s.nextID++
		id = 7_000_000 + s.nextID
	}
	s.leases[id] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.expire(id) }),
		keys:  map[string]struct{}{},
	}
	return id
}

func (s *Store) expire(id int64) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.paused {
		s.expiredWhilePaused = append(s.expiredWhilePaused, id)
		return
	}
	s.Revoke(id)
}

// PauseLeases suspends the expiry of leases, or resumes it and revokes the leases
// that expired meanwhile.
func (s *Store) PauseLeases(paused bool) {
	s.paused = paused
	if paused {
		return
	}
	for _, id := range s.expiredWhilePaused {
		s.Revoke(id)
	}
	s.expiredWhilePaused = nil
}

// Revoke ends a lease and deletes its keys in one revision. It reports whether the
// lease existed.
func (s *Store) Revoke(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.Change(func() {
		for name := range l.keys {
			s.Remove([]byte(name))
		}
	})
	return true
}

// KeepAlive renews a lease and returns its time to live, or zero if it doesn't
// exist.
func (s *Store) KeepAlive(id int64) time.Duration {
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.timer.Reset(l.ttl)
	s.expiredWhilePaused = slices.DeleteFunc(s.expiredWhilePaused, func(other int64) bool { return other == id })
	return l.ttl
}

// Close stops the timers of the leases.
func (s *Store) Close() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
