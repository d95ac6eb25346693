package residency

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// modelStatus returns the status of a model, or nil if it is omitted.
func (f *fixture) modelStatus(model string) *wire.RunnerModel {
	for _, modelStatus := range f.manager.Status(f.now).Models {
		if modelStatus.Name == model {
			return &modelStatus
		}
	}
	return nil
}

// TestStatusReportsWaitForPermittedModel compares a model with weights on disk to
// one that only the weight store has. If the latter were omitted from the status,
// entries would assume that it is loaded fastest.
func TestStatusReportsWaitForPermittedModel(t *testing.T) {
	f := newFixture(t, "near", "remote")
	f.report.OnDisk = []string{"near"}
	f.sendReport()
	onDisk, remote := f.modelStatus("near"), f.modelStatus("remote")
	if onDisk == nil || remote == nil {
		t.Fatalf("omitted from the status: on disk %v, remote %v", onDisk, remote)
	}
	if onDisk.WaitMillis == 0 || remote.WaitMillis <= onDisk.WaitMillis+4000 {
		t.Errorf("waits %d ms from disk and %d ms from the weight store", onDisk.WaitMillis, remote.WaitMillis)
	}
}

// TestReportedWaitGrowsWhileMemoryIsUnavailable has a model wait for memory that
// models in use occupy.
func TestReportedWaitGrowsWhileMemoryIsUnavailable(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.reportLoaded("a", "b")
	f.report.OnDisk = []string{"c"}
	f.sendReport()
	f.acquire("1", "a", "")
	f.acquire("2", "b", "")
	f.acquireBatch("3", "c")
	before := f.modelStatus("c").WaitMillis
	f.advance(6 * time.Second)
	after := f.modelStatus("c").WaitMillis
	if after < before+3000 {
		t.Errorf("after 6 s without free memory the wait is %d ms, before %d ms", after, before)
	}
	f.do(f.manager.Release(f.now, "3"))
	if again := f.modelStatus("c").WaitMillis; again > before {
		t.Errorf("without waiting requests the wait is %d ms, before %d ms", again, before)
	}
}
