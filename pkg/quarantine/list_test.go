package quarantine

import (
	"slices"
	"testing"
	"time"
)

// blocked reports whether a list refuses a request at a time, in seconds.
func blocked(l *List, seconds float64, fingerprints ...Fingerprint) bool {
	_, ok := l.Check(at(seconds), fingerprints)
	return ok
}

func TestRequestIsRefusedOnlyWithWholeSignature(t *testing.T) {
	l := &List{}
	l.Update(at(0), map[string]*State{"a": {Blocks: []Signature{{deadly, subject}}}})
	if blocked(l, 1, first, subject) || blocked(l, 1, deadly) || blocked(l, 1) {
		t.Error("a request without the whole signature is refused")
	}
	if !blocked(l, 1, first, subject, deadly) {
		t.Error("a request with the signature isn't refused")
	}
}

func TestBlocksOutliveTheirDetectorForATime(t *testing.T) {
	l := &List{}
	l.Update(at(0), map[string]*State{"a": {Blocks: []Signature{{deadly}}}})
	l.Update(at(5), map[string]*State{})
	if !blocked(l, 5, deadly) {
		t.Error("the block ended with its detector")
	}
	l.Update(at(5+listHoldTime.Seconds()), map[string]*State{})
	if blocked(l, 6+listHoldTime.Seconds(), deadly) {
		t.Error("the block of a lost detector never ends")
	}
}

func TestDetectorEndsItsBlocksAtOnce(t *testing.T) {
	l := &List{}
	l.Update(at(0), map[string]*State{"a": {Blocks: []Signature{{deadly}}}, "b": {Blocks: []Signature{{deadly}}}})
	l.Update(at(1), map[string]*State{"a": {}, "b": {Blocks: []Signature{{deadly}}}})
	if !blocked(l, 1, deadly) {
		t.Error("the block of one detector ended with that of another one")
	}
	l.Update(at(2), map[string]*State{"a": {}, "b": {}})
	if blocked(l, 2, deadly) {
		t.Error("the block didn't end with its detectors'")
	}
}

func TestRefusalStatesHowLongBlockHolds(t *testing.T) {
	l := &List{}
	l.Update(at(0), map[string]*State{"a": {Blocks: []Signature{{deadly}}}})
	refusal, ok := l.Check(at(60), []Fingerprint{deadly})
	if !ok || refusal.Age != time.Minute || refusal.Remaining != BlockTTL-time.Minute {
		t.Errorf("refusal %+v, %t", refusal, ok)
	}
}

func TestStartsAreReportedOnlyUnderSuspicion(t *testing.T) {
	l := &List{}
	const whole Fingerprint = 77
	started := Fingerprints{Parts: []Fingerprint{first, subject}, Whole: whole}
	if report := l.RecordStart(at(0), at(0), started); report != nil {
		t.Errorf("reported %v without suspicion", report)
	}
	l.Update(at(1), map[string]*State{"a": {Watched: []Fingerprint{first, whole}}})
	if report := l.RecordStart(at(1), at(1), started); !slices.Equal(report, []Fingerprint{first, whole}) {
		t.Errorf("reported %v, want those under suspicion", report)
	}
	if report := l.RecordStart(at(1.1), at(1.1), started); report != nil {
		t.Errorf("reported %v again at once", report)
	}
	starts := l.Starts(at(2), []Suspect{{Fingerprints: []Fingerprint{first, subject, deadly}}})
	want := []Start{{first, at(1.1)}, {subject, at(1.1)}}
	if !slices.Equal(starts, want) {
		t.Errorf("starts %v, want %v", starts, want)
	}
}

func TestHistoryIsBoundedAndForgetsTheOldest(t *testing.T) {
	var h History
	for i := range 3 * maxHistory {
		h.Record(Fingerprint(i), at(0))
	}
	if kept := len(h.recent) + len(h.older); kept > maxHistory {
		t.Errorf("%d fingerprints kept, want at most %d", kept, maxHistory)
	}
	if _, ok := h.Last(at(1), Fingerprint(3*maxHistory-1)); !ok {
		t.Error("the newest fingerprint was forgotten")
	}
	if _, ok := h.Last(at(1+historyRetention.Seconds()), Fingerprint(3*maxHistory-1)); ok {
		t.Error("an old start still counts")
	}
}
