package quota

import (
	"sync"
	"time"
)

const (
	// askedPerRequest is the number of entries that are asked for credit at most.
	askedPerRequest = 2
	// avoidTime is how long an entry that didn't respond isn't asked. It is longer than
	// awayAfter, so that the owner keeps the share back for most of the time in which a
	// substitute issues it.
	avoidTime = 3 * time.Second
	// goneAfter is how long an entry doesn't respond before the next one is taken for
	// the owner, no longer for a substitute.
	goneAfter = 20 * time.Second
)

// Target is an entry to ask for credit.
type Target struct {
	Entry string
	// Substitute is set if the entry before it owns the quota and didn't respond.
	Substitute bool
}

// Reachability records which entries responded lately. It is safe for concurrent use.
// Use NewReachability.
type Reachability struct {
	mu     sync.Mutex
	failed map[string]failure
}

// failure is a time without response.
type failure struct{ since, until time.Time }

// NewReachability returns a record in which all entries respond.
func NewReachability() *Reachability { return &Reachability{failed: make(map[string]failure)} }

// Targets returns the entries to ask, from all of them in the order that all entries
// agree on.
func (r *Reachability) Targets(now time.Time, ranked []string) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []Target
	substitute := false
	for _, entry := range ranked {
		if len(targets) == askedPerRequest {
			break
		}
		f, hasFailed := r.failed[entry]
		if !hasFailed || !now.Before(f.until) {
			targets = append(targets, Target{Entry: entry, Substitute: substitute})
		}
		if !hasFailed || now.Sub(f.since) < goneAfter {
			substitute = true
		}
	}
	return targets
}

// Responded records a response.
func (r *Reachability) Responded(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, entry)
}

// Failed records that an entry didn't respond.
func (r *Reachability) Failed(now time.Time, entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, hasFailed := r.failed[entry]
	if !hasFailed {
		f.since = now
	}
	f.until = now.Add(avoidTime)
	r.failed[entry] = f
}
