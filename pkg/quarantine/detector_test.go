package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench drives a detector; times are seconds from the start.
type bench struct {
	t        *testing.T
	detector Detector
	changes  []BlockChange
	servers  int
}

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// crash reports a crash of another server with suspects whose responses had begun.
func (b *bench) crash(seconds float64, suspects ...[]Fingerprint) {
	b.report(seconds, true, suspects...)
}

func (b *bench) report(seconds float64, begun bool, suspects ...[]Fingerprint) {
	b.servers++
	crash := Crash{Server: backpressure.Incarnation{ID: fmt.Sprint(b.servers)}, At: at(seconds)}
	for _, fingerprints := range suspects {
		crash.Suspects = append(crash.Suspects, Suspect{Fingerprints: fingerprints, Begun: begun})
	}
	b.changes = append(b.changes, b.detector.RecordCrash(at(seconds), crash)...)
}

func (b *bench) start(seconds float64, fingerprints ...Fingerprint) {
	var starts []Start
	for _, fingerprint := range fingerprints {
		starts = append(starts, Start{Fingerprint: fingerprint, At: at(seconds)})
	}
	b.changes = append(b.changes, b.detector.RecordStarts(at(seconds), starts)...)
}

// want checks the blocks in force at a time.
func (b *bench) want(seconds float64, signatures ...Signature) {
	b.t.Helper()
	b.changes = append(b.changes, b.detector.Update(at(seconds))...)
	var got []Signature
	if state := b.detector.State(); state != nil {
		got = state.Blocks
	}
	if !slices.EqualFunc(got, signatures, func(a, b Signature) bool { return slices.Equal(a, b) }) {
		b.t.Errorf("at %g s: blocks %v, want %v (changes: %+v)", seconds, got, signatures, b.changes)
	}
}

// The fingerprints of the tests: a part that crashes servers, and sound ones.
const (
	deadly Fingerprint = iota + 1
	first
	subject
	otherSubject
	otherFirst
)

func TestPartInThreeCrashesIsBlocked(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.want(float64(i) - 0.1)
		b.crash(float64(i), []Fingerprint{first, subject + Fingerprint(10*i), deadly}, []Fingerprint{first, otherSubject + Fingerprint(10*i)})
		b.start(float64(i)+0.5, first)
	}
	b.want(2.6, Signature{deadly})
}

func TestPartNeedsMoreCrashesIfNoResponseHadBegun(t *testing.T) {
	b := &bench{t: t}
	for i := range minCrashes - 1 {
		b.report(float64(i), false, []Fingerprint{deadly})
	}
	b.want(5.5)
	b.report(6, false, []Fingerprint{deadly})
	b.want(6, Signature{deadly})
}

func TestStartClearsSuspect(t *testing.T) {
	b := &bench{t: t}
	for i := range 10 {
		b.crash(float64(i), []Fingerprint{first})
		if i%2 == 1 {
			b.start(float64(i)+0.5, first)
		}
	}
	b.want(11)
}

func TestServersThatCrashTogetherBlockNobody(t *testing.T) {
	b := &bench{t: t}
	for i := range 12 {
		b.crash(0.01*float64(i), []Fingerprint{first, subject}, []Fingerprint{otherFirst, otherSubject})
	}
	b.want(30)
}

func TestCrashesExplainedByDifferentRequestsBlockNobody(t *testing.T) {
	b := &bench{t: t}
	for i := range 12 {
		b.crash(float64(i), []Fingerprint{first}, []Fingerprint{otherFirst})
	}
	b.want(13)
}

func TestPartsThatCantBeToldApartAreBlockedTogether(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.crash(float64(i), []Fingerprint{first, subject, deadly})
		b.start(float64(i)+0.5, first)
	}
	b.want(2.6, Signature{deadly, subject})
	b.start(5, first, subject)
	b.want(5, Signature{deadly})
	if last := b.changes[len(b.changes)-1]; last.Change != Narrowed || last.Crashes != 3 {
		t.Errorf("last change %+v, want a narrowed block with its evidence", last)
	}
}

