// Package weightstore is a stand-in for the platform's rate-limited weight
// store. It transfers no weights: a response takes as long as the load would.
package weightstore

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

const (
	adaptersAtFullSpeed = 32
	adapterMinLoad      = 5 * time.Millisecond
	adapterLoadSpread   = 6
	// maxTransferStep is the longest interval after which a load's share of the
	// speed is recomputed.
	maxTransferStep = 5 * time.Millisecond
)

// Options are the limits of the store.
type Options struct {
	// LoadsPerSecond limits the rate at which checkpoint loads start.
	LoadsPerSecond float64
	// AtFullSpeed is the number of concurrent checkpoint loads that don't slow
	// each other down.
	AtFullSpeed int
	// BaseLoad is the duration of a checkpoint load at full speed if MiBPerSecond
	// is zero.
	BaseLoad time.Duration
	// MiBPerSecond is the speed of one load at full speed; zero makes the duration
	// independent of the size.
	MiBPerSecond float64
}

// DefaultOptions returns the limits of a site with 4 loads per second.
func DefaultOptions() Options {
	return Options{LoadsPerSecond: 4, AtFullSpeed: 4, BaseLoad: time.Second}
}

// Faults are the failures that the stand-in injects.
type Faults struct {
	// SlowFactor multiplies the duration of each load; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// FailNext is the number of loads that fail with status 503.
	FailNext int `json:"fail_next"`
}

// Counters counts the loads so far.
type Counters struct {
	Checkpoints    int64 `json:"checkpoints"`
	Adapters       int64 `json:"adapters"`
	Finished       int64 `json:"finished"`
	Failed         int64 `json:"failed"`
	Cancelled      int64 `json:"cancelled"`
	MaxInTransit   int   `json:"max_in_transit"`
	MaxAdapters    int   `json:"max_adapters_in_transit"`
	NowCheckpoints int   `json:"now_checkpoints"`
	NowAdapters    int   `json:"now_adapters"`
}

// LoadResponse is the body of the response to a load.
type LoadResponse struct {
	Name       string `json:"name"`
	Version    string `json:"version"`
	MiB        int64  `json:"mib,omitempty"`
	TookMillis int64  `json:"took_ms"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options
	starts  *rate.Limiter
	mux     *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	counters Counters
}

// New returns a store with the given limits.
func New(options Options) *Server {
	s := &Server{
		options: options,
		starts:  rate.NewLimiter(rate.Limit(options.LoadsPerSecond), max(1, options.AtFullSpeed)),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /checkpoints/{name}/{version}", s.handleCheckpoint)
	s.mux.HandleFunc("GET /adapters/{name}/{version}", s.handleAdapter)
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	s.mux.HandleFunc("GET /counters", s.handleCounters)
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

// Counters returns the counters so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
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

func (s *Server) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	mib, err := strconv.ParseInt(r.URL.Query().Get("mib"), 10, 64)
	if err != nil || mib < 0 {
		httpapi.WriteError(w, http.StatusBadRequest, "mib must be a size in MiB")
		return
	}
	work := s.options.BaseLoad
	if s.options.MiBPerSecond > 0 {
		work = time.Duration(float64(mib) / s.options.MiBPerSecond * float64(time.Second))
	}
	start := time.Now()
	if err := s.starts.Wait(r.Context()); err != nil {
		return
	}
	s.serve(w, r, start, mib, work, s.checkpointLoads())
}

func (s *Server) handleAdapter(w http.ResponseWriter, r *http.Request) {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, r.PathValue("name"), "@", r.PathValue("version"))
	work := adapterMinLoad + time.Duration(hash.Sum32()%adapterLoadSpread)*time.Millisecond
	s.serve(w, r, time.Now(), 0, work, s.adapterLoads())
}

// loadCounters refers to the counters of one kind of load.
type loadCounters struct {
	atFullSpeed int
	started     *int64
	current     *int
	highest     *int
}

func (s *Server) checkpointLoads() loadCounters {
	return loadCounters{s.options.AtFullSpeed, &s.counters.Checkpoints, &s.counters.NowCheckpoints, &s.counters.MaxInTransit}
}

func (s *Server) adapterLoads() loadCounters {
	return loadCounters{adaptersAtFullSpeed, &s.counters.Adapters, &s.counters.NowAdapters, &s.counters.MaxAdapters}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, start time.Time, mib int64, work time.Duration, t loadCounters) {
	if !s.beginLoad(t) {
		httpapi.WriteError(w, http.StatusServiceUnavailable, "load failed")
		return
	}
	completed := s.transfer(r.Context(), work, t)
	s.endLoad(t, completed)
	if !completed {
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, LoadResponse{
		Name: r.PathValue("name"), Version: r.PathValue("version"), MiB: mib,
		TookMillis: time.Since(start).Milliseconds(),
	})
}

// beginLoad counts a load in transit, or returns false if the load must fail.
func (s *Server) beginLoad(t loadCounters) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	*t.started++
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		s.counters.Failed++
		return false
	}
	*t.current++
	*t.highest = max(*t.highest, *t.current)
	return true
}

func (s *Server) endLoad(t loadCounters, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*t.current--
	if completed {
		s.counters.Finished++
		return
	}
	s.counters.Cancelled++
}

// speed returns a load's current share of the full speed.
func (s *Server) speed(t loadCounters) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := 1.0
	if *t.current > t.atFullSpeed {
		speed = float64(t.atFullSpeed) / float64(*t.current)
	}
	if s.faults.SlowFactor > 0 {
		speed /= s.faults.SlowFactor
	}
	return speed
}

// transfer waits until the work is done at the load's current share of the speed,
// which is recomputed at each step. It returns false if ctx ends first.
func (s *Server) transfer(ctx context.Context, work time.Duration, t loadCounters) bool {
	remaining := float64(work)
	for remaining > 0 {
		speed := s.speed(t)
		before := time.Now()
		step := min(maxTransferStep, time.Duration(remaining/speed)+time.Microsecond)
		if !httpapi.Sleep(ctx, step) {
			return false
		}
		remaining -= float64(time.Since(before)) * speed
	}
	return true
}
