package residency

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// described returns what the status says of a model; nil if it is left out.
func (f *fixture) described(model string) *wire.RunnerModel {
	for _, described := range f.manager.Status(f.now).Models {
		if described.Name == model {
			return &described
		}
	}
	return nil
}

// TestStatusTellsTheWaitForAPermittedModel compares a model with its weights on
// disk with one that only the weight store has. An entry that doesn't hear of the
// latter would take it for the one that is loaded first.
func TestStatusTellsTheWaitForAPermittedModel(t *testing.T) {
	f := newFixture(t, "near", "remote")
	f.report.OnDisk = []string{"near"}
	f.send()
	near, remote := f.described("near"), f.described("remote")
	if near == nil || remote == nil {
		t.Fatalf("left out: near %v, remote %v", near, remote)
	}
	if near.WaitMillis == 0 || remote.WaitMillis <= near.WaitMillis+4000 {
		t.Errorf("waits %d ms from disk and %d ms from the weight store", near.WaitMillis, remote.WaitMillis)
	}
}

// TestWaitGrowsWhileAModelIsWantedInVain has a model wait for room that models in
// use take.
func TestWaitGrowsWhileAModelIsWantedInVain(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.hold("a", "b")
	f.report.OnDisk = []string{"c"}
	f.send()
	f.acquire("1", "a", "")
	f.acquire("2", "b", "")
	f.acquirePatient("3", "c")
	before := f.described("c").WaitMillis
	f.pass(6 * time.Second)
	after := f.described("c").WaitMillis
	if after < before+3000 {
		t.Errorf("after 6 s in vain the wait is still %d ms, before %d ms", after, before)
	}
	f.do(f.manager.Release(f.now, "3"))
	if again := f.described("c").WaitMillis; again > before {
		t.Errorf("without anybody who waits it is %d ms, before %d ms", again, before)
	}
}
