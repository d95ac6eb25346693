package backpressure

import (
	"sync"
	"time"
)

// leavingMemory is how long a server that leaves is remembered after it was last
// heard to say so. Servers leave within seconds; an incarnation doesn't come back.
const leavingMemory = 10 * time.Minute

// Incarnation names one start of a backend server.
type Incarnation struct {
	ID string
	// StartedAtMillis is the Unix time of its start in milliseconds.
	StartedAtMillis int64
}

// Availability is why a server gets no request now. The zero value is that of an open
// one.
type Availability struct {
	// Leaving tells that it never opens again.
	Leaving bool
	// Until is when it opens again after it turned a request away.
	Until time.Time
}

// AcceptsRequests tells whether the server may get a request.
func (c Availability) AcceptsRequests(now time.Time) bool { return !c.Leaving && !now.Before(c.Until) }

// record is what one incarnation said last.
type record struct {
	leavingAt time.Time
	until     time.Time
}

// Gate holds what backend servers said in their answers to this host. It is safe
// for concurrent use. Use NewGate.
type Gate struct {
	mu      sync.Mutex
	records map[Incarnation]record
}

// NewGate returns a gate that is open for all servers.
func NewGate() *Gate { return &Gate{records: make(map[Incarnation]record)} }

// RecordLeaving notes that a server said that it leaves. It returns whether that is
// news.
func (g *Gate) RecordLeaving(now time.Time, server Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	isNews := r.leavingAt.IsZero()
	r.leavingAt = now
	g.records[server] = r
	return isNews
}

// RecordRejection notes that a server turned a request away and wants none for a time.
// A shorter time that is named later doesn't end a longer one.
func (g *Gate) RecordRejection(now time.Time, server Incarnation, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	if until := now.Add(retryAfter); until.After(r.until) {
		r.until = until
	}
	g.records[server] = r
}

// Availability returns why a server gets no request now, if it doesn't.
func (g *Gate) Availability(server Incarnation) Availability {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[server]
	return Availability{Leaving: !r.leavingAt.IsZero(), Until: r.until}
}

// AcceptsRequests tells whether a server may get a request now.
func (g *Gate) AcceptsRequests(now time.Time, server Incarnation) bool {
	return g.Availability(server).AcceptsRequests(now)
}

// Sweep forgets what no longer matters.
func (g *Gate) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, r := range g.records {
		left := !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < leavingMemory
		if !left && !now.Before(r.until) {
			delete(g.records, server)
		}
	}
}
