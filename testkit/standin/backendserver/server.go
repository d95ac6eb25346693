// Package backendserver is a stand-in for the backend servers of the users'
// platform: plain services and model runners. It registers itself in the
// stand-in for the metadata store, derives response bodies from the requests,
// carries out orders, and records what it received and did.
package backendserver

import (
	"encoding/json"
	"fmt"
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
	// FromStore, FromDisk and FromMemory are the load times by source.
	FromStore, FromDisk, FromMemory time.Duration
}

// Engine describes the engine of a backend server that is a model runner.
type Engine struct {
	MB           float64
	AdapterSlots int
	Models       []Model
	// Loaded and OnDisk are the models that the runner has at its start.
	Loaded []string
	OnDisk []string
}

// DefaultSoftware is the version of the software of a server that is given none.
const DefaultSoftware = "v1"

// Options describe a backend server.
type Options struct {
	ID      string
	Service string
	Zone    string
	// Software is the version of the server's software. The events of planned streams
	// name it, unless it is empty; DefaultSoftware is registered then.
	Software string
	Slots    int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Work is the processing time of a request, or of each event of a stream.
	Work time.Duration
	// Events is the number of events of a stream.
	Events int
	// Engine is nil for plain services.
	Engine *Engine
	// CopyRejections has each n-th rejection arrive a second time, where the next response
	// on its connection is expected; zero for none.
	CopyRejections int
	// ReceiveBuffer is the size of the receive buffer of each connection, in bytes; zero for
	// the system's.
	ReceiveBuffer int
	// KeepDeadlines has the server stop work at the deadline of a request, and reject those
	// that wait until then.
	KeepDeadlines bool
	// ExtraResponses allows responses that are spoilt by an extra one.
	ExtraResponses bool
	// SpoilResponses has each n-th response spoiled, or another one before it; zero for none.
	SpoilResponses int
	// WorkSpread is added to Work in part, as chance has it.
	WorkSpread time.Duration
	// Unregistered keeps the server out of the store until Register is called.
	Unregistered bool
	// OnRun is called with each request that the server begins to process, OnArrival with
	// each that it receives; nil for none.
	OnRun, OnArrival func(Run) `json:"-"`
	// Deadly are the requests that end the server's process; nil for none.
	Deadly *Deadly
	// OnDeadly ends the process.
	OnDeadly func(Crash) `json:"-"`
}

// Faults are the failures that the stand-in injects.
type Faults struct {
	// RefuseNext is the number of requests that are refused without being run.
	RefuseNext int
	// FailNext is the number of requests that run and fail with status 500.
	FailNext int
	// LoseNext is the number of requests that run and whose connection is closed
	// without a response.
	LoseNext int
	// CutNext is the number of responses that are truncated in the middle.
	CutNext int
	// GarbleNext is the number of requests that get bytes that aren't valid HTTP.
	GarbleNext int
	// MalformedNext is the number of requests that run and whose response begins with
	// MalformedHead, which ends with CR LF, before its other headers.
	MalformedNext int
	MalformedHead string
	// DoubleNext is the number of requests whose response is sent twice, so that
	// the second copy arrives where the next response is expected.
	DoubleNext int
	// Drip makes streams stall within their first event and send one more byte of
	// it at this interval.
	Drip time.Duration
	// Silent leaves requests without a response.
	Silent bool
	// TurnAwayFor makes the server reject all requests for this duration, starting
	// with the first one, and report the remaining time in Retry-After.
	TurnAwayFor time.Duration
	// LoseOrders closes the connections of orders without a response and carries
	// the orders out after this delay, if their sequence still matches then.
	LoseOrders time.Duration
}

// Server is the stand-in. It is safe for concurrent use. Use Start.
type Server struct {
	options Options
	address string
	store   *metadatastore.Server

	mu   sync.Mutex
	http *http.Server
	// down is set between a crash and the next incarnation.
	down     bool
	crashes  crashes
	id       string
	faults   Faults
	journal  Journal
	draining bool
	// leaving is announced in all responses.
	leaving bool
	// limit is the rate limit named in the responses to requests; empty for none.
	limit string
	// rejectUntil is the time until which all requests are rejected.
	rejectUntil time.Time
	engine      *engine
	// startedAt is the start time of the incarnation, in Unix milliseconds.
	startedAt int64
	slots     chan struct{}
	// waiting counts the requests that wait for a slot.
	waiting int
	stopped chan struct{}
	// releases holds, by request, what stalled responses wait for.
	releases map[string]chan struct{}
}

