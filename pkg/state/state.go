// Package state serves the dump of a process's state on request.
package state

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// Path is where the dump is served.
const Path = "/debug/state"

// Process describes the process itself.
type Process struct {
	Program   string    `json:"program"`
	Version   string    `json:"version"`
	HostID    string    `json:"host_id"`
	GoVersion string    `json:"go_version"`
	StartedAt time.Time `json:"started_at"`
	// UptimeSeconds is the time since the start.
	UptimeSeconds float64 `json:"uptime_seconds"`
	Goroutines    int     `json:"goroutines"`
	// HeapBytes is the memory of live and not yet collected objects.
	HeapBytes uint64 `json:"heap_bytes"`
	// SystemBytes is the memory that the runtime has from the system.
	SystemBytes uint64 `json:"system_bytes"`
}

// Identity is what a process knows of itself from its build and its settings.
type Identity struct {
	Program string
	Version string
	HostID  string
}

// Dump is the whole dump. Components' parts hold no secrets.
type Dump struct {
	Process    Process        `json:"process"`
	Components map[string]any `json:"components"`
}

// Registry holds the components' parts of the dump.
type Registry struct {
	identity Identity
	started  time.Time
	now      func() time.Time

	mu    sync.Mutex
	parts map[string]func() any
}

// NewRegistry returns a Registry; now is the clock, nil for time.Now.
func NewRegistry(identity Identity, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{
		identity: identity,
		started:  now(),
		now:      now,
		parts:    map[string]func() any{},
	}
}

// Register adds a component. part is called for each dump, from any goroutine,
// and returns a value that encodes as JSON, is not changed any more, and holds no
// secrets. A name registered again replaces the former part.
func (r *Registry) Register(name string, part func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[name] = part
}

// Dump collects the state.
func (r *Registry) Dump() Dump {
	dump := Dump{Process: r.process(), Components: map[string]any{}}
	for name, part := range r.copyParts() {
		dump.Components[name] = part()
	}
	return dump
}

func (r *Registry) copyParts() map[string]func() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make(map[string]func() any, len(r.parts))
	for name, part := range r.parts {
		parts[name] = part
	}
	return parts
}

func (r *Registry) process() Process {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Process{
		Program:       r.identity.Program,
		Version:       r.identity.Version,
		HostID:        r.identity.HostID,
		GoVersion:     runtime.Version(),
		StartedAt:     r.started.UTC(),
		UptimeSeconds: r.now().Sub(r.started).Seconds(),
		Goroutines:    runtime.NumGoroutine(),
		HeapBytes:     memory.HeapAlloc,
		SystemBytes:   memory.Sys,
	}
}

// Handler serves the dump as JSON at Path.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "use GET", http.StatusMethodNotAllowed)
			return
		}
		encoded, err := json.MarshalIndent(r.Dump(), "", "  ")
		if err != nil {
			err = fmt.Errorf("state: encode: %w", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encoded)
	})
}
