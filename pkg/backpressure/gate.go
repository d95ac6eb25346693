package backpressure

import (
	"sync"
	"time"
)

// leavingRetention is how long a leaving server is remembered after its last report
// that it is leaving. Servers leave within seconds; an incarnation never returns.
const leavingRetention = 10 * time.Minute

// Incarnation identifies one process lifetime of a backend server.
type Incarnation struct {
	ID string
	// StartedAtMillis is the start time in Unix milliseconds.
	StartedAtMillis int64
}

// Availability says whether and until when a server accepts no requests. The zero
// value is that of an available server.
type Availability struct {
	// Leaving is set if the server is leaving and will accept no more requests.
	Leaving bool
	// Until is when a server that rejected a request accepts requests again.
	Until time.Time
}

// AcceptsRequests reports whether the server accepts requests.
func (a Availability) AcceptsRequests(now time.Time) bool { return !a.Leaving && !now.Before(a.Until) }

// record holds the reports of one incarnation.
type record struct {
	leavingAt time.Time
	until     time.Time
}

// Gate tracks which backend servers accept requests from this host, based on their
// responses. It is safe for concurrent use. Use NewGate.
type Gate struct {
	mu      sync.Mutex
	records map[Incarnation]record
}

// NewGate returns a gate for which all servers are available.
func NewGate() *Gate { return &Gate{records: make(map[Incarnation]record)} }

// RecordLeaving records that a server reported that it is leaving. It reports
// whether this is the first such report.
func (g *Gate) RecordLeaving(now time.Time, server Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	isFirst := r.leavingAt.IsZero()
	r.leavingAt = now
	g.records[server] = r
	return isFirst
}

// RecordRejection records that a server rejected a request and accepts none until
// retryAfter has passed. A later report never shortens the time.
func (g *Gate) RecordRejection(now time.Time, server Incarnation, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	if until := now.Add(retryAfter); until.After(r.until) {
		r.until = until
	}
	g.records[server] = r
}

// Availability returns whether and until when a server is unavailable.
func (g *Gate) Availability(server Incarnation) Availability {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	return Availability{Leaving: !r.leavingAt.IsZero(), Until: r.until}
}

// AcceptsRequests reports whether a server accepts requests now.
func (g *Gate) AcceptsRequests(now time.Time, server Incarnation) bool {
	return g.Availability(server).AcceptsRequests(now)
}

// Sweep removes expired records.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, r := range g.records {
		isLeaving := !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < leavingRetention
		if !isLeaving && !now.Before(r.until) {
			delete(g.records, server)
		}
	}
}
