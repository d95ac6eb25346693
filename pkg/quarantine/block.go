package quarantine

import (
	"slices"
	"time"
)

// Signature is what requests that crash servers have in common. Its fingerprints are
// in ascending order.
type Signature []Fingerprint

// Matches reports whether a request has all fingerprints of the signature.
func (s Signature) Matches(fingerprints []Fingerprint) bool {
	for _, fingerprint := range s {
		if !slices.Contains(fingerprints, fingerprint) {
			return false
		}
	}
	return len(s) > 0
}

// without returns the signature without a fingerprint.
func (s Signature) without(fingerprint Fingerprint) Signature {
	return slices.DeleteFunc(slices.Clone(s), func(f Fingerprint) bool { return f == fingerprint })
}

// Change is what happened to a block.
type Change uint8

// The changes of blocks.
const (
	// Added: requests with the signature are refused from now on.
	Added Change = iota
	// Narrowed: a fingerprint turned out to be sound and was removed.
	Narrowed
	// Lifted: a response started in spite of the block.
	Lifted
	// Expired: requests with the signature are accepted again. The next crash
	// blocks it again.
	Expired
	// Adopted: an earlier detector has made the block, and a host still has it.
	Adopted
)

// String returns the change's name in logs and metrics.
func (c Change) String() string {
	switch c {
	case Added:
		return "added"
	case Narrowed:
		return "narrowed"
	case Lifted:
		return "lifted"
	case Adopted:
		return "adopted"
	default:
		return "expired"
	}
}

// BlockChange is a change of a block, with the block's evidence.
type BlockChange struct {
	Change    Change
	Signature Signature
	Evidence
}

// Attributes returns the attributes of a log line on the change.
func (c BlockChange) Attributes(now time.Time, service string) []any {
	return []any{
		"belief", "quarantine:" + service, "service", service, "change", c.Change.String(), "signature", c.Signature,
		"crashes", c.Crashes, "begun", c.Begun, "first_crash_age_ms", now.Sub(c.FirstCrash).Milliseconds(),
	}
}

// Evidence is why a signature is blocked.
type Evidence struct {
	// Crashes counts the crashes since a fingerprint of the signature was last part
	// of a start, Begun those in which the response to such a request had begun.
	Crashes int
	Begun   int
	// FirstCrash is the time of the first of them.
	FirstCrash time.Time
}

// block keeps the requests with a signature from being sent.
type block struct {
	signature Signature
	evidence  Evidence
	KeptBlock
}

// changed returns the block after a change.
func (b *block) changed(change Change) BlockChange {
	return BlockChange{Change: change, Signature: b.signature, Evidence: b.evidence}
}

func (b *block) isActive(now time.Time) bool { return now.Sub(b.MadeAt) < BlockTTL }

// State is what a detector publishes. It is immutable.
type State struct {
	// Watched are the fingerprints under suspicion. Their starts are reported to the
	// detector.
	Watched []Fingerprint
	// Blocks are the signatures of the requests to refuse.
	Blocks []Signature
	// Kept says of each of Blocks, in the same order, since when it holds; empty if that
	// isn't known.
	Kept []KeptBlock
	// Ended are the blocks that a start has ended lately.
	Ended []EndedBlock
	// Instance identifies the process of the detector; 0 if it is unknown. The next
	// process doesn't know what the one before has decided until it is given it.
	Instance uint64
}

// equal reports whether two states say the same.
func (s *State) equal(other *State) bool {
	same := func(a, b Signature) bool { return slices.Equal(a, b) }
	return slices.Equal(s.Watched, other.Watched) && slices.Equal(s.Kept, other.Kept) &&
		slices.EqualFunc(s.Blocks, other.Blocks, same) &&
		slices.EqualFunc(s.Ended, other.Ended, func(a, b EndedBlock) bool { return a.At.Equal(b.At) && same(a.Signature, b.Signature) })
}

// lists reports whether a state contains a block.
func (s *State) lists(signature Signature) bool { return hasSignature(s.Blocks, signature) }

func hasSignature(signatures []Signature, signature Signature) bool {
	return slices.ContainsFunc(signatures, func(known Signature) bool { return slices.Equal(known, signature) })
}
