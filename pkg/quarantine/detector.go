package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// BlockTTL is how long requests are refused after a block.
	BlockTTL = 10 * time.Minute
	// renewalTTL is how long after that a single crash renews the block.
	renewalTTL = time.Hour
	// maxBlocks limits the blocks, including those that may be renewed.
	maxBlocks = 64

	// reviewInterval is the time between two reviews without new evidence.
	reviewInterval = 250 * time.Millisecond

	// maxWatched limits the fingerprints under suspicion that are published, and
	// watchTTL is how long after their last crash they are.
	maxWatched = 64
	watchTTL   = time.Minute
)

// Detector decides which requests crash servers, from the evidence of all hosts. Its
// methods return the changed blocks. The zero value has no evidence.
type Detector struct {
	incidents []*incident
	starts    History
	blocks    []*block
	ended     []endedBlock
	state     *State
	// reviewAt is when the passing of time may change a block.
	reviewAt time.Time
	// settledAt is the time before which nothing is blocked after a handover.
	settledAt time.Time
}

// State returns what all hosts need to know; nil before the first crash.
func (d *Detector) State() *State { return d.state }

// RecordCrash records what a host reports of a crash.
func (d *Detector) RecordCrash(now time.Time, crash Crash) []BlockChange {
	return append(d.record(now, &crash), d.review(now)...)
}

// Knows reports whether a report of a crash has arrived before.
func (d *Detector) Knows(report uint64) bool {
	return report != 0 && slices.ContainsFunc(d.incidents, func(i *incident) bool { return slices.Contains(i.reports, report) })
}

// record adds what a host reports of a crash to the evidence, once.
func (d *Detector) record(now time.Time, crash *Crash) []BlockChange {
	for _, start := range crash.Starts {
		d.starts.Record(start.Fingerprint, start.At)
	}
	if d.Knows(crash.Report) || now.Sub(crash.At) > incidentRetention {
		return nil
	}
	at := slices.IndexFunc(d.incidents, func(i *incident) bool { return i.isOf(crash) })
	if at < 0 {
		at = len(d.incidents)
		d.incidents = append(d.incidents, newIncident(crash.At))
	}
	d.incidents[at].add(crash)
	return d.renew(now, crash)
}

// RecordStarts records that responses have started.
func (d *Detector) RecordStarts(now time.Time, starts []Start) []BlockChange {
	var changes []BlockChange
	for _, start := range starts {
		d.starts.Record(start.Fingerprint, start.At)
		changes = append(changes, d.reconsider(start)...)
	}
	return append(changes, d.review(now)...)
}

// Update reviews the evidence if it is time.
func (d *Detector) Update(now time.Time) []BlockChange {
	if (len(d.incidents) == 0 && len(d.blocks) == 0) || now.Before(d.reviewAt) {
		return nil
	}
	return d.review(now)
}

// review blocks what there is enough evidence against by now, and ends what has
// expired.
func (d *Detector) review(now time.Time) []BlockChange {
	d.reviewAt = now.Add(reviewInterval)
	isSettled := !now.Before(d.settledAt)
	if !isSettled && d.settledAt.Before(d.reviewAt) {
		d.reviewAt = d.settledAt
	}
	changes := d.expire(now)
	for isSettled {
		blocked, ok := d.blockNext(now)
		if !ok {
			break
		}
		changes = append(changes, blocked)
	}
	d.publish(now)
	return changes
}

// expire discards old evidence and ends blocks.
func (d *Detector) expire(now time.Time) []BlockChange {
	slices.SortStableFunc(d.incidents, func(a, b *incident) int { return a.at.Compare(b.at) })
	d.incidents = slices.DeleteFunc(d.incidents, func(i *incident) bool { return now.Sub(i.at) > incidentRetention })
	if excess := len(d.incidents) - maxIncidents; excess > 0 {
		d.incidents = slices.Delete(d.incidents, 0, excess)
	}
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return now.Sub(b.MadeAt) > BlockTTL+renewalTTL })
	if excess := len(d.blocks) - maxBlocks; excess > 0 {
		d.blocks = slices.Delete(d.blocks, 0, excess)
	}
	var changes []BlockChange
	for _, b := range d.blocks {
		if d.state != nil && !b.isActive(now) && d.state.lists(b.signature) {
			changes = append(changes, b.changed(Expired))
		}
	}
	return changes
}

// reconsider applies a start to the blocks: what has started since the last crash
// doesn't crash servers.
func (d *Detector) reconsider(start Start) []BlockChange {
	var changes []BlockChange
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool {
		if !slices.Contains(b.signature, start.Fingerprint) || !start.At.After(b.LastCrash) {
			return false
		}
		d.end(start.At, b.signature, b.LastCrash)
		if len(b.signature) > 1 {
			b.signature = b.signature.without(start.Fingerprint)
			changes = append(changes, b.changed(Narrowed))
			return false
		}
		changes = append(changes, b.changed(Lifted))
		return true
	})
	d.dropRedundant()
	return changes
}

