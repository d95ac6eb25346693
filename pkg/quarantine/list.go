package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// listHoldTime is how long blocks stay in force after their detector was lost: as long
	// as if it were there.
	listHoldTime = BlockTTL
	// startReportInterval is the minimum time between two reports of starts with the
	// same fingerprint.
	startReportInterval = 200 * time.Millisecond
	// lostWatchTime is how long fingerprints count as under suspicion after their detector
	// was lost. The next one gets the evidence in this time.
	lostWatchTime = 2 * time.Second
)

// publisher is one process of a detector that publishes a block.
type publisher struct {
	detector string
	instance uint64
}

// listed is a block that is in force at this host.
type listed struct {
	signature  Signature
	publishers []publisher
	// since is when this host learned the block.
	since time.Time
	kept  KeptBlock
}

// watch is what a detector has under suspicion.
type watch struct {
	fingerprints []Fingerprint
	at           time.Time
}

// List holds what a host knows of the blocks of all detectors, and of the starts of its
// own requests. It is safe for concurrent use. The zero value is empty.
//
// A block ends when a detector that has published it ends it. One that was lost with the
// processes of its detectors stays until its time is over.
type List struct {
	mu       sync.Mutex
	blocks   []listed
	ended    []EndedBlock
	watches  map[publisher]watch
	watched  map[Fingerprint]bool
	starts   History
	reported map[Fingerprint]time.Time
}

// ListChange is a block that a host has learned or dropped.
type ListChange struct {
	Signature Signature
	// Detector is who published the block or ended it; empty if its time is over.
	Detector string
	// Reason is why it was dropped; empty if it was learned.
	Reason DropReason
	// Age is how long this host has known the block.
	Age time.Duration
}

// DropReason is why a host drops a block.
type DropReason string

// The reasons.
const (
	// Unlisted: a detector doesn't publish it any more.
	Unlisted DropReason = "unlisted"
	// EndedByStart: a detector knows of a start with it, whoever else publishes it.
	EndedByStart DropReason = "ended by start"
	// DetectorLost: its detectors are lost, and its time is over.
	DetectorLost DropReason = "detector lost"
)

// Update replaces the states of the detectors that respond, by detector, and returns the
// changed blocks.
func (l *List) Update(now time.Time, states map[string]*State) []ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []ListChange
	l.updateEnded(now, states)
	l.blocks = slices.DeleteFunc(l.blocks, func(b listed) bool {
		detector, reason := l.endOf(now, &b, states)
		if reason != "" {
			changes = append(changes, ListChange{b.signature, detector, reason, now.Sub(b.since)})
		}
		return reason != ""
	})
	for detector, state := range states {
		for i := range state.Blocks {
			if l.add(now, detector, state, i) {
				changes = append(changes, ListChange{Signature: state.Blocks[i], Detector: detector})
			}
		}
	}
	l.updateWatched(now, states)
	return changes
}

// updateEnded remembers the blocks that starts have ended, for as long as any host may still
// hold them.
func (l *List) updateEnded(now time.Time, states map[string]*State) {
	for _, state := range states {
		for _, e := range state.Ended {
			at := slices.IndexFunc(l.ended, func(known EndedBlock) bool { return slices.Equal(known.Signature, e.Signature) })
			switch {
			case at < 0:
				l.ended = append(l.ended, e)
			case e.At.After(l.ended[at].At):
				l.ended[at] = e
			}
		}
	}
	l.ended = slices.DeleteFunc(l.ended, func(e EndedBlock) bool { return now.Sub(e.At) >= BlockTTL })
	if excess := len(l.ended) - maxEnded; excess > 0 {
		l.ended = slices.Delete(l.ended, 0, excess)
	}
}

// hasEnded reports whether a start has ended a block with this last crash.
func (l *List) hasEnded(signature Signature, lastCrash time.Time) bool {
	return slices.ContainsFunc(l.ended, func(e EndedBlock) bool {
		return slices.Equal(e.Signature, signature) && e.At.After(lastCrash)
	})
}

// endOf returns the detector that ended a block, and the reason; "" if it is in force.
func (l *List) endOf(now time.Time, b *listed, states map[string]*State) (detector string, reason DropReason) {
	if l.hasEnded(b.signature, b.kept.LastCrash) {
		return "", EndedByStart
	}
	for _, state := range states {
		if state.lists(b.signature) {
			return "", ""
		}
	}
	for _, p := range b.publishers {
		if state := states[p.detector]; state != nil && state.Instance == p.instance {
			return p.detector, Unlisted
		}
	}
	if now.Sub(b.kept.MadeAt) >= listHoldTime {
		return "", DetectorLost
	}
	return "", ""
}

