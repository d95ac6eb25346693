// Package modelengine is a stand-in for a model engine: it takes orders, loads
// targets into finite memory and answers OpenAI-style requests with a text that
// is derived from the prompt. It keeps a journal of what it was told and did.
package modelengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// Options describe the engine.
type Options struct {
	MemoryMiB int64
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// CheckFences makes the engine refuse orders with an old fencing number.
	CheckFences bool
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// MemoryLoad, DiskLoad and RemoteLoad are the load times by cache tier.
	MemoryLoad time.Duration
	DiskLoad   time.Duration
	RemoteLoad time.Duration
	// UnloadTime is the time from an unload order until the memory is free.
	UnloadTime time.Duration
	// WeightStore is the base URL of the weight store that remote checkpoints
	// are fetched from before RemoteLoad; empty means no fetch.
	WeightStore string
	// MemoryCached is the number of checkpoints kept in the host's memory;
	// older ones are kept on disk.
	MemoryCached int
	// Cached holds the checkpoints that are cached at the start.
	Cached map[engine.Target]engine.CacheTier
	// Now is the clock that answers are dated by; nil means time.Now.
	Now func() time.Time
}

// DefaultOptions returns an engine with short load times.
func DefaultOptions() Options {
	return Options{
		MemoryMiB:    81920,
		Slots:        8,
		TokenTime:    2 * time.Millisecond,
		MemoryLoad:   20 * time.Millisecond,
		DiskLoad:     100 * time.Millisecond,
		RemoteLoad:   50 * time.Millisecond,
		UnloadTime:   5 * time.Millisecond,
		MemoryCached: 4,
	}
}

// Faults are the failures that the stand-in shows.
type Faults struct {
	// DelayAnswersMillis is added before each answer, in milliseconds.
	DelayAnswersMillis int `json:"delay_answers_ms"`
	// CrossNext is the number of requests that get another request's answer.
	CrossNext int `json:"cross_next"`
	// CutNextAfterBytes cuts the next answer after so many bytes; zero means no
	// cut.
	CutNextAfterBytes int64 `json:"cut_next_after_bytes"`
	// FailNextCalls is the number of requests that fail with status 500.
	FailNextCalls int `json:"fail_next_calls"`
	// FailNextLoads is the number of loads that fail after their time.
	FailNextLoads int `json:"fail_next_loads"`
	// LoadDelayMillis is added to each load, in milliseconds.
	LoadDelayMillis int `json:"load_delay_ms"`
	// FreezeLoads keeps loads from ending.
	FreezeLoads bool `json:"freeze_loads"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	client  *http.Client
	journal journal

	mu      sync.Mutex
	faults  Faults
	role    string
	fence   int64
	used    int64
	targets map[engine.Target]*resident
	cached  map[engine.Target]engine.CacheTier
	recent  []engine.Target
	orders  map[string]*orderResult
	slots   slotQueue
	runs    map[string]*run
	runIDs  []string
	// changed is closed and replaced when faults, residents or runs change.
	changed chan struct{}
}

// New returns an engine with nothing loaded.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Server{
		options: options,
		mux:     http.NewServeMux(),
		client:  &http.Client{Transport: &http.Transport{}},
		role:    "mixed",
		targets: map[engine.Target]*resident{},
		cached:  map[engine.Target]engine.CacheTier{},
		orders:  map[string]*orderResult{},
		slots:   slotQueue{free: options.Slots},
		runs:    map[string]*run{},
		changed: make(chan struct{}),
	}
	for target, tier := range options.Cached {
		s.cached[target] = tier
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	s.mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	s.mux.HandleFunc("POST /control/load", s.handleOrder(s.load))
	s.mux.HandleFunc("POST /control/unload", s.handleOrder(s.unload))
	s.mux.HandleFunc("POST /control/role", s.handleOrder(s.setRole))
	s.mux.HandleFunc("POST /control/cancel", s.handleCancel)
	s.mux.HandleFunc("GET /control/resume", s.handleResume)
	s.mux.HandleFunc("GET /control/state", s.handleState)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("GET /journal", s.handleJournal)
	s.mux.HandleFunc("POST /faults", s.handleFaults)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close closes the connections to the weight store.
func (s *Server) Close() {
	s.client.CloseIdleConnections()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// State returns the engine's account of itself.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := engine.State{
		Role:      s.role,
		MemoryMiB: s.options.MemoryMiB,
		Slots:     s.options.Slots,
		Running:   s.slots.running,
		Fence:     s.fence,
		Residents: []engine.Resident{},
	}
	for target, r := range s.targets {
		state.Residents = append(state.Residents, engine.Resident{
			Target: target, State: r.state, Cache: s.tier(target), MemoryMiB: r.memoryMiB,
		})
	}
	for target, tier := range s.cached {
		if _, ok := s.targets[target]; !ok {
			state.Residents = append(state.Residents, engine.Resident{Target: target, State: engine.StateAbsent, Cache: tier})
		}
	}
	return state
}

func (s *Server) tier(target engine.Target) engine.CacheTier {
	if tier, ok := s.cached[target]; ok {
		return tier
	}
	return engine.CacheRemote
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	httpapi.Write(w, http.StatusOK, s.State())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpapi.Read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpapi.Write(w, http.StatusOK, faults)
}

func (s *Server) handleJournal(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	httpapi.Write(w, http.StatusOK, s.journal.read(after))
}

// Journal returns all entries so far and the violations.
func (s *Server) Journal() Journal {
	return s.journal.read(0)
}
