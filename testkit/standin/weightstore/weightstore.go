// Package weightstore is a stand-in for the platform's rate-limited weight
// store. It carries no weights: an answer takes as long as the load would.
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
	// shareStep is the longest time between two looks at the current share.
	shareStep = 5 * time.Millisecond
)

// Options are the limits of the store.
type Options struct {
	// LoadsPerSecond bounds the starts of checkpoint loads.
	LoadsPerSecond float64
	// AtFullSpeed is the number of checkpoint loads that don't slow each other.
	AtFullSpeed int
	// BaseLoad is the time of a checkpoint load at full speed if MiBPerSecond
	// is zero.
	BaseLoad time.Duration
	// MiBPerSecond is the speed of one load at full speed; zero means that the
	// size does not matter.
	MiBPerSecond float64
}

// DefaultOptions returns the limits of a site with 4 loads a second.
func DefaultOptions() Options {
	return Options{LoadsPerSecond: 4, AtFullSpeed: 4, BaseLoad: time.Second}
}

// Faults are the failures that the stand-in shows.
type Faults struct {
	// SlowFactor multiplies the time of each load; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// FailNext is the number of loads that are answered with status 503.
	FailNext int `json:"fail_next"`
}

// Counters hold the loads so far.
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

// Fetched is the answer to a load.
type Fetched struct {
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

// Counters returns the loads so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !httpapi.Read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	httpapi.Write(w, http.StatusOK, faults)
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	httpapi.Write(w, http.StatusOK, s.Counters())
}

func (s *Server) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	mib, err := strconv.ParseInt(r.URL.Query().Get("mib"), 10, 64)
	if err != nil || mib < 0 {
		httpapi.Fail(w, http.StatusBadRequest, "mib must be a size in MiB")
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
	s.serve(w, r, start, mib, work, s.checkpointTransit())
}

func (s *Server) handleAdapter(w http.ResponseWriter, r *http.Request) {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, r.PathValue("name"), "@", r.PathValue("version"))
	work := adapterMinLoad + time.Duration(hash.Sum32()%adapterLoadSpread)*time.Millisecond
	s.serve(w, r, time.Now(), 0, work, s.adapterTransit())
}

// transit names the counters of one kind of load.
type transit struct {
	atFullSpeed int
	started     *int64
	now         *int
	highest     *int
}

func (s *Server) checkpointTransit() transit {
	return transit{s.options.AtFullSpeed, &s.counters.Checkpoints, &s.counters.NowCheckpoints, &s.counters.MaxInTransit}
}

func (s *Server) adapterTransit() transit {
	return transit{adaptersAtFullSpeed, &s.counters.Adapters, &s.counters.NowAdapters, &s.counters.MaxAdapters}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, start time.Time, mib int64, work time.Duration, t transit) {
	if !s.enter(t) {
		httpapi.Fail(w, http.StatusServiceUnavailable, "load failed")
		return
	}
	whole := s.transfer(r.Context(), work, t)
	s.leave(t, whole)
	if !whole {
		return
	}
	httpapi.Write(w, http.StatusOK, Fetched{
		Name: r.PathValue("name"), Version: r.PathValue("version"), MiB: mib,
		TookMillis: time.Since(start).Milliseconds(),
	})
}

// enter counts a load in transit, or returns false if it shall fail.
func (s *Server) enter(t transit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	*t.started++
	if s.faults.FailNext > 0 {
		s.faults.FailNext--
		s.counters.Failed++
		return false
	}
	*t.now++
	*t.highest = max(*t.highest, *t.now)
	return true
}

func (s *Server) leave(t transit, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*t.now--
	if whole {
		s.counters.Finished++
		return
	}
	s.counters.Cancelled++
}

// speed returns the current share of full speed of one load.
func (s *Server) speed(t transit) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := 1.0
	if *t.now > t.atFullSpeed {
		speed = float64(t.atFullSpeed) / float64(*t.now)
	}
	if s.faults.SlowFactor > 0 {
		speed /= s.faults.SlowFactor
	}
	return speed
}

// transfer returns when the work is done at the share of speed that the load
// has from moment to moment, or false if ctx ends first.
func (s *Server) transfer(ctx context.Context, work time.Duration, t transit) bool {
	remaining := float64(work)
	for remaining > 0 {
		speed := s.speed(t)
		before := time.Now()
		step := min(shareStep, time.Duration(remaining/speed)+time.Microsecond)
		if !httpapi.Sleep(ctx, step) {
			return false
		}
		remaining -= float64(time.Since(before)) * speed
	}
	return true
}
