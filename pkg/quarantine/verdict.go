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

// Change is what happened to a verdict.
type Change uint8

// The changes of verdicts.
const (
	// Convicted: requests with the signature are refused from now on.
	Convicted Change = iota
	// Narrowed: a fingerprint turned out to be sound and was removed.
	Narrowed
	// Acquitted: a response started in spite of the verdict.
	Acquitted
	// Expired: requests with the signature are accepted again. The next crash
	// convicts it again.
	Expired
)

// String returns the change's name in logs and metrics.
func (c Change) String() string {
	switch c {
	case Convicted:
		return "convicted"
	case Narrowed:
		return "narrowed"
	case Acquitted:
		return "acquitted"
	default:
		return "expired"
	}
}

// Verdict is a changed verdict, with its evidence.
type Verdict struct {
	Change    Change
	Signature Signature
	Grounds
}

// Grounds is the evidence that convicted a signature.
type Grounds struct {
	// Crashes counts the crashes since a fingerprint of the signature was last part
	// of a start, Begun those in which the response to such a request had begun.
	Crashes int
	Begun   int
	// FirstCrash is the time of the first of them.
	FirstCrash time.Time
}

// State is what a judge publishes. It is immutable.
type State struct {
	// Watched are the fingerprints under suspicion. Their starts are reported to the
	// judge.
	Watched []Fingerprint
	// Verdicts are the signatures of the requests to refuse.
	Verdicts []Signature
}

// lists reports whether a state contains a verdict.
func (s *State) lists(signature Signature) bool {
	return slices.ContainsFunc(s.Verdicts, func(known Signature) bool { return slices.Equal(known, signature) })
}
