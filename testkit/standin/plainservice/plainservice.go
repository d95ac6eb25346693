// Package plainservice is a stand-in for a plain service. It runs every call that
// it receives and counts the runs, so that a test can detect a call that ran
// twice.
package plainservice

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Faults are the failures that the stand-in injects.
type Faults struct {
	// DelayMillis is the duration of a run, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// DropNextResponse is the number of calls that run and get no response.
	DropNextResponse int `json:"drop_answer_next"`
	// RefuseNext is the number of calls that are refused without being run.
	RefuseNext int `json:"refuse_next"`
}

// Runs counts the runs. Total counts a run when it completes, Started when it
// starts.
type Runs struct {
	Total     int            `json:"total"`
	Started   int            `json:"started"`
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
}

// Receipt is the body of the response to a call.
type Receipt struct {
	Service string `json:"service"`
	// Run is the number of the run, starting from 1.
	Run            int    `json:"run"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// BodyHash is the SHA-256 digest of the request's body, in hex.
	BodyHash string `json:"body_hash"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	name string
	mux  *http.ServeMux

	mu     sync.Mutex
	faults Faults
	runs   Runs
}

// New returns a service with the given name.
func New(name string) *Server {
	s := &Server{
		name: name,
		mux:  http.NewServeMux(),
		runs: Runs{ByKey: map[string]int{}, ByRequest: map[string]int{}},
	}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("GET /runs", s.handleRuns)
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the runs so far.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	runs.ByKey = maps.Clone(s.runs.ByKey)
	runs.ByRequest = maps.Clone(s.runs.ByRequest)
	return runs
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpapi.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpapi.WriteJSON(w, http.StatusOK, faults)
}

// handleCall runs a call to completion, even if the caller disconnects.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := httpapi.ReadBody(w, r)
	if err != nil {
		w.Header().Set("X-Outcome", "not-run")
		httpapi.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	delay, refused := s.start()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if refused {
		w.Header().Set("X-Outcome", "not-run")
		httpapi.WriteError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	time.Sleep(delay)
	digest := sha256.Sum256(body)
	receipt := Receipt{
		Service:        s.name,
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		BodyHash:       hex.EncodeToString(digest[:]),
	}
	drop := s.finish(&receipt)
	if drop {
		httpapi.Abort()
	}
	httpapi.WriteJSON(w, http.StatusOK, receipt)
}

// start counts a run and returns its duration, or refuses it.
func (s *Server) start() (delay time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseNext > 0 {
		s.faults.RefuseNext--
		return 0, true
	}
	s.runs.Started++
	return time.Duration(s.faults.DelayMillis) * time.Millisecond, false
}

// finish counts a completed run and reports whether its response is dropped.
func (s *Server) finish(receipt *Receipt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Total++
	receipt.Run = s.runs.Total
	if receipt.IdempotencyKey != "" {
		s.runs.ByKey[receipt.IdempotencyKey]++
	}
	if receipt.RequestID != "" {
		s.runs.ByRequest[receipt.RequestID]++
	}
	if s.faults.DropNextResponse > 0 {
		s.faults.DropNextResponse--
		return true
	}
	return false
}
