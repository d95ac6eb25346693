// Package keyvalue is a stand-in for the platform's key-value service: the part
// of etcd's v3 JSON/HTTP gateway that the product uses, stored in memory, with
// faults that are set over HTTP.
package keyvalue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
	"teaselgauge.example/teaselgauge/testkit/standin/revisions"
)

const (
	// maxValueBytes is the largest value of a put.
	maxValueBytes = 1 << 20
	// maxTxnOps is the largest number of operations or comparisons of a transaction.
	maxTxnOps = 128
)

// Faults are the failures that the stand-in injects.
type Faults struct {
	// Down closes every connection before a call takes effect, and all watches.
	Down bool `json:"down"`
	// DelayMillis is added to each call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseNextWriteResponses is the number of writes that take effect and get no
	// response.
	LoseNextWriteResponses int `json:"lose_answer_of_next_writes"`
	// LoseResponseRate is the share of writes that take effect and get no response,
	// from 0 to 1.
	LoseResponseRate float64 `json:"lose_answer_rate"`
	// Seed seeds the random choice of the lost responses.
	Seed uint64 `json:"seed"`
}

// Counters counts the calls by kind. A watch counts as one call.
type Counters struct {
	Range          int64 `json:"range"`
	Txn            int64 `json:"txn"`
	TxnFailed      int64 `json:"txn_failed"`
	LeaseGrant     int64 `json:"lease_grant"`
	LeaseKeepAlive int64 `json:"lease_keepalive"`
	LeaseRevoke    int64 `json:"lease_revoke"`
	Watch          int64 `json:"watch"`
	LostResponses  int64 `json:"lost_answers"`
	Refused        int64 `json:"refused"`
	// Revision is the revision of the last change.
	Revision int64 `json:"revision"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	store *revisions.Store
	mux   *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	counters Counters
	random   *rand.Rand
	// outage is closed while the service is down.
	outage chan struct{}
}

// New returns an empty store without faults.
func New() *Server {
	s := &Server{
		store:  revisions.New(),
		mux:    http.NewServeMux(),
		random: rand.New(rand.NewPCG(0, 0)),
		outage: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /v3/kv/range", s.withFaults(s.handleRange))
	s.mux.HandleFunc("POST /v3/kv/txn", s.withFaults(s.handleTxn))
	s.mux.HandleFunc("POST /v3/kv/compaction", s.withFaults(s.handleCompaction))
	s.mux.HandleFunc("POST /v3/lease/grant", s.withFaults(s.handleGrant))
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.withFaults(s.handleKeepAlive))
	s.mux.HandleFunc("POST /v3/lease/revoke", s.withFaults(s.handleRevoke))
	s.mux.HandleFunc("POST /v3/watch", s.withFaults(s.handleWatch))
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	s.mux.HandleFunc("GET /counters", s.handleCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close stops the timers of the leases.
func (s *Server) Close() {
	s.store.Close()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Down && !s.faults.Down {
		close(s.outage)
	}
	if !faults.Down && s.faults.Down {
		s.outage = make(chan struct{})
	}
	s.faults = faults
	s.random = rand.New(rand.NewPCG(faults.Seed, 0))
}

// Counters returns the counters so far.
func (s *Server) Counters() Counters {
	s.store.Mu.Lock()
	revision := s.store.Revision
	s.store.Mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters
	counters.Revision = revision
	return counters
}

// withFaults wraps a gateway call with the outage and the delay.
func (s *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		if faults.Down {
			s.counters.Refused++
		}
		s.mu.Unlock()
		if faults.Down || !httpapi.Sleep(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
			httpapi.Abort()
		}
		handler(w, r)
	}
}

func (s *Server) count(counter *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// takeLostResponse reports whether the response of the current write is lost, and
// counts it.
func (s *Server) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.faults.LoseResponseRate > 0 && s.random.Float64() < s.faults.LoseResponseRate
	if s.faults.LoseNextWriteResponses > 0 {
		s.faults.LoseNextWriteResponses--
		lost = true
	}
	if lost {
		s.counters.LostResponses++
	}
	return lost
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpapi.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpapi.WriteJSON(w, http.StatusOK, faults)
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, s.Counters())
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	s.count(&s.counters.Range)
	s.store.Mu.Lock()
	kvs := s.store.Range(request.Key, request.RangeEnd)
	revision := s.store.Revision
	s.store.Mu.Unlock()
	httpapi.WriteJSON(w, http.StatusOK, rangeResponse{
		Header: header{Revision: revision}, KVs: kvs, Count: int64(len(kvs)),
	})
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	if err := request.check(); err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.count(&s.counters.Txn)
	response, err := txn(s.store, request)
	if err != nil {
		httpapi.WriteError(w, http.StatusNotFound, err.Error())
		return
	}
	if !response.Succeeded {
		s.count(&s.counters.TxnFailed)
	}
	if s.takeLostResponse() {
		httpapi.Abort()
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

func (s *Server) handleCompaction(w http.ResponseWriter, r *http.Request) {
	var request compactionRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	if request.Revision > s.store.Revision {
		httpapi.WriteError(w, http.StatusBadRequest, "required revision is a future revision")
		return
	}
	s.store.Compact(request.Revision)
	httpapi.WriteJSON(w, http.StatusOK, compactionResponse{Header: header{Revision: s.store.Revision}})
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		httpapi.WriteError(w, http.StatusBadRequest, "TTL must be positive")
		return
	}
	s.count(&s.counters.LeaseGrant)
	s.store.Mu.Lock()
	id := s.store.Grant(request.ID, time.Duration(request.TTL)*time.Second)
	revision := s.store.Revision
	s.store.Mu.Unlock()
	if s.takeLostResponse() {
		httpapi.Abort()
	}
	httpapi.WriteJSON(w, http.StatusOK, leaseResponse{Header: header{Revision: revision}, ID: id, TTL: request.TTL})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	s.count(&s.counters.LeaseKeepAlive)
	s.store.Mu.Lock()
	ttl := s.store.KeepAlive(request.ID)
	revision := s.store.Revision
	s.store.Mu.Unlock()
	response := leaseResponse{Header: header{Revision: revision}, ID: request.ID, TTL: int64(ttl / time.Second)}
	httpapi.WriteJSON(w, http.StatusOK, keepAliveResponse{Result: response})
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	s.count(&s.counters.LeaseRevoke)
	s.store.Mu.Lock()
	found := s.store.Revoke(request.ID)
	revision := s.store.Revision
	s.store.Mu.Unlock()
	if !found {
		httpapi.WriteError(w, http.StatusNotFound, revisions.ErrNoLease.Error())
		return
	}
	if s.takeLostResponse() {
		httpapi.Abort()
	}
	httpapi.WriteJSON(w, http.StatusOK, leaseResponse{Header: header{Revision: revision}, ID: request.ID})
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !httpapi.ReadJSON(w, r, &request) {
		return
	}
	s.count(&s.counters.Watch)
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	err := s.watch(r.Context(), json.NewEncoder(w), http.NewResponseController(w), request.Create, outage)
	if errors.Is(err, errOutage) {
		httpapi.Abort()
	}
}

// errOutage reports that a watch ended because the service is down.
var errOutage = errors.New("outage")

func (s *Server) watch(ctx context.Context, encoder *json.Encoder, flusher *http.ResponseController, create watchCreate, outage <-chan struct{}) error {
	send := func(result watchResult) error {
		if err := encoder.Encode(watchMessage{Result: result}); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		return flusher.Flush()
	}
	s.store.Mu.Lock()
	next, compacted := create.StartRevision, s.store.Compacted
	current := header{Revision: s.store.Revision}
	s.store.Mu.Unlock()
	if next == 0 {
		next = current.Revision + 1
	}
	if err := send(watchResult{Header: current, Created: true}); err != nil {
		return err
	}
	if next < compacted {
		return send(watchResult{Header: current, Canceled: true, CompactRevision: compacted})
	}
	for {
		s.store.Mu.Lock()
		events, revision, changed := s.store.Since(next, create.Key, create.RangeEnd)
		s.store.Mu.Unlock()
		next = revision + 1
		if len(events) > 0 {
			if err := send(watchResult{Header: header{Revision: revision}, Events: events}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-outage:
			return errOutage
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
