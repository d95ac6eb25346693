package quarantine

import (
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// crashBy returns a report of the crash of a server by a request that had just begun.
func crashBy(report uint64, server string, seconds float64, fingerprints ...Fingerprint) Crash {
	return Crash{
		Report: report, Server: backpressure.Incarnation{ID: server}, At: at(seconds),
		Suspects: []Suspect{{Fingerprints: fingerprints, Begun: true}},
	}
}

func TestDetectorThatBeginsAnewBlocksOnHandedOverEvidence(t *testing.T) {
	b := &bench{t: t}
	b.changes = b.detector.HandOver(at(5), Handover{Crashes: []Crash{crashBy(1, "a", 1, deadly, first), crashBy(2, "b", 2, deadly, subject)}})
	b.detector.HandOver(at(5.1), Handover{Crashes: []Crash{crashBy(3, "c", 3, deadly, otherFirst)}})
	b.want(5.3)
	b.want(5.5, Signature{deadly})
}

func TestStartInAnotherHandoverKeepsPartFromBeingBlocked(t *testing.T) {
	b := &bench{t: t}
	crashes := []Crash{crashBy(1, "a", 1, subject), crashBy(2, "b", 2, subject), crashBy(3, "c", 3, subject)}
	b.detector.HandOver(at(5), Handover{Crashes: crashes})
	b.detector.HandOver(at(5.3), Handover{Starts: []Start{{subject, at(4)}}})
	b.want(5.5)
	b.want(7)
}

func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	b := &bench{t: t}
	crashes := []Crash{crashBy(1, "a", 1, deadly), crashBy(2, "b", 2, deadly)}
	for i := range 5 {
		b.detector.HandOver(at(3+float64(i)), Handover{Crashes: crashes})
	}
	b.want(9)
	if suspects := len(b.detector.incidents[0].suspects); suspects != 1 {
		t.Errorf("%d suspects of the first crash, want 1", suspects)
	}
	b.detector.RecordCrash(at(10), crashBy(3, "c", 10, deadly))
	b.want(10.1, Signature{deadly})
}

func TestAdoptedBlockEndsWithItsTimeAndByStart(t *testing.T) {
	block := Block{Signature{deadly}, KeptBlock{MadeAt: at(0), LastCrash: at(-1), CrashReport: 7}}
	b := &bench{t: t}
	b.detector.HandOver(at(100), Handover{Blocks: []Block{block}})
	b.want(100, Signature{deadly})
	b.want(BlockTTL.Seconds()-1, Signature{deadly})
	b.want(BlockTTL.Seconds() + 1)
	b = &bench{t: t}
	b.detector.HandOver(at(100), Handover{Blocks: []Block{block}})
	b.start(101, deadly)
	b.want(101)
	b.detector.HandOver(at(102), Handover{Blocks: []Block{block}})
	b.want(102)
	if !slices.Equal(b.detector.State().Ended[0].Signature, block.Signature) {
		t.Error("hosts aren't told that the block has ended")
	}
}

func TestStartBeatsOlderBlockThatArrivesLater(t *testing.T) {
	b := &bench{t: t}
	b.detector.HandOver(at(5), Handover{Starts: []Start{{subject, at(4)}}})
	old := KeptBlock{MadeAt: at(3), LastCrash: at(2), CrashReport: 1}
	b.detector.HandOver(at(6), Handover{Blocks: []Block{{Signature{subject}, old}, {Signature{deadly, subject}, old}}})
	b.want(6, Signature{deadly})
}

