// Package metadatastore is a stand-in for the metadata store of the users'
// platform: keys with revisions, ranges in pages, long polls, transactions and
// leases. Tests make it slow, refuse, lose answers, act late and forget.
package metadatastore

import (
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
	"teaselgauge.example/teaselgauge/testkit/standin/revisions"
)

const (
	// operatorPrefix and serverPrefix begin the keys that the system may not write.
	operatorPrefix = "op/"
	serverPrefix   = "servers/"
	// defaultPage is how many keys one page of a range holds.
	defaultPage = 500
	// minTTL and maxTTL bound the time of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxWait bounds the wait of a watch.
	maxWait = 30 * time.Second
	// maxKeyBytes and maxEntries bound a transaction.
	maxKeyBytes = 200
	maxEntries  = 32
)

// Faults are the failures that the stand-in shows.
type Faults struct {
	// Silent leaves calls without an answer until the caller gives up.
	Silent bool
	// RefuseStatus, if set, is the answer to every call; nothing is done.
	RefuseStatus int
	// LoseAnswers carries changes out and closes the connection instead of an
	// answer.
	LoseAnswers bool
	// CarryOutAfter leaves changes without an answer and carries them out so much
	// later, if their condition still holds.
	CarryOutAfter time.Duration
	// Delay is added to each answer.
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
	// stop is closed when the stand-in ends.
	stop chan struct{}

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	pageSize int
}

// New returns an empty store that is stopped with Close.
func New() *Server {
	s := &Server{store: revisions.New(), mux: http.NewServeMux(), stop: make(chan struct{}), pageSize: defaultPage}
	s.mux.HandleFunc("GET /v1/kv-key", s.read(s.handleKey))
	s.mux.HandleFunc("GET /v1/kv-range", s.read(s.handleRange))
	s.mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	s.mux.HandleFunc("POST /v1/kv-txn", s.write(s.handleTxn))
	s.mux.HandleFunc("POST /v1/kv-lease", s.write(s.handleGrant))
	s.mux.HandleFunc("POST /v1/kv-keep/{id}", s.write(s.handleKeep))
	s.mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.write(s.handleEnd))
	return s
}

// Close ends waiting watches and stops the leases.
func (s *Server) Close() {
	close(s.stop)
	s.store.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. Watches that wait see them at once.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.locked(s.store.Wake)
}

// locked does something with the content.
func (s *Server) locked(do func()) {
	s.store.Mu.Lock()
	defer s.store.Mu.Unlock()
	do()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetPageSize changes how many keys one page of a range holds.
func (s *Server) SetPageSize(keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = keys
}

// Calls returns the calls so far.
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

// Forget drops the history, so that older watches have to start anew.
func (s *Server) Forget() {
	s.locked(func() {
		s.store.Compact(s.store.Revision + 1)
		s.store.Wake()
	})
}

// PauseLeases keeps leases from ending, or lets them end again.
func (s *Server) PauseLeases(paused bool) { s.locked(func() { s.store.PauseLeases(paused) }) }

// Put writes a key as the operator or a backend server does, and returns its
// revision.
func (s *Server) Put(key string, value []byte) (revision int64) {
	s.locked(func() {
		s.store.Change(func() { s.store.Put([]byte(key), value, 0) })
		revision = s.store.Revision
	})
	return revision
}

// Remove deletes a key as the operator or a backend server does.
func (s *Server) Remove(key string) {
	s.locked(func() {
		s.store.Change(func() { s.store.Remove([]byte(key)) })
	})
}

// Get returns a key's value and revision; a revision of zero means that it isn't
// there.
func (s *Server) Get(key string) (value []byte, revision int64) {
	s.locked(func() {
		kv := s.store.Keys[key]
		value, revision = kv.Value, kv.ModRevision
	})
	return value, revision
}

// admit shows the faults of a call that isn't carried out, and returns false for
// those.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := s.currentFaults()
	if faults.Silent {
		<-r.Context().Done()
		httpapi.Abort()
	}
	if faults.RefuseStatus != 0 {
		httpapi.Fail(w, faults.RefuseStatus, "refused")
		return false
	}
	return httpapi.Sleep(r.Context(), faults.Delay)
}

func (s *Server) read(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Reads++ })
		if s.admit(w, r) {
			handle(w, r)
		}
	}
}

// write shows the faults of changes: answers that are lost and changes that are
// made late.
func (s *Server) write(handle func(r *http.Request, body []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(func(c *Calls) { c.Writes++ })
		body, err := httpapi.Body(w, r)
		if err != nil {
			httpapi.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		if !s.admit(w, r) {
			return
		}
		faults := s.currentFaults()
		if faults.CarryOutAfter > 0 {
			time.AfterFunc(faults.CarryOutAfter, func() { handle(r, body) })
			httpapi.Abort()
		}
		status, answer := handle(r, body)
		if faults.LoseAnswers {
			httpapi.Abort()
		}
		httpapi.Write(w, status, answer)
	}
}