// Start listens on a loopback address and registers the server in the store.
func Start(address string, store *metadatastore.Server, options Options) (*Server, error) {
	listener, err := listen(address, options.ReceiveBuffer)
	if err != nil {
		return nil, fmt.Errorf("backend server: %w", err)
	}
	s := &Server{
		options:   options,
		address:   listener.Addr().String(),
		store:     store,
		id:        options.ID,
		journal:   newJournal(),
		startedAt: time.Now().UnixMilli(),
		slots:     make(chan struct{}, options.Slots),
		stopped:   make(chan struct{}),
		releases:  make(map[string]chan struct{}),
	}
	if options.Engine != nil {
		s.engine = newEngine(options.Engine)
	}
	s.http = &http.Server{Handler: s.routes()}
	if options.CopyRejections > 0 || options.ExtraResponses {
		listener = newCopyListener(s.http, listener, options.CopyRejections)
	}
	if options.SpoilResponses > 0 {
		listener = newSpoilListener(s.http, listener, options.ID, options.SpoilResponses)
	}
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
	s.addControlRoutes(mux)
	return s.announceLeaving(mux)
}

// announceLeaving sets the leaving header on every response of a server that is
// leaving.
func (s *Server) announceLeaving(next http.Handler) http.Handler {
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

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// Close stops the server without a shutdown, like a crash. Its entry stays in the
// store.
func (s *Server) Close() {
	s.mu.Lock()
	close(s.stopped)
	running := s.http
	s.mu.Unlock()
	_ = running.Close()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetLimit makes the server name a rate limit in its responses to requests, but not
// in its reports; an empty value ends it. The server doesn't enforce it.
func (s *Server) SetLimit(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = value
}

func (s *Server) limitValue() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// SetWork changes the processing time of a request, or of each event of a stream.
func (s *Server) SetWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Work = work
}

// consumeFault reports whether a fault with a remaining count applies now, and
// decrements the count.
func (s *Server) consumeFault(pick func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := pick(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// entry is the server's registration in the store.
type entry struct {
	Service       string        `json:"service"`
	Address       string        `json:"address"`
	Zone          string        `json:"zone"`
	Version       string        `json:"version"`
	Slots         int           `json:"slots"`
	State         string        `json:"state"`
	ColdRemaining float64       `json:"coldRemainingMs"`
	Sequence      int64         `json:"sequence"`
	Models        []loadedModel `json:"models,omitempty"`
	StartedAt     int64         `json:"born"`
}

// loadedModel is a model that a runner has loaded, with its adapters.
type loadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *Server) storeKey() string { return "servers/" + s.id }

// Registration returns the server's entry in the store.
func (s *Server) Registration() Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered := entry{
		Service: s.options.Service, Address: s.Address(), Zone: s.options.Zone, Version: s.software(),
		Slots: s.options.Slots, State: s.state(), StartedAt: s.startedAt,
	}
	if s.engine != nil {
		registered.Sequence = s.engine.sequence
		registered.Models = s.engine.loadedModels()
	}
	value, err := json.Marshal(registered)
	if err != nil {
		panic(err)
	}
	return Registration{Key: s.storeKey(), Value: value}
}

func (s *Server) software() string {
	if s.options.Software == "" {
		return DefaultSoftware
	}
	return s.options.Software
}

// Register writes the server's entry.
func (s *Server) Register() {
	registration := s.Registration()
	s.store.Put(registration.Key, registration.Value)
}

// Deregister removes the server's entry.
func (s *Server) Deregister() {
	s.mu.Lock()
	key := s.storeKey()
	s.mu.Unlock()
	s.store.Remove(key)
}

// Drain announces in the store and in all responses that the server is leaving.
// It continues to serve requests.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.leaving = true
	s.mu.Unlock()
	s.Register()
}

// Leave announces only in the responses that the server is leaving. It continues
// to serve requests.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Restart unloads a runner's models and adapters, keeps its disk, and registers
// the new incarnation under the ID.
func (s *Server) Restart(id string) {
	s.Deregister()
	s.mu.Lock()
	s.id = id
	s.startedAt = time.Now().UnixMilli()
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