func TestLostDetectorsBlockStaysUntilItsTimeIsOver(t *testing.T) {
	l := &List{}
	kept := []KeptBlock{{Service: "s", MadeAt: at(-100), LastCrash: at(-101), CrashReport: 1}}
	l.Update(at(0), map[string]*State{"a": {Instance: 1, Blocks: []Signature{{deadly}}, Kept: kept}})
	// The detector's next process has no evidence.
	l.Update(at(1), map[string]*State{"a": {Instance: 2}, "b": {Instance: 9}})
	if !blocked(l, 1, deadly) {
		t.Error("the block ended with the process of its detector")
	}
	if handedOver := l.Kept("s"); len(handedOver) != 1 || !handedOver[0].MadeAt.Equal(at(-100)) {
		t.Errorf("blocks for the next process: %+v", handedOver)
	}
	l.Update(at(BlockTTL.Seconds()-100), map[string]*State{"a": {Instance: 2}})
	if blocked(l, BlockTTL.Seconds()-100, deadly) {
		t.Error("the block lasts longer than it would have at its detector")
	}
}

func TestBlockEndsOnceDetectorThatAdoptedItEndsIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		after *State
	}{
		{"seen listed", &State{Instance: 2}},
		{"ended", &State{Instance: 3, Ended: []EndedBlock{{Signature{deadly}, at(1.5)}}}},
	} {
		l := &List{}
		l.Update(at(0), map[string]*State{"a": {Instance: 1, Blocks: []Signature{{deadly}}}})
		l.Update(at(1), map[string]*State{"a": {Instance: 2, Blocks: []Signature{{deadly}}}})
		l.Update(at(2), map[string]*State{"a": c.after})
		if blocked(l, 2, deadly) {
			t.Errorf("%s: the block is still in force", c.name)
		}
	}
}

func TestBlockDoesNotGetYoungerByBeingHandedOn(t *testing.T) {
	l := &List{}
	publish := func(seconds, madeAt float64) {
		kept := []KeptBlock{{Service: "s", MadeAt: at(madeAt), LastCrash: at(madeAt), CrashReport: 1}}
		l.Update(at(seconds), map[string]*State{"a": {Instance: uint64(seconds), Blocks: []Signature{{deadly}}, Kept: kept}})
	}
	publish(1, 0)
	publish(2, 1)
	if kept := l.Kept("s"); !kept[0].MadeAt.Equal(at(0)) {
		t.Errorf("made at %s, want %s", kept[0].MadeAt, at(0))
	}
}

func TestMemoryIsBoundedAndGivesEachCrashOnce(t *testing.T) {
	var m Memory
	for i := range 3 * maxCrashesKept {
		m.RecordCrash(at(float64(i)), "s", crashBy(uint64(i+1), "a", float64(i), deadly))
		m.RecordStarts("s", startsOfMany(10*i, 10, float64(i)))
	}
	now := at(3 * maxCrashesKept)
	all, last := m.Since(now, "s", 0)
	if len(all) != maxCrashesKept || last != 3*maxCrashesKept {
		t.Errorf("%d crashes up to %d", len(all), last)
	}
	if later, _ := m.Since(now, "s", last); len(later) != 0 {
		t.Errorf("%d crashes after the last one", len(later))
	}
	if starts := m.Starts(now, "s"); len(starts) != maxStartsKept {
		t.Errorf("%d starts, want %d", len(starts), maxStartsKept)
	}
	m.RecordCrash(now.Add(2*incidentRetention), "t", crashBy(1000, "b", 0, deadly))
	if m.services["s"] != nil {
		t.Error("old evidence is kept")
	}
}

func startsOfMany(from, count int, seconds float64) []Start {
	starts := make([]Start, count)
	for i := range starts {
		starts[i] = Start{Fingerprint(from + i + 1), at(seconds).Add(time.Duration(i))}
	}
	return starts
}

func TestForeignCrashIsGivenOnlyToDetectorThatBeginsAnew(t *testing.T) {
	var m Memory
	m.RecordCrash(at(0), "s", crashBy(1, "a", 0, deadly))
	m.RecordForeignCrash(at(1), "s", crashBy(2, "b", 1, deadly))
	if crashes, last := m.Since(at(2), "s", 1); len(crashes) != 0 || last != 1 {
		t.Errorf("%d crashes up to %d for a detector that has the first one, want none", len(crashes), last)
	}
	if crashes, last := m.Since(at(2), "s", 0); len(crashes) != 2 || last != 2 {
		t.Errorf("%d crashes up to %d for a detector without evidence, want 2", len(crashes), last)
	}
}

