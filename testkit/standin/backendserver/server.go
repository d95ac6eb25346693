// Package backendserver is a stand-in for the backend servers of the users'
// platform: plain services and model runners. It registers itself in the
// stand-in of the store, answers requests with bodies that are derived from them,
// carries out orders, and keeps a journal of what it was sent and did.
package backendserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// Model is a model that an engine can load.
type Model struct {
	Name      string
	MB        float64
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are the durations of a load.
	FromStore, FromDisk, FromMemory time.Duration
}

// Engine makes a backend server a model runner.
type Engine struct {
	MB           float64
	AdapterSlots int
	Models       []Model
	// Loaded and OnDisk are what the runner has at its start.
	Loaded []string
	OnDisk []string
}

// Options describe a backend server.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Queue is how many requests may wait for a slot.
	Queue int
	// Work is the time of a request, or of each event of a stream.
	Work time.Duration
	// Events is the number of events of a stream.
	Events int
	// Engine is nil for plain services.
	Engine *Engine
	// Unregistered leaves the server out of the store until Register.
	Unregistered bool
}

// Faults are the failures that the stand-in shows.
type Faults struct {
	// RefuseNext is the number of requests that are refused as not run.
	RefuseNext int
	// FailNext is the number of requests that run and fail with status 500.
	FailNext int
	// LoseNext is the number of requests that run and whose connection is closed
	// without an answer.
	LoseNext int
	// CutNext is the number of answers that break off in their middle.
	CutNext int
	// GarbleNext is the number of requests that get bytes that are no answer.
	GarbleNext int
	// DoubleNext is the number of requests that get their answer twice, so that
	// the second one stands where the next answer is expected.
	DoubleNext int
	// Drip has streams stall within their first event, and send one more byte of it
	// from time to time.
	Drip time.Duration
	// Silent leaves requests without an answer.
	Silent bool
	// TurnAwayFor makes the server refuse all requests for so long, from the first
	// that it refuses on, and say so in its refusals.
	TurnAwayFor time.Duration
	// LoseOrders leaves orders without an answer and carries them out after a
	// while, if their sequence still fits then.
	LoseOrders time.Duration
}

// Server is the stand-in. It is safe for concurrent use. Use Start.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	store    *metadatastore.Server

	mu       sync.Mutex
	id       string
	faults   Faults
	journal  Journal
	draining bool
	// leaving is said in all answers.
	leaving bool
	// awayUntil is when a server that turns requests away takes them again.
	awayUntil time.Time
	engine    *engine
	// born is the Unix time of the start in milliseconds.
	born  int64
	slots chan struct{}
	// waiting counts the requests that wait for a slot.
	waiting int
	stopped chan struct{}
}

// Start listens on a loopback address and registers the server in the store.
func Start(address string, store *metadatastore.Server, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	s := &Server{
		options:  options,
		listener: listener,
		store:    store,
		id:       options.ID,
		journal:  newJournal(),
		born:     time.Now().UnixMilli(),
		slots:    make(chan struct{}, options.Slots),
		stopped:  make(chan struct{}),
	}
	if options.Engine != nil {
		s.engine = newEngine(options.Engine)
	}
	s.http = &http.Server{Handler: s.routes()}
	go func() { _ = s.http.Serve(listener) }()
	if !options.Unregistered {
		s.Register()
	}
	return s, nil
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleRequest)
	mux.HandleFunc("GET /health", s.handleHealth)
	if s.engine != nil {
		mux.HandleFunc("GET /v1/report", s.handleReport)
		mux.HandleFunc("POST /v1/order", s.handleOrder)
	}
	return s.sayLeaving(mux)
}

// sayLeaving adds to each answer of a server that leaves that it does.
func (s *Server) sayLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.Header().Set(HeaderLeaving, "1")
		}
		next.ServeHTTP(w, r)
	})
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server at once, as a crash does. Its entry stays in the store.
func (s *Server) Close() {
	close(s.stopped)
	_ = s.http.Close()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetWork changes the time of a request, or of each event of a stream.
func (s *Server) SetWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Work = work
}

// takes tells whether a fault that is counted down strikes now.
func (s *Server) takes(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := pick(&s.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// entry is what a server writes about itself.
type entry struct {
	Service  string      `json:"service"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Version  string      `json:"version"`
	Slots    int         `json:"slots"`
	State    string      `json:"state"`
	Cold     float64     `json:"coldRemainingMs"`
	Sequence int64       `json:"sequence"`
	Models   []heldModel `json:"models,omitempty"`
	Born     int64       `json:"born"`
}

// heldModel is a model that a runner holds.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *Server) storeKey() string { return "servers/" + s.id }

// Register writes the server's entry.
func (s *Server) Register() {
	s.mu.Lock()
	written := entry{
		Service: s.options.Service, Address: s.Address(), Zone: s.options.Zone, Version: "v1",
		Slots: s.options.Slots, State: s.state(), Born: s.born,
	}
	if s.engine != nil {
		written.Sequence = s.engine.sequence
		written.Models = s.engine.held()
	}
	key := s.storeKey()
	s.mu.Unlock()
	value, err := json.Marshal(written)
	if err != nil {
		panic(err)
	}
	s.store.Put(key, value)
}

// Deregister removes the server's entry.
func (s *Server) Deregister() {
	s.mu.Lock()
	key := s.storeKey()
	s.mu.Unlock()
	s.store.Remove(key)
}

// Drain announces that the server leaves. It goes on serving.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.leaving = true
	s.mu.Unlock()
	s.Register()
}

// Leave has the server say in its answers that it leaves, and nowhere else. It
// goes on serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Restart empties a runner, which keeps its disk, and registers the new
// incarnation under an ID.
func (s *Server) Restart(id string) {
	s.Deregister()
	s.mu.Lock()
	s.id = id
	s.born = time.Now().UnixMilli()
	if s.engine != nil {
		s.engine.restart()
	}
	s.mu.Unlock()
	s.Register()
}

func (s *Server) state() string {
	if s.draining {
		return "draining"
	}
	return "ready"
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Teaselgauge-Instance-Id", s.id)
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
