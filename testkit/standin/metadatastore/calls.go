package metadatastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
	"teaselgauge.example/teaselgauge/testkit/standin/revisions"
)

// item is a key on the wire.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

func itemOf(kv revisions.Record) item {
	return item{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Lease: kv.Lease,
	}
}

// itemAnswer answers a read of one key.
type itemAnswer struct {
	item
	AsOf int64 `json:"asOf"`
}

// rangeAnswer answers a read of one page.
type rangeAnswer struct {
	Items   []item `json:"items"`
	HasMore bool   `json:"hasMore"`
	AsOf    int64  `json:"asOf"`
}

// watchAnswer answers a watch.
type watchAnswer struct {
	Events []item `json:"events"`
	AsOf   int64  `json:"asOf"`
}

// failure is an answer that tells what went wrong.
type failure struct {
	Error string `json:"error"`
	AsOf  int64  `json:"asOf"`
}

func (s *Server) handleKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	s.store.Mu.Lock()
	kv, ok := s.store.Keys[key]
	revision := s.store.Revision
	s.store.Mu.Unlock()
	if !ok {
		httpapi.Write(w, http.StatusNotFound, failure{Error: "no such key", AsOf: revision})
		return
	}
	httpapi.Write(w, http.StatusOK, itemAnswer{item: itemOf(kv), AsOf: revision})
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := s.pageSize
	s.mu.Unlock()
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	answer := rangeAnswer{Items: []item{}, AsOf: s.store.Revision}
	for _, kv := range s.store.Range([]byte(prefix), revisions.PrefixEnd([]byte(prefix))) {
		if string(kv.Key) <= after {
			continue
		}
		if len(answer.Items) == page {
			answer.HasMore = true
			break
		}
		answer.Items = append(answer.Items, itemOf(kv))
	}
	httpapi.Write(w, http.StatusOK, answer)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Watches++ })
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		httpapi.Fail(w, http.StatusBadRequest, "after and waitMs must be whole numbers")
		return
	}
	prefix := []byte(query.Get("pathPrefix"))
	ends := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		if !s.admit(w, r) {
			return
		}
		s.store.Mu.Lock()
		changes, revision, changed := s.store.Since(after+1, prefix, revisions.PrefixEnd(prefix))
		gone := after+1 < s.store.Compacted
		s.store.Mu.Unlock()
		if gone {
			httpapi.Write(w, http.StatusGone, failure{Error: "history is gone", AsOf: revision})
			return
		}
		if len(changes) > 0 {
			httpapi.Write(w, http.StatusOK, watchAnswer{Events: events(changes), AsOf: revision})
			return
		}
		select {
		case <-changed:
		case <-ends:
			httpapi.Write(w, http.StatusOK, watchAnswer{Events: []item{}, AsOf: revision})
			return
		case <-r.Context().Done():
			return
		case <-s.stop:
			httpapi.Abort()
		}
	}
}

func events(changes []revisions.Event) []item {
	items := make([]item, 0, len(changes))
	for _, change := range changes {
		changed := itemOf(change.KV)
		changed.Tombstone = change.Type == revisions.Deletion
		items = append(items, changed)
	}
	return items
}

// transaction is a change under conditions.
type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Remove   []string `json:"remove"`
}

func (t *transaction) check() (int, string) {
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, "too many entries"
	}
	keys := slices.Clone(t.Remove)
	for _, put := range t.Puts {
		keys = append(keys, put.Key)
	}
	for _, key := range keys {
		switch {
		case key == "" || len(key) > maxKeyBytes:
			return http.StatusBadRequest, "key too short or too long"
		case strings.HasPrefix(key, operatorPrefix) || strings.HasPrefix(key, serverPrefix):
			return http.StatusForbidden, "not the system's key"
		}
	}
	return 0, ""
}

// conflictAnswer tells the present state of the expected keys.
type conflictAnswer struct {
	Items []item `json:"items"`
	AsOf  int64  `json:"asOf"`
}

type revisionAnswer struct {
	Revision int64 `json:"revision"`
}

func (s *Server) handleTxn(_ *http.Request, body []byte) (int, any) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, failure{Error: err.Error()}
	}
	if status, text := t.check(); status != 0 {
		return status, failure{Error: text}
	}
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	if items, ok := s.holds(t.Expected); !ok {
		return http.StatusPreconditionFailed, conflictAnswer{Items: items, AsOf: s.store.Revision}
	}
	for _, put := range t.Puts {
		if put.Lease != 0 && !s.store.HasLease(put.Lease) {
			return http.StatusNotFound, failure{Error: "no such lease", AsOf: s.store.Revision}
		}
	}
	s.store.Change(func() { t.apply(s.store) })
	return http.StatusOK, revisionAnswer{Revision: s.store.Revision}
}

func (t *transaction) apply(store *revisions.Store) {
	for _, put := range t.Puts {
		store.Put([]byte(put.Key), put.Value, put.Lease)
	}
	for _, key := range t.Remove {
		store.Remove([]byte(key))
	}
}

// holds tells whether conditions hold, and returns the keys' state.
func (s *Server) holds(expected []item) ([]item, bool) {
	items := make([]item, 0, len(expected))
	ok := true
	for _, condition := range expected {
		kv := s.store.Keys[condition.Key]
		kv.Key = []byte(condition.Key)
		ok = ok && kv.ModRevision == condition.Revision
		items = append(items, itemOf(kv))
	}
	return items, ok
}

type leaseAnswer struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

func (s *Server) handleGrant(_ *http.Request, body []byte) (int, any) {
	var request leaseAnswer
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, failure{Error: err.Error()}
	}
	ttl := min(max(time.Duration(request.TTL)*time.Millisecond, minTTL), maxTTL)
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	const anyID = 0
	return http.StatusOK, leaseAnswer{Lease: s.store.Grant(anyID, ttl), TTL: ttl.Milliseconds()}
}

func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Server) handleKeep(r *http.Request, _ []byte) (int, any) {
	s.count(func(c *Calls) { c.Renewals++ })
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	ttl := s.store.KeepAlive(leaseID(r))
	if ttl == 0 {
		return http.StatusNotFound, failure{Error: "lease has ended"}
	}
	return http.StatusOK, leaseAnswer{TTL: ttl.Milliseconds()}
}

func (s *Server) handleEnd(r *http.Request, _ []byte) (int, any) {
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	if !s.store.Revoke(leaseID(r)) {
		return http.StatusNotFound, failure{Error: "lease has ended"}
	}
	return http.StatusOK, leaseAnswer{}
}
