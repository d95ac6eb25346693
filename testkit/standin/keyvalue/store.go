package keyvalue

import (
	"bytes"
	"errors"
	"sort"
	"sync"
	"time"
)

// maxHistory is the number of changes that are kept for watches. Older ones are
// compacted.
const maxHistory = 100_000

// errNoLease tells that a put names a lease that does not exist.
var errNoLease = errors.New("requested lease not found")

// record is one key.
type record struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// event is one change, as watches see it.
type event struct {
	Type string `json:"type,omitempty"`
	KV   record `json:"kv"`
}

// lease is a time to live that several keys may share.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

// store holds the keys, leases and the history of changes.
type store struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]record
	leases   map[int64]*lease
	nextID   int64
	// history holds the changes after the compacted revision, in order.
	history   []event
	compacted int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1,
		keys:     map[string]record{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

// inRange tells whether a key lies in etcd's range form: one key if end is
// empty, all from key on if end is a zero byte.
func inRange(candidate, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(candidate, key)
	}
	if bytes.Compare(candidate, key) < 0 {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || bytes.Compare(candidate, end) < 0
}

func (s *store) readRange(key, end []byte) []record {
	var found []record
	if len(end) == 0 {
		if kv, ok := s.keys[string(key)]; ok {
			found = append(found, kv)
		}
		return found
	}
	for name, kv := range s.keys {
		if inRange([]byte(name), key, end) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return bytes.Compare(found[i].Key, found[j].Key) < 0 })
	return found
}

func (s *store) put(key, value []byte, leaseID int64) {
	name := string(key)
	previous, existed := s.keys[name]
	kv := record{
		Key: key, Value: value, CreateRevision: s.revision, ModRevision: s.revision, Version: 1, Lease: leaseID,
	}
	if existed {
		kv.CreateRevision = previous.CreateRevision
		kv.Version = previous.Version + 1
		s.detach(name, previous.Lease)
	}
	if l, ok := s.leases[leaseID]; ok {
		l.keys[name] = struct{}{}
	}
	s.keys[name] = kv
	s.history = append(s.history, event{KV: kv})
}

func (s *store) remove(key []byte) bool {
	name := string(key)
	previous, existed := s.keys[name]
	if !existed {
		return false
	}
	delete(s.keys, name)
	s.detach(name, previous.Lease)
	s.history = append(s.history, event{Type: "DELETE", KV: record{Key: key, ModRevision: s.revision}})
	return true
}

func (s *store) detach(name string, leaseID int64) {
	if l, ok := s.leases[leaseID]; ok {
		delete(l.keys, name)
	}
}

// publish wakes the watches after a change.
func (s *store) publish() {
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactBefore(s.history[excess].KV.ModRevision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactBefore drops the changes before a revision.
func (s *store) compactBefore(revision int64) {
	kept := sort.Search(len(s.history), func(i int) bool { return s.history[i].KV.ModRevision >= revision })
	s.history = append([]event(nil), s.history[kept:]...)
	s.compacted = max(s.compacted, revision)
}

// since returns the changes in a range from a revision on, the revision up to
// which they are complete, and a channel that is closed at the next change.
func (s *store) since(from int64, key, end []byte) (events []event, revision int64, changed <-chan struct{}) {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].KV.ModRevision >= from })
	for _, change := range s.history[first:] {
		if inRange(change.KV.Key, key, end) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) grant(id int64, ttl time.Duration) int64 {
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

func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoke(id)
}

// revoke ends a lease and deletes its keys in one revision.
func (s *store) revoke(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return true
	}
	s.revision++
	for name := range l.keys {
		s.remove([]byte(name))
	}
	s.publish()
	return true
}

// keepAlive renews a lease and returns its time to live, zero if it is gone.
func (s *store) keepAlive(id int64) time.Duration {
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.timer.Reset(l.ttl)
	return l.ttl
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
