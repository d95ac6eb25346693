package ratelimit

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// recordRetention is how long a server's record is kept after its last response.
// An incarnation that names a limit and is asked nothing for so long has left.
const recordRetention = 10 * time.Minute

// Registry holds the limits of the backend servers that this host has responses
// of. It is safe for concurrent use. Use NewRegistry.
type Registry struct {
	mu      sync.Mutex
	records map[backpressure.Incarnation]*Record
}

// NewRegistry returns a registry of servers without limits.
func NewRegistry() *Registry {
	return &Registry{records: make(map[backpressure.Incarnation]*Record)}
}

// Observe applies what a response of a server names. It returns the limit before
// and after.
func (r *Registry) Observe(server backpressure.Incarnation, o Observation) (before, after Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.records[server]
	if record == nil {
		if !o.Limit.Named {
			return Limit{}, Limit{}
		}
		record = &Record{}
		r.records[server] = record
	}
	before = record.Limit()
	record.Observe(o)
	return before, record.Limit()
}

// Known returns a server's limit and when it was last named.
func (r *Registry) Known(server backpressure.Incarnation) (limit Limit, namedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.records[server]
	if record == nil {
		return Limit{}, time.Time{}
	}
	return record.Limit(), record.NamedAt()
}

// Limited returns the number of servers with a limit.
func (r *Registry) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, record := range r.records {
		if record.Limit().Named {
			count++
		}
	}
	return count
}

// Sweep removes the records of servers without recent responses.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, record := range r.records {
		if now.Sub(record.ConfirmedAt()) > recordRetention {
			delete(r.records, server)
		}
	}
}
