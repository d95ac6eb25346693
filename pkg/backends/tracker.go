package backends

import (
	"sync"
	"time"
)

const (
	// latencyGain is the weight of a new answer in the mean latency.
	latencyGain = 0.2
	// silenceFactor and minSilence tell when a server that answers nothing is
	// taken for dead: after a multiple of its mean latency.
	silenceFactor = 4
	minSilence    = 150 * time.Millisecond
	// recentlyHeard is the time since a server's last byte in which it surely
	// lives.
	recentlyHeard = 100 * time.Millisecond
	// trialPause is the time between two calls that try a silent server.
	trialPause = time.Second
)

// Health is what requests showed of one server. The zero value is that of an
// unknown one.
type Health struct {
	InFlight int
	// Latency is the mean time to the first byte of an answer; zero if unknown.
	Latency time.Duration
	// Avoid tells that the server fails or is silent.
	Avoid bool
	// Unresponsive tells that it is avoided because it answers nothing.
	Unresponsive bool
}

// record is the state of one server.
type record struct {
	inFlight int
	latency  time.Duration
	failures FailureRate
	// quietSince is when the server was last heard while requests are open.
	quietSince time.Time
	// heard is when the last byte came from the server.
	heard time.Time
	// silent is set from a silence on until the server is heard again, and
	// trialAt is when it may get a request to show whether it is back.
	silent  bool
	trialAt time.Time
}

// Tracker holds the load and the health of backend servers by ID. It is safe
// for concurrent use. Use NewTracker.
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

// RequestStarted notes a request that is sent to a server.
func (t *Tracker) RequestStarted(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if r.inFlight == 0 {
		r.quietSince = now
	}
	r.inFlight++
}

// DataReceived notes bytes from a server.
func (t *Tracker) DataReceived(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.hear(now)
}

func (r *record) hear(now time.Time) {
	r.quietSince = now
	r.heard = now
	r.silent = false
}

// RequestEnded notes the end of a request that Began.
func (t *Tracker) RequestEnded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.inFlight = max(r.inFlight-1, 0)
}

// ResponseStarted notes the first byte of an answer after a time. failed tells that the
// server failed at the request.
func (t *Tracker) ResponseStarted(now time.Time, id string, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.hear(now)
	if r.latency == 0 {
		r.latency = took
	}
	r.latency += time.Duration(latencyGain * float64(took-r.latency))
	r.failures.Record(now, failed)
}

// RequestFailed notes a request that got no usable answer.
func (t *Tracker) RequestFailed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).failures.Record(now, true)
}

// AgentUnresponsive notes that the agent beside a server doesn't answer, which for both
// on one host is a sign that the server doesn't, either. It tells whether the
// server was heard so lately that it is known to live.
func (t *Tracker) AgentUnresponsive(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if now.Sub(r.heard) < recentlyHeard {
		return true
	}
	r.fellSilent(now)
	return false
}

// ConnectFailed notes that no connection to a server could be made.
func (t *Tracker) ConnectFailed(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).fellSilent(now)
}

func (r *record) fellSilent(now time.Time) {
	r.silent = true
	r.trialAt = now.Add(trialPause)
}

// Health returns what is known of a server.
func (t *Tracker) Health(now time.Time, id string) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return Health{}
	}
	r.noteSilence(now)
	return Health{
		InFlight:     r.inFlight,
		Latency:      r.latency,
		Avoid:        r.silent || r.failures.ShouldAvoid(now),
		Unresponsive: r.silent,
	}
}

func (r *record) noteSilence(now time.Time) {
	if r.inFlight == 0 || r.silent {
		return
	}
	patience := max(silenceFactor*r.latency, minSilence)
	if now.Sub(r.quietSince) >= patience {
		r.fellSilent(now)
	}
}

// ClaimTrial tells whether a silent server may get one call to show whether it
// is back, and puts the next one off.
func (t *Tracker) ClaimTrial(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || !r.silent || now.Before(r.trialAt) {
		return false
	}
	r.trialAt = now.Add(trialPause)
	return true
}

// Prune drops the servers that are not in use any more.
func (t *Tracker) Prune(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if r.inFlight == 0 && !known(id) {
			delete(t.records, id)
		}
	}
}