// updateWatched updates the fingerprints under suspicion, and those of which no starts are
// reported any more.
func (l *List) updateWatched(now time.Time, states map[string]*State) {
	if l.watches == nil {
		l.watches = make(map[publisher]watch)
	}
	for detector, state := range states {
		l.watches[publisher{detector, state.Instance}] = watch{state.Watched, now}
	}
	l.watched = make(map[Fingerprint]bool)
	for p, w := range l.watches {
		if now.Sub(w.at) > lostWatchTime {
			delete(l.watches, p)
			continue
		}
		for _, fingerprint := range w.fingerprints {
			l.watched[fingerprint] = true
		}
	}
	for fingerprint := range l.reported {
		if !l.watched[fingerprint] {
			delete(l.reported, fingerprint)
		}
	}
}

// add adds a detector's i-th block and reports whether it is new.
func (l *List) add(now time.Time, detector string, state *State, i int) bool {
	signature, kept := state.Blocks[i], KeptBlock{MadeAt: now, LastCrash: now}
	isDated := len(state.Kept) == len(state.Blocks)
	if isDated {
		kept = state.Kept[i]
		if l.hasEnded(signature, kept.LastCrash) {
			// The detector doesn't know of the start.
			return false
		}
	}
	by := publisher{detector, state.Instance}
	at := slices.IndexFunc(l.blocks, func(b listed) bool { return slices.Equal(b.signature, signature) })
	if at < 0 {
		l.blocks = append(l.blocks, listed{signature: signature, publishers: []publisher{by}, since: now, kept: kept})
		return true
	}
	b := &l.blocks[at]
	switch {
	case isDated && b.kept.Service == "":
		b.kept = kept
	case isDated:
		b.kept = b.kept.merged(kept)
	}
	b.publishers = slices.DeleteFunc(b.publishers, func(p publisher) bool { return p.detector == detector })
	b.publishers = append(b.publishers, by)
	return false
}

// HasBlocks reports whether any block is in force.
func (l *List) HasBlocks() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.blocks) > 0
}

// Learn adds blocks that another host has, and returns those that are new.
func (l *List) Learn(now time.Time, blocks []Block) []ListChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []ListChange
	for _, b := range blocks {
		isKnown := slices.ContainsFunc(l.blocks, func(known listed) bool { return slices.Equal(known.signature, b.Signature) })
		if !isKnown && now.Sub(b.MadeAt) < listHoldTime && !l.hasEnded(b.Signature, b.LastCrash) {
			l.blocks = append(l.blocks, listed{signature: b.Signature, since: now, kept: b.KeptBlock})
			changes = append(changes, ListChange{Signature: b.Signature})
		}
	}
	return changes
}

// All returns the blocks in force whose services are known, to be given to another host.
func (l *List) All() []Block {
	var all []Block
	for _, service := range l.Services() {
		all = append(all, l.Kept(service)...)
	}
	return all
}

// Kept returns the blocks in force of a service, to be given to another detector.
func (l *List) Kept(service string) []Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []Block
	for _, b := range l.blocks {
		if b.kept.Service == service {
			kept = append(kept, Block{b.signature, b.kept})
		}
	}
	return kept
}

// Services returns the services of the blocks in force, as far as they are known.
func (l *List) Services() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var services []string
	for _, b := range l.blocks {
		if b.kept.Service != "" {
			services = append(services, b.kept.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
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
			remaining := BlockTTL - now.Sub(b.kept.MadeAt)
			return Refusal{Signature: b.signature, Age: now.Sub(b.since), Remaining: max(remaining, 0)}, true
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

// LastStarts returns the last starts of fingerprints that this host knows of.
func (l *List) LastStarts(now time.Time, fingerprints []Fingerprint) []Start {
	return l.Starts(now, []Suspect{{Fingerprints: fingerprints}})
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

// Blocks returns the signatures in force.
func (l *List) Blocks() []Signature {
	l.mu.Lock()
	defer l.mu.Unlock()
	var signatures []Signature
	for _, b := range l.blocks {
		signatures = append(signatures, b.signature)
	}
	return signatures
}
