// Package state serves a dump of a process's state over HTTP.
package state

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"
)

// Path is the URL path of the dump.
const Path = "/debug/state"

// Process describes the process itself.
type Process struct {
	Program   string    `json:"program"`
	Version   string    `json:"version"`
	HostID    string    `json:"host_id"`
	GoVersion string    `json:"go_version"`
	StartedAt time.Time `json:"started_at"`
	// UptimeSeconds is the time since the process started.
	UptimeSeconds float64 `json:"uptime_seconds"`
	Goroutines    int     `json:"goroutines"`
	// HeapBytes is the memory of live objects and of garbage not collected yet.
	HeapBytes uint64 `json:"heap_bytes"`
	// SystemBytes is the memory that the Go runtime obtained from the system.
	SystemBytes uint64 `json:"system_bytes"`
}

// Identity identifies a process by its build and its settings.
type Identity struct {
	Program string
	Version string
	HostID  string
}

// Dump is the complete state dump. It contains no secrets.
type Dump struct {
	Process    Process        `json:"process"`
	Components map[string]any `json:"components"`
}

// Registry holds the functions that return the state of each component.
type Registry struct {
	identity Identity
	started  time.Time
	now      func() time.Time

	mu sync.Mutex
	// dumpFuncs holds the functions by the component's name.
	dumpFuncs map[string]func() any
}

// NewRegistry returns a Registry. now is the clock; nil means time.Now.
func NewRegistry(identity Identity, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{
		identity:  identity,
		started:   now(),
		now:       now,
		dumpFuncs: map[string]func() any{},
	}
}

// Register adds a component. dump is called for each state dump, on any goroutine. It
// returns a value that can be encoded as JSON, is no longer modified and contains no
// secrets. Registering a name again replaces its previous function.
func (r *Registry) Register(name string, dump func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dumpFuncs[name] = dump
}

// Dump collects the state of the process and all components.
func (r *Registry) Dump() Dump {
	dump := Dump{Process: r.process(), Components: map[string]any{}}
	for name, dumpComponent := range r.copyDumpFuncs() {
		dump.Components[name] = dumpComponent()
	}
	return dump
}

// copyDumpFuncs lets Dump call the functions without holding the lock.
func (r *Registry) copyDumpFuncs() map[string]func() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	dumpFuncs := make(map[string]func() any, len(r.dumpFuncs))
	for name, dump := range r.dumpFuncs {
		dumpFuncs[name] = dump
	}
	return dumpFuncs
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
