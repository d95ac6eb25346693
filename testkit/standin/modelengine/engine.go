// Package modelengine is a stand-in for a model engine: it receives orders, loads
// targets into limited memory and answers OpenAI-style requests with a text that
// is derived from the prompt. It records what it received and did in a journal.
package modelengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// Options configures the engine.
type Options struct {
	MemoryMiB int64
	// Slots is the number of requests that run concurrently; others wait.
	Slots int
	// CheckFences makes the engine refuse orders with a stale fencing token.
	CheckFences bool
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// MemoryLoad, DiskLoad and RemoteLoad are the load times by cache tier.
	MemoryLoad time.Duration
	DiskLoad   time.Duration
	RemoteLoad time.Duration
	// UnloadTime is the time from an unload order until the memory is free.
	UnloadTime time.Duration
	// WeightStore is the base URL of the weight store from which remote
	// checkpoints are fetched before RemoteLoad; empty disables the fetch.
	WeightStore string
	// MemoryCached is the number of checkpoints that are cached in the host's
	// memory; older ones are cached on disk.
	MemoryCached int
	// Cached holds the checkpoints that are cached at the start.
	Cached map[engine.Target]engine.CacheTier
	// Now is the clock for the creation time of responses; nil means time.Now.
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

// Faults are the failures that the stand-in injects.
type Faults struct {
	// DelayResponsesMillis is added before each response, in milliseconds.
	DelayResponsesMillis int `json:"delay_answers_ms"`
	// CrossNext is the number of requests that get the response to another request.
	CrossNext int `json:"cross_next"`
	// CutNextAfterBytes truncates the next response after this many bytes; zero
	// disables it.
	CutNextAfterBytes int64 `json:"cut_next_after_bytes"`
	// FailNextCalls is the number of requests that fail with status 500.
	FailNextCalls int `json:"fail_next_calls"`
	// FailNextLoads is the number of loads that fail after their full duration.
	FailNextLoads int `json:"fail_next_loads"`
	// LoadDelayMillis is added to each load, in milliseconds.
	LoadDelayMillis int `json:"load_delay_ms"`
	// FreezeLoads keeps loads from completing.
	FreezeLoads bool `json:"freeze_loads"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	client  *http.Client
	journal journal

	mu             sync.Mutex
	faults         Faults
	role           string
	fence          int64
	usedMiB        int64
	targets        map[engine.Target]*resident
	cached         map[engine.Target]engine.CacheTier
	recentlyLoaded []engine.Target
	orders         map[string]*orderResult
	slots          slotQueue
	runs           map[string]*run
	runIDs         []string
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

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// State returns the engine's current state.
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
	httpapi.WriteJSON(w, http.StatusOK, s.State())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpapi.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpapi.WriteJSON(w, http.StatusOK, faults)
}

func (s *Server) handleJournal(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	httpapi.WriteJSON(w, http.StatusOK, s.journal.read(after))
}

// Journal returns all entries so far and the violations.
func (s *Server) Journal() Journal {
	return s.journal.read(0)
}