// The subject comes alone in one of three crashes, by chance or as the cause.
func TestPartThatAccompaniesAnotherNeedsMoreCrashes(t *testing.T) {
	b := &bench{t: t}
	b.crash(0, []Fingerprint{subject, deadly})
	b.crash(1, []Fingerprint{subject})
	b.crash(2, []Fingerprint{subject, deadly})
	b.want(3)
	b.crash(4, []Fingerprint{subject, deadly})
	b.want(4, Signature{deadly, subject})
}

func TestPartIsBlockedAloneAfterAnotherPartCameWithItAtFirst(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.crash(float64(i), []Fingerprint{subject, deadly})
	}
	b.want(2, Signature{deadly, subject})
	b.crash(3, []Fingerprint{otherSubject, deadly})
	b.want(3.9, Signature{deadly, subject})
	b.crash(4, []Fingerprint{otherSubject, deadly})
	b.want(4, Signature{deadly})
}

func TestPartThatIsAccompaniedAtTimesIsBlocked(t *testing.T) {
	b := &bench{t: t}
	for i := range 5 {
		b.want(float64(i) - 0.1)
		suspect := []Fingerprint{deadly}
		if i < 2 {
			suspect = append(suspect, subject)
		}
		b.crash(float64(i), suspect)
	}
	b.want(4, Signature{deadly})
}

func TestPartThatWasSoundIsBlockedLater(t *testing.T) {
	b := &bench{t: t}
	b.start(0, deadly, first)
	for i := range minBegunCrashes + extraCrashes {
		b.want(1 + float64(i) - 0.1)
		b.crash(1+float64(i), []Fingerprint{first, deadly})
		b.start(1.5+float64(i), first)
	}
	b.want(6, Signature{deadly})
}

func TestStartLiftsBlock(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.crash(float64(i), []Fingerprint{subject})
	}
	b.want(2.1, Signature{subject})
	b.start(3, subject)
	b.want(3)
}

func TestStartBeforeCrashLiftsNothing(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.crash(float64(i), []Fingerprint{deadly})
	}
	b.changes = append(b.changes, b.detector.RecordStarts(at(3), []Start{{Fingerprint: deadly, At: at(-1)}})...)
	b.want(3, Signature{deadly})
}

func TestExpiredBlockIsRenewedByOneCrash(t *testing.T) {
	b := &bench{t: t}
	for i := range 3 {
		b.crash(float64(i), []Fingerprint{deadly})
	}
	expired := BlockTTL.Seconds() + 10
	b.want(expired)
	if last := b.changes[len(b.changes)-1]; last.Change != Expired {
		t.Errorf("last change %+v, want an expired block", last)
	}
	b.crash(expired+5, []Fingerprint{first, deadly})
	b.want(expired+5, Signature{deadly})
}

func TestCrashReportedBySeveralHostsCountsOnce(t *testing.T) {
	b := &bench{t: t}
	for i := range 20 {
		crash := Crash{
			Server: backpressure.Incarnation{ID: "s"}, At: at(0.01 * float64(i)),
			Suspects: []Suspect{{Fingerprints: []Fingerprint{subject}, Begun: true}},
		}
		b.changes = append(b.changes, b.detector.RecordCrash(at(float64(i)), crash)...)
	}
	b.want(20)
}

func TestEvidenceIsBounded(t *testing.T) {
	b := &bench{t: t}
	next := Fingerprint(100)
	for i := range 2 * maxIncidents {
		var suspects [][]Fingerprint
		for range 200 {
			var fingerprints []Fingerprint
			for range 64 {
				next++
				fingerprints = append(fingerprints, next)
			}
			suspects = append(suspects, fingerprints)
		}
		b.crash(float64(i), suspects...)
	}
	if len(b.detector.incidents) > maxIncidents {
		t.Errorf("%d incidents kept, want at most %d", len(b.detector.incidents), maxIncidents)
	}
	for _, i := range b.detector.incidents {
		if len(i.begun) > maxFingerprintsPerIncident {
			t.Errorf("%d fingerprints of an incident kept, want at most %d", len(i.begun), maxFingerprintsPerIncident)
		}
	}
	if watched := len(b.detector.State().Watched); watched > maxWatched {
		t.Errorf("%d fingerprints watched, want at most %d", watched, maxWatched)
	}
	b.want(float64(2 * maxIncidents))
}
