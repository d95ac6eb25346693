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

// item is the wire format of a key.
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

// itemResponse is the response to a read of one key.
type itemResponse struct {
	item
	AsOf int64 `json:"asOf"`
}

// rangeResponse is the response to a read of one page of a range.
type rangeResponse struct {
	Items   []item `json:"items"`
	HasMore bool   `json:"hasMore"`
	AsOf    int64  `json:"asOf"`
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Events []item `json:"events"`
	AsOf   int64  `json:"asOf"`
}

// errorResponse is the response to a failed call.
type errorResponse struct {
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
		httpapi.WriteJSON(w, http.StatusNotFound, errorResponse{Error: "no such key", AsOf: revision})
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, itemResponse{item: itemOf(kv), AsOf: revision})
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := s.pageSize
	s.mu.Unlock()
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	response := rangeResponse{Items: []item{}, AsOf: s.store.Revision}
	for _, kv := range s.store.Range([]byte(prefix), revisions.PrefixEnd([]byte(prefix))) {
		if string(kv.Key) <= after {
			continue
		}
		if len(response.Items) == page {
			response.HasMore = true
			break
		}
		response.Items = append(response.Items, itemOf(kv))
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Watches++ })
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		httpapi.WriteError(w, http.StatusBadRequest, "after and waitMs must be whole numbers")
		return
	}
	prefix := []byte(query.Get("pathPrefix"))
	ends := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		if !s.injectFaults(w, r) {
			return
		}
		s.store.Mu.Lock()
		changes, revision, changed := s.store.Since(after+1, prefix, revisions.PrefixEnd(prefix))
		compacted := after+1 < s.store.Compacted
		s.store.Mu.Unlock()
		if compacted {
			httpapi.WriteJSON(w, http.StatusGone, errorResponse{Error: "history is gone", AsOf: revision})
			return
		}
		if len(changes) > 0 {
			httpapi.WriteJSON(w, http.StatusOK, watchResponse{Events: events(changes), AsOf: revision})
			return
		}
		select {
		case <-changed:
		case <-ends:
			httpapi.WriteJSON(w, http.StatusOK, watchResponse{Events: []item{}, AsOf: revision})
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

// transaction is a set of changes that are applied if all conditions hold.
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

// conflictResponse returns the current state of the expected keys.
type conflictResponse struct {
	Items []item `json:"items"`
	AsOf  int64  `json:"asOf"`
}

type revisionResponse struct {
	Revision int64 `json:"revision"`
}

func (s *Server) handleTxn(_ *http.Request, body []byte) (int, any) {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return http.StatusBadRequest, errorResponse{Error: err.Error()}
	}
	if status, text := t.check(); status != 0 {
		return status, errorResponse{Error: text}
	}
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	if items, ok := s.checkConditions(t.Expected); !ok {
		return http.StatusPreconditionFailed, conflictResponse{Items: items, AsOf: s.store.Revision}
	}
	for _, put := range t.Puts {
		if put.Lease != 0 && !s.store.HasLease(put.Lease) {
			return http.StatusNotFound, errorResponse{Error: "no such lease", AsOf: s.store.Revision}
		}
	}
	s.store.Change(func() { t.apply(s.store) })
	return http.StatusOK, revisionResponse{Revision: s.store.Revision}
}

func (t *transaction) apply(store *revisions.Store) {
	for _, put := range t.Puts {
		store.Put([]byte(put.Key), put.Value, put.Lease)
	}
	for _, key := range t.Remove {
		store.Remove([]byte(key))
	}
}

// checkConditions reports whether all conditions hold, and returns the current
// state of their keys.
func (s *Server) checkConditions(expected []item) ([]item, bool) {
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

// leaseMessage is the request for a lease and the response to lease calls.
type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

func (s *Server) handleGrant(_ *http.Request, body []byte) (int, any) {
	var request leaseMessage
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest, errorResponse{Error: err.Error()}
	}
	ttl := min(max(time.Duration(request.TTL)*time.Millisecond, minTTL), maxTTL)
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	const anyID = 0
	return http.StatusOK, leaseMessage{Lease: s.store.Grant(anyID, ttl), TTL: ttl.Milliseconds()}
}

func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Server) handleKeepAlive(r *http.Request, _ []byte) (int, any) {
	s.count(func(c *Calls) { c.Renewals++ })
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	ttl := s.store.KeepAlive(leaseID(r))
	if ttl == 0 {
		return http.StatusNotFound, errorResponse{Error: "lease has ended"}
	}
	return http.StatusOK, leaseMessage{TTL: ttl.Milliseconds()}
}

func (s *Server) handleRevoke(r *http.Request, _ []byte) (int, any) {
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	if !s.store.Revoke(leaseID(r)) {
		return http.StatusNotFound, errorResponse{Error: "lease has ended"}
	}
	return http.StatusOK, leaseMessage{}
}
