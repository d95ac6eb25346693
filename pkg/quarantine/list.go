package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// listHoldTime is how long blocks stay in force after their detector was lost.
	listHoldTime = time.Minute
	// startReportInterval is the minimum time between two reports of starts with the
	// same fingerprint.
	startReportInterval = 200 * time.Millisecond
)

// listed is a block of one detector.
type listed struct {
	detector  string
	signature Signature
	// since is when the block was first received, at when it was last received.
	since, at time.Time
}

// List holds what a host knows of the blocks of all detectors, and of the starts of its
// own requests. It is safe for concurrent use. The zero value is empty.
type List struct {
	mu       sync.Mutex
	blocks   []listed
	watched  map[Fingerprint]bool
	starts   History
	reported map[Fingerprint]time.Time
}

// ListChange is a block that a host has learned or dropped.
type ListChange struct {
	Signature Signature
	Detector  string
	// Reason is why it was dropped; empty if it was learned.
	Reason DropReason
	// Age is how long this host has known the block.
	Age time.Duration
}

// DropReason is why a host drops a block.
type DropReason string

// The reasons.
const (
	// Unlisted: its detector doesn't publish it any more.
	Unlisted DropReason = "unlisted"
	// DetectorLost: its detector publishes nothing for too long.
	DetectorLost DropReason = "detector lost"
)

// Update replaces the states of the detectors, by detector. Blocks of a detector that is
// missing stay for listHoldTime.
func (l *List) Update(now time.Time, states map[string]*State) []ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched = make(map[Fingerprint]bool)
	var changes []ListChange
	l.blocks = slices.DeleteFunc(l.blocks, func(b listed) bool {
		state, reason := states[b.detector], DropReason("")
		switch {
		case state != nil && !state.lists(b.signature):
			reason = Unlisted
		case state == nil && now.Sub(b.at) > listHoldTime:
			reason = DetectorLost
		default:
			return false
		}
		changes = append(changes, ListChange{b.signature, b.detector, reason, now.Sub(b.since)})
		return true
	})
	for detector, state := range states {
		for _, fingerprint := range state.Watched {
			l.watched[fingerprint] = true
		}
		for _, signature := range state.Blocks {
			if l.add(now, detector, signature) {
				changes = append(changes, ListChange{Signature: signature, Detector: detector})
			}
		}
	}
	for fingerprint := range l.reported {
		if !l.watched[fingerprint] {
			delete(l.reported, fingerprint)
		}
	}
	return changes
}

// add adds a block and reports whether it is new.
func (l *List) add(now time.Time, detector string, signature Signature) bool {
	at := slices.IndexFunc(l.blocks, func(b listed) bool { return b.detector == detector && slices.Equal(b.signature, signature) })
	if at >= 0 {
		l.blocks[at].at = now
		return false
	}
	l.blocks = append(l.blocks, listed{detector: detector, signature: signature, since: now, at: now})
	return true
}

// Refusal is the block because of which a request is refused.
type Refusal struct {
	Signature Signature
	// Age is how long this host has known the block, Remaining how long it is
	// expected to stay in force.
	Age       time.Duration
	Remaining time.Duration
}

// Check returns the block that a request matches; false if there is none.
func (l *List) Check(now time.Time, fingerprints []Fingerprint) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.blocks {
		if b.signature.Matches(fingerprints) {
			age := now.Sub(b.since)
			return Refusal{Signature: b.signature, Age: age, Remaining: max(BlockTTL-age, 0)}, true
		}
	}
	return Refusal{}, false
}

// RecordStart records the start of a response, and returns the fingerprints of which
// the detectors must learn it. That of the whole request is recorded only under
// suspicion: most requests come once, and would displace the shared parts.
func (l *List) RecordStart(now, at time.Time, started Fingerprints) []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var report []Fingerprint
	for _, fingerprint := range started.All() {
		if fingerprint == started.Whole && !l.watched[fingerprint] {
			continue
		}
		l.starts.Record(fingerprint, at)
		if !l.watched[fingerprint] || now.Sub(l.reported[fingerprint]) < startReportInterval {
			continue
		}
		if l.reported == nil {
			l.reported = make(map[Fingerprint]time.Time)
		}
		l.reported[fingerprint] = now
		report = append(report, fingerprint)
	}
	return report
}

// Starts returns the last starts of the suspects' fingerprints that this host knows
// of.
func (l *List) Starts(now time.Time, suspects []Suspect) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var starts []Start
	for _, suspect := range suspects {
		for _, fingerprint := range suspect.Fingerprints {
			at, ok := l.starts.Last(now, fingerprint)
			isListed := slices.ContainsFunc(starts, func(s Start) bool { return s.Fingerprint == fingerprint })
			if ok && !isListed {
				starts = append(starts, Start{Fingerprint: fingerprint, At: at})
			}
		}
	}
	return starts
}

// Blocks returns the signatures in force, each once.
func (l *List) Blocks() []Signature {
	l.mu.Lock()
	defer l.mu.Unlock()
	var signatures []Signature
	for _, b := range l.blocks {
		if !slices.ContainsFunc(signatures, func(known Signature) bool { return slices.Equal(known, b.signature) }) {
			signatures = append(signatures, b.signature)
		}
	}
	return signatures
}