func TestBlockLearnedFromAnotherHostEndsAsIfSeenFromTheStart(t *testing.T) {
	kept := KeptBlock{Service: "s", MadeAt: at(0), LastCrash: at(-1), CrashReport: 1}
	learned := []Block{{Signature{deadly}, kept}, {Signature{subject}, KeptBlock{Service: "s", MadeAt: at(-BlockTTL.Seconds())}}}
	for _, c := range []struct {
		name    string
		seconds float64
		state   *State
		want    bool
	}{
		{"detector without evidence", 100, &State{Instance: 1}, true},
		{"ended by a start", 100, &State{Instance: 1, Ended: []EndedBlock{{Signature{deadly}, at(50)}}}, false},
		{"time over", BlockTTL.Seconds(), &State{Instance: 1}, false},
	} {
		l := &List{}
		l.Learn(at(10), learned)
		if blocked(l, 10, subject) {
			t.Errorf("%s: a block whose time is over was learned", c.name)
		}
		l.Update(at(c.seconds), map[string]*State{"a": c.state})
		if blocked(l, c.seconds, deadly) != c.want {
			t.Errorf("%s: blocked %t, want %t", c.name, !c.want, c.want)
		}
	}
}

func TestRepeatedHandoversDoNotPutOffBlocking(t *testing.T) {
	b := &bench{t: t}
	crashes := []Crash{crashBy(1, "a", 1, deadly, first), crashBy(2, "b", 2, deadly, subject), crashBy(3, "c", 3, deadly, otherFirst)}
	for i := range 10 {
		b.detector.HandOver(at(5+0.3*float64(i)), Handover{Crashes: crashes})
	}
	b.want(7.8, Signature{deadly})
}

// A detector that was frozen when the block was lifted publishes it still.
func TestLiftedBlockDoesNotComeBackWithFrozenDetector(t *testing.T) {
	frozen := &State{Instance: 1, Blocks: []Signature{{deadly}}, Kept: []KeptBlock{{Service: "s", MadeAt: at(1), LastCrash: at(0), CrashReport: 1}}}
	l := &List{}
	l.Update(at(1), map[string]*State{"a": frozen, "b": {Instance: 2}})
	l.Update(at(5), map[string]*State{"b": {Instance: 2, Ended: []EndedBlock{{Signature{deadly}, at(4)}}}})
	l.Update(at(6), map[string]*State{"a": frozen})
	if blocked(l, 6, deadly) {
		t.Error("the lifted block came back")
	}
	again := &State{Instance: 2, Blocks: []Signature{{deadly}}, Kept: []KeptBlock{{Service: "s", MadeAt: at(8), LastCrash: at(7), CrashReport: 2}}}
	l.Update(at(8), map[string]*State{"b": again})
	if !blocked(l, 8, deadly) {
		t.Error("crashes after the start don't block again")
	}
}

func TestEarlierLastCrashOfKnownBlockIsComparedWithKnownStarts(t *testing.T) {
	b := &bench{t: t}
	late := Block{Signature{deadly}, KeptBlock{MadeAt: at(12), LastCrash: at(12), CrashReport: 1}}
	b.detector.HandOver(at(13), Handover{Starts: []Start{{deadly, at(5)}}, Blocks: []Block{late}})
	b.want(13, Signature{deadly})
	exact := Block{Signature{deadly}, KeptBlock{MadeAt: at(3), LastCrash: at(2), CrashReport: 1}}
	b.detector.HandOver(at(14), Handover{Blocks: []Block{exact}})
	b.want(14)
}
