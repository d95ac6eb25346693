package backends

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new response in the mean latency.
	latencyWeight = 0.2
	// A server with requests in flight that sends nothing for timeoutFactor times its
	// mean latency, but at least minTimeout, is considered unresponsive.
	timeoutFactor = 4
	minTimeout    = 150 * time.Millisecond
	// recentContact is the time after a server's last byte in which it is considered
	// alive.
	recentContact = 100 * time.Millisecond
	// probeInterval is the time between two probe requests to an unresponsive server.
	probeInterval = time.Second
)

// Health is the health of one server as observed by requests. The zero value is that
// of an unknown server.
type Health struct {
	InFlight int
	// Latency is the mean time to the first byte of a response; zero if unknown.
	Latency time.Duration
	// Avoid is set if the server fails or is unresponsive.
	Avoid bool
	// Unresponsive is set if the server is avoided because it sends nothing.
	Unresponsive bool
}

// record is the state of one server.
type record struct {
	inFlight int
	latency  time.Duration
	failures FailureRate
	// waitingSince is since when requests in flight have received no data from the
	// server.
	waitingSince time.Time
	// lastContact is when the last byte arrived from the server.
	lastContact time.Time
	// unresponsive is set from a timeout until the next data from the server, and
	// probeAt is when it may receive the next probe request.
	unresponsive bool
	probeAt      time.Time
}

// Tracker records the load and the health of backend servers by ID. It is safe for
// concurrent use. Use NewTracker.
type Tracker struct {
	mu      sync.Mutex
	records map[string]*record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[string]*record)}
}

func (t *Tracker) record(id string) *record {
	r := t.records[id]
	if r == nil {
		r = &record{}
		t.records[id] = r
	}
	return r
}

// RequestStarted records a request that is sent to a server.
func (t *Tracker) RequestStarted(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if r.inFlight == 0 {
		r.waitingSince = now
	}
	r.inFlight++
}

// DataReceived records that data arrived from a server.
func (t *Tracker) DataReceived(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.dataReceived(now)
}

func (r *record) dataReceived(now time.Time) {
	r.waitingSince = now
	r.lastContact = now
	r.unresponsive = false
}

// RequestEnded records the end of a request passed to RequestStarted.
func (t *Tracker) RequestEnded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.inFlight = max(r.inFlight-1, 0)
}

// ResponseStarted records the first byte of a response and the time it took. failed
// reports that the server failed to process the request.
func (t *Tracker) ResponseStarted(now time.Time, id string, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.dataReceived(now)
	if r.latency == 0 {
		r.latency = took
	}
	r.latency += time.Duration(latencyWeight * float64(took-r.latency))
	r.failures.Record(now, failed)
}

// RequestFailed records a request without a usable response.
func (t *Tracker) RequestFailed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).failures.Record(now, true)
}

// AgentUnresponsive records that the agent of a server doesn't respond. As both run
// on one host, the server is then considered unresponsive as well, unless it sent
// data recently. It reports whether the server did.
func (t *Tracker) AgentUnresponsive(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if now.Sub(r.lastContact) < recentContact {
		return true
	}
	r.markUnresponsive(now)
	return false
}

// ConnectFailed records that no connection to a server could be made.
func (t *Tracker) ConnectFailed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).markUnresponsive(now)
}

func (r *record) markUnresponsive(now time.Time) {
	r.unresponsive = true
	r.probeAt = now.Add(probeInterval)
}

// Health returns the health of a server.
func (t *Tracker) Health(now time.Time, id string) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return Health{}
	}
	r.checkTimeout(now)
	return Health{
		InFlight:     r.inFlight,
		Latency:      r.latency,
		Avoid:        r.unresponsive || r.failures.ShouldAvoid(now),
		Unresponsive: r.unresponsive,
	}
}

func (r *record) checkTimeout(now time.Time) {
	if r.inFlight == 0 || r.unresponsive {
		return
	}
	timeout := max(timeoutFactor*r.latency, minTimeout)
	if now.Sub(r.waitingSince) >= timeout {
		r.markUnresponsive(now)
	}
}

// ClaimProbe reports whether an unresponsive server may receive a probe request now,
// and schedules the next one.
func (t *Tracker) ClaimProbe(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || !r.unresponsive || now.Before(r.probeAt) {
		return false
	}
	r.probeAt = now.Add(probeInterval)
	return true
}

// Prune removes servers that aren't known any more and have no requests in flight.
func (t *Tracker) Prune(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if r.inFlight == 0 && !known(id) {
			delete(t.records, id)
		}
	}
}
