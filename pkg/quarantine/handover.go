package quarantine

import (
	"slices"
	"time"
)

const (
	// settleTime is the time from a handover to the first block, so that the handovers of
	// other hosts, which may contain starts, arrive first.
	settleTime = 400 * time.Millisecond
	// maxEnded limits the ended blocks that a detector remembers for BlockTTL.
	maxEnded = 64
)

// Block is a block as hosts give it to each other.
type Block struct {
	Signature Signature
	KeptBlock
}

// KeptBlock is what a host needs to know of a block to give it to another detector.
type KeptBlock struct {
	Service string
	// MadeAt is when it was made or last renewed, LastCrash the last crash by a request
	// with the signature. A start after it shows that the block is wrong.
	MadeAt, LastCrash time.Time
	// CrashReport identifies a report of this crash.
	CrashReport uint64
}

// merged returns what is known of a block from two sources. Delays make a block look
// younger than it is, never older: of the same crash, the earlier time is the better one.
func (k KeptBlock) merged(other KeptBlock) KeptBlock {
	switch {
	case k.CrashReport == other.CrashReport:
		other.MadeAt, other.LastCrash = earlier(k.MadeAt, other.MadeAt), earlier(k.LastCrash, other.LastCrash)
		return other
	case other.LastCrash.After(k.LastCrash):
		return other
	default:
		return k
	}
}

// Handover is what one host knows of the crashes of a service's servers, for a detector
// that has begun anew or was just selected.
type Handover struct {
	Crashes []Crash
	Starts  []Start
	Blocks  []Block
}

// endedBlock is a block that a start has ended.
type endedBlock struct {
	signature Signature
	at        time.Time
	// lastCrash is that of the block.
	lastCrash time.Time
}

// EndedBlock is a block that a start has ended.
type EndedBlock struct {
	Signature Signature
	// At is the time of the start. It ends blocks by crashes before it.
	At time.Time
}

// HandOver adds a host's knowledge to the evidence. What the detector knows already
// changes nothing.
func (d *Detector) HandOver(now time.Time, handover Handover) []BlockChange {
	for _, start := range handover.Starts {
		d.starts.Record(start.Fingerprint, start.At)
	}
	var changes []BlockChange
	hasNew := false
	for i := range handover.Crashes {
		hasNew = hasNew || !d.Knows(handover.Crashes[i].Report)
		changes = append(changes, d.record(now, &handover.Crashes[i])...)
	}
	for _, b := range handover.Blocks {
		changes = append(changes, d.adopt(now, b)...)
	}
	for _, start := range handover.Starts {
		changes = append(changes, d.reconsider(start)...)
	}
	if hasNew && !now.Before(d.settledAt) {
		d.settledAt = now.Add(settleTime)
	}
	return append(changes, d.review(now)...)
}

// adopt adds a block of an earlier detector without what has started since.
func (d *Detector) adopt(now time.Time, b Block) []BlockChange {
	if now.Sub(b.MadeAt) >= BlockTTL || d.hasEnded(b) {
		return nil
	}
	if changes, ok := d.merge(now, b.Signature, b.KeptBlock); ok {
		return changes
	}
	var lastStart time.Time
	signature := slices.DeleteFunc(slices.Clone(b.Signature), func(fingerprint Fingerprint) bool {
		started, ok := d.starts.Last(now, fingerprint)
		isSound := ok && started.After(b.LastCrash)
		if isSound {
			lastStart = later(lastStart, started)
		}
		return isSound
	})
	if len(signature) < len(b.Signature) {
		d.end(lastStart, b.Signature, b.LastCrash)
	}
	if len(signature) == 0 {
		return nil
	}
	if changes, ok := d.merge(now, signature, b.KeptBlock); ok {
		return changes
	}
	if d.isRefused(signature) {
		return nil
	}
	adopted := &block{signature: signature, KeptBlock: b.KeptBlock, evidence: Evidence{FirstCrash: b.LastCrash}}
	d.blocks = append(d.blocks, adopted)
	d.dropRedundant()
	return []BlockChange{adopted.changed(Adopted)}
}

// merge adds what another host knows of a block in force; false if there is none.
func (d *Detector) merge(now time.Time, signature Signature, kept KeptBlock) ([]BlockChange, bool) {
	at := slices.IndexFunc(d.blocks, func(known *block) bool { return slices.Equal(known.signature, signature) })
	if at < 0 {
		return nil, false
	}
	d.blocks[at].KeptBlock = d.blocks[at].merged(kept)
	return d.reconsiderKnownStarts(now, signature), true
}

// reconsiderKnownStarts applies the known starts of a signature's fingerprints, as the time
// of its last crash may have changed.
func (d *Detector) reconsiderKnownStarts(now time.Time, signature Signature) []BlockChange {
	var changes []BlockChange
	for _, fingerprint := range signature {
		if at, ok := d.starts.Last(now, fingerprint); ok {
			changes = append(changes, d.reconsider(Start{fingerprint, at})...)
		}
	}
	return changes
}

// hasEnded reports whether a block was ended here after its last crash.
func (d *Detector) hasEnded(b Block) bool {
	return slices.ContainsFunc(d.ended, func(e endedBlock) bool {
		return slices.Equal(e.signature, b.Signature) && !b.LastCrash.After(e.lastCrash)
	})
}

// end remembers that a start has ended a block.
func (d *Detector) end(startedAt time.Time, signature Signature, lastCrash time.Time) {
	d.ended = slices.DeleteFunc(d.ended, func(e endedBlock) bool { return slices.Equal(e.signature, signature) })
	d.ended = append(d.ended, endedBlock{signature: signature, at: startedAt, lastCrash: lastCrash})
	if excess := len(d.ended) - maxEnded; excess > 0 {
		d.ended = slices.Delete(d.ended, 0, excess)
	}
}

// forgetEnded forgets the ended blocks that no host holds any more, and those that are in
// force again.
func (d *Detector) forgetEnded(now time.Time) {
	d.ended = slices.DeleteFunc(d.ended, func(e endedBlock) bool {
		return now.Sub(e.at) >= BlockTTL ||
			slices.ContainsFunc(d.blocks, func(b *block) bool { return slices.Equal(b.signature, e.signature) })
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
