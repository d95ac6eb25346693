// Package metadatastore is a stand-in for the metadata store of the users'
// platform: keys with revisions, paged ranges, long polls, transactions and
// leases. Tests make it slow, let it refuse calls, lose responses, apply changes
// late and compact its history.
package metadatastore

import (
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
	"teaselgauge.example/teaselgauge/testkit/standin/revisions"
)

const (
	// operatorPrefix and serverPrefix are the prefixes of the keys that the system
	// may not write.
	operatorPrefix = "op/"
	serverPrefix   = "servers/"
	// defaultPageSize is the number of keys in one page of a range.
	defaultPageSize = 500
	// minTTL and maxTTL bound the time to live of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxWait bounds how long a watch waits for changes.
	maxWait = 30 * time.Second
	// maxKeyBytes and maxEntries limit a transaction.
	maxKeyBytes = 200
	maxEntries  = 32
)

// Faults are the failures that the stand-in injects.
type Faults struct {
	// Silent leaves calls without a response until the caller gives up.
	Silent bool
	// RefuseStatus, if set, is the status of every response; calls have no effect.
	RefuseStatus int
	// LoseAnswers applies changes and closes the connection without a response.
	LoseAnswers bool
	// ApplyAfter closes the connection of a change without a response and applies
	// the change after this delay, if its conditions still hold then.
	ApplyAfter time.Duration
	// Delay is added to each response.
	Delay time.Duration
}

// Calls counts the calls by kind.
type Calls struct {
	Reads, Writes, Watches, Renewals int
}

// Server is the stand-in. It is safe for concurrent use. Use New.
type Server struct {
	store *revisions.Store
	mux   *http.ServeMux
	// stop is closed when the stand-in is closed.
	stop chan struct{}

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	pageSize int
}

// New returns an empty store, which the caller must close.
func New() *Server {
	s := &Server{store: revisions.New(), mux: http.NewServeMux(), stop: make(chan struct{}), pageSize: defaultPageSize}
	s.mux.HandleFunc("GET /v1/kv-key", s.read(s.handleKey))
	s.mux.HandleFunc("GET /v1/kv-range", s.read(s.handleRange))
	s.mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	s.mux.HandleFunc("POST /v1/kv-txn", s.write(s.handleTxn))
	s.mux.HandleFunc("POST /v1/kv-lease", s.write(s.handleGrant))
	s.mux.HandleFunc("POST /v1/kv-keep/{id}", s.write(s.handleKeepAlive))
	s.mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.write(s.handleRevoke))
	return s
}

// Close ends waiting watches and stops the timers of the leases.
func (s *Server) Close() {
	close(s.stop)
	s.store.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. They apply to waiting watches immediately.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.withLock(s.store.NotifyWatchers)
}

// withLock calls do with the store's lock held.
func (s *Server) withLock(do func()) {
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	do()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetPageSize changes the number of keys in one page of a range.
func (s *Server) SetPageSize(keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = keys
}

// Calls returns the counters so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) count(add func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.calls)
}

// Forget compacts the whole history, so that watches of older revisions fail and
// must be restarted.
func (s *Server) Forget() {
	s.withLock(func() {
		s.store.Compact(s.store.Revision + 1)
		s.store.NotifyWatchers()
	})
}

// PauseLeases suspends or resumes the expiry of leases.
func (s *Server) PauseLeases(paused bool) { s.withLock(func() { s.store.PauseLeases(paused) }) }

// Put writes a key on behalf of the operator or a backend server, and returns its
// revision.
func (s *Server) Put(key string, value []byte) (revision int64) {
	s.withLock(func() {
		s.store.Change(func() { s.store.Put([]byte(key), value, 0) })
		revision = s.store.Revision
	})
	return revision
}

// Remove deletes a key on behalf of the operator or a backend server.
func (s *Server) Remove(key string) {
	s.withLock(func() {
		s.store.Change(func() { s.store.Remove([]byte(key)) })
	})
}

// Get returns a key's value and revision; a revision of zero means that the key
// doesn't exist.
func (s *Server) Get(key string) (value []byte, revision int64) {
	s.withLock(func() {
		kv := s.store.Keys[key]
		value, revision = kv.Value, kv.ModRevision
	})
	return value, revision
}

// injectFaults applies the faults that keep a call from taking effect, and the
// delay. It returns false if the call must not proceed.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	faults := s.currentFaults()
	if faults.Silent {
		<-r.Context().Done()
		httpapi.Abort()
	}
	if faults.RefuseStatus != 0 {
		httpapi.WriteError(w, faults.RefuseStatus, "refused")
		return false
	}
	return httpapi.Sleep(r.Context(), faults.Delay)
}

func (s *Server) read(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Reads++ })
		if s.injectFaults(w, r) {
			handle(w, r)
		}
	}
}

// write wraps a call that changes the store with the faults of changes: lost
// responses and changes that are applied late.
func (s *Server) write(handle func(r *http.Request, body []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Writes++ })
		body, err := httpapi.ReadBody(w, r)
		if err != nil {
			httpapi.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		if !s.injectFaults(w, r) {
			return
		}
		faults := s.currentFaults()
		if faults.ApplyAfter > 0 {
			time.AfterFunc(faults.ApplyAfter, func() { handle(r, body) })
			httpapi.Abort()
		}
		status, response := handle(r, body)
		if faults.LoseAnswers {
			httpapi.Abort()
		}
		httpapi.WriteJSON(w, status, response)
	}
}