// renew applies a crash to the blocks, and blocks again what has expired.
func (d *Detector) renew(now time.Time, crash *Crash) []BlockChange {
	var changes []BlockChange
	for _, suspect := range crash.Suspects {
		for _, known := range d.blocks {
			if !known.signature.Matches(suspect.Fingerprints) || !crash.At.After(known.LastCrash) {
				continue
			}
			known.LastCrash, known.CrashReport = crash.At, crash.Report
			if !known.isActive(now) {
				known.MadeAt = now
				known.evidence = Evidence{Crashes: 1, FirstCrash: crash.At}
				changes = append(changes, known.changed(Added))
			}
		}
	}
	return changes
}

// collect returns the suspicions against all fingerprints. An incident that a block
// explains counts only for the fingerprints of the block's signature, as not all of
// them may be needed to explain it.
func (d *Detector) collect(now time.Time) map[Fingerprint]*suspicion {
	all := make(map[Fingerprint]*suspicion)
	for _, i := range d.incidents {
		explained := d.explanation(i)
		for fingerprint, begun := range i.begun {
			if len(explained) > 0 && !slices.Contains(explained, fingerprint) {
				continue
			}
			started, hasStarted := d.starts.Last(now, fingerprint)
			if (hasStarted && !i.at.After(started)) || (i.anyBegun && !begun) {
				continue
			}
			e := all[fingerprint]
			if e == nil {
				e = &suspicion{fingerprint: fingerprint, hasStarted: hasStarted}
				all[fingerprint] = e
			}
			e.add(i, len(explained) > 0)
		}
	}
	return all
}

// explanation returns the fingerprints of the blocks that explain an incident.
func (d *Detector) explanation(i *incident) []Fingerprint {
	var explained []Fingerprint
	for _, b := range d.blocks {
		if i.hasMatch(b.signature) {
			explained = append(explained, b.signature...)
		}
	}
	return explained
}

// isRefused reports whether a block refuses all requests with a signature.
func (d *Detector) isRefused(signature Signature) bool {
	return slices.ContainsFunc(d.blocks, func(b *block) bool { return b.signature.Matches(signature) })
}

// dropRedundant removes the blocks of which another one refuses all requests.
func (d *Detector) dropRedundant() {
	var needed []*block
	for i, b := range d.blocks {
		isRedundant := func(k int) bool {
			other := d.blocks[k].signature
			return k != i && other.Matches(b.signature) && (len(other) < len(b.signature) || k < i)
		}
		isNeeded := true
		for k := range d.blocks {
			isNeeded = isNeeded && !isRedundant(k)
		}
		if isNeeded {
			needed = append(needed, b)
		}
	}
	d.blocks = needed
}

// blockNext blocks the signature against which there is enough evidence; false if there
// is none.
func (d *Detector) blockNext(now time.Time) (BlockChange, bool) {
	all := d.collect(now)
	var best Signature
	var grounds *suspicion
	for _, fingerprint := range slices.Sorted(maps.Keys(all)) {
		e := all[fingerprint]
		if !e.suffices(now, 0) || (isAccompanied(e, all) && !e.suffices(now, extraCrashes)) {
			continue
		}
		// Of several signatures, the one that matches the fewest requests goes first.
		signature, ok := signatureOf(e, all)
		if ok && !d.isRefused(signature) && len(signature) > len(best) {
			best, grounds = signature, e
		}
	}
	if best == nil {
		return BlockChange{}, false
	}
	last := grounds.incidents[len(grounds.incidents)-1]
	blocked := &block{
		signature: best,
		evidence:  Evidence{Crashes: len(grounds.incidents), Begun: grounds.begun, FirstCrash: grounds.incidents[0].at},
		KeptBlock: KeptBlock{MadeAt: now, LastCrash: last.at, CrashReport: last.report()},
	}
	d.blocks = append(d.blocks, blocked)
	d.dropRedundant()
	return blocked.changed(Added), true
}

// publish replaces the published state if it has changed.
func (d *Detector) publish(now time.Time) {
	d.forgetEnded(now)
	next := &State{Watched: d.watched(now)}
	for _, b := range d.blocks {
		if b.isActive(now) {
			next.Blocks = append(next.Blocks, b.signature)
			next.Kept = append(next.Kept, b.KeptBlock)
		}
	}
	for _, e := range d.ended {
		next.Ended = append(next.Ended, EndedBlock{Signature: e.signature, At: e.at})
	}
	if d.state == nil || !d.state.equal(next) {
		d.state = next
	}
}

// watched returns the fingerprints under suspicion, in ascending order. If there are
// too many, those in most crashes stay.
func (d *Detector) watched(now time.Time) []Fingerprint {
	var suspects []*suspicion
	for _, e := range d.collect(now) {
		if now.Sub(e.incidents[len(e.incidents)-1].at) < watchTTL {
			suspects = append(suspects, e)
		}
	}
	slices.SortFunc(suspects, func(a, b *suspicion) int {
		return cmp.Or(cmp.Compare(len(b.incidents), len(a.incidents)), cmp.Compare(b.begun, a.begun), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	watched := make([]Fingerprint, 0, min(len(suspects), maxWatched))
	for _, e := range suspects[:min(len(suspects), maxWatched)] {
		watched = append(watched, e.fingerprint)
	}
	// The fingerprints of blocks are watched too: a start narrows or ends them.
	for _, b := range d.blocks {
		if b.isActive(now) {
			watched = append(watched, b.signature...)
		}
	}
	slices.Sort(watched)
	return slices.Compact(watched)
}
