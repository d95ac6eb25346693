package residency

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// newLimitedFixture returns a fixture with many slots and one loaded model, whose
// runner names a limit in the response to its first request.
func newLimitedFixture(t *testing.T, limit ratelimit.Limit) *fixture {
	t.Helper()
	f := newFixture(t)
	placement := testPlacement("a")
	placement.Revision = 2
	placement.Slots = 100
	f.do(f.manager.UpdatePlacement(f.now, placement))
	f.reportLoaded("a")
	f.acquire("first", "a", "")
	f.do(f.manager.LimitObserved(f.now, "first", limit))
	f.granted = nil
	return f
}

// Guards against leases that are granted by slots and prefill alone.
func TestLeasesAreGrantedAtRateOfRunnersLimit(t *testing.T) {
	f := newLimitedFixture(t, ratelimit.PerSecond(2))
	for i := range 12 {
		f.acquire(fmt.Sprint(i), "a", "")
	}
	if len(f.granted) != 0 {
		t.Fatalf("%v granted at once", f.granted)
	}
	f.advance(4 * time.Second)
	if got := len(f.granted); got < 7 || got > 10 {
		t.Errorf("%d leases granted in 4 s at 2 a second", got)
	}
	status := f.manager.Status(f.now)
	if !status.Limited || status.LimitPerSecond != 2 {
		t.Errorf("status reports the limit %t %g", status.Limited, status.LimitPerSecond)
	}
	if status.Load() < 1 {
		t.Errorf("load %.2f with more requests than the limit", status.Load())
	}
}

func TestLeaseBeyondRunnersLimitIsRefusedAtOnce(t *testing.T) {
	f := newLimitedFixture(t, ratelimit.PerSecond(0.5))
	for i := range 8 {
		f.acquire(fmt.Sprint(i), "a", "")
	}
	var last time.Duration
	for i := range 8 {
		refused, ok := f.refused[fmt.Sprint(i)]
		if i < 5 {
			if ok {
				t.Errorf("lease %d refused with %s, though its turn comes in time", i, refused.Reason)
			}
			continue
		}
		if refused.Reason != wire.ReasonRate || refused.RetryAfter <= last {
			t.Errorf("lease %d refused with %q, retry after %s, the one before after %s", i, refused.Reason, refused.RetryAfter, last)
		}
		last = refused.RetryAfter
	}
}

func TestLimitOfReportsAndOfResponsesEndSeparately(t *testing.T) {
	f := newLimitedFixture(t, ratelimit.PerSecond(2))
	f.report.Limit = ratelimit.PerSecond(1)
	f.sendReport()
	if got := f.manager.Limit(); got != ratelimit.PerSecond(1) {
		t.Errorf("limit %+v, want that of the report", got)
	}
	f.report.Limit = ratelimit.Limit{}
	f.sendReport()
	if got := f.manager.Limit(); got != ratelimit.PerSecond(2) {
		t.Errorf("limit %+v, want that of the response", got)
	}
	f.acquire("next", "a", "")
	f.advance(time.Second)
	f.do(f.manager.LimitObserved(f.now, "next", ratelimit.Limit{}))
	if got := f.manager.Limit(); got.Named {
		t.Errorf("limit %+v after its end", got)
	}
}

func TestUnreadableLimitInReportChangesNothing(t *testing.T) {
	f := newFixture(t, "a")
	f.report.Limit = ratelimit.PerSecond(2)
	f.sendReport()
	f.report.Limit, f.report.InvalidLimit = ratelimit.Limit{}, "soon"
	f.sendReport()
	if got := f.manager.Limit(); got != ratelimit.PerSecond(2) {
		t.Errorf("limit %+v", got)
	}
}

func TestRestartedRunnerHasNoLimit(t *testing.T) {
	f := newLimitedFixture(t, ratelimit.PerSecond(2))
	f.report.StartedAtMillis++
	f.sendReport()
	if got := f.manager.Limit(); got.Named {
		t.Errorf("limit %+v of the earlier incarnation", got)
	}
}

func TestEachRouteHasItsShareOfRunnersLimit(t *testing.T) {
	f := newLimitedFixture(t, ratelimit.PerSecond(1))
	for i := range 9 {
		f.acquire(fmt.Sprint(i), "a", "")
	}
	if got := f.manager.leasesAhead("chat"); got != 9 {
		t.Errorf("%d leases ahead in the same route, want 9", got)
	}
	if got := f.manager.leasesAhead("batch"); got != 1 {
		t.Errorf("%d leases ahead of another route's first, want 1", got)
	}
}
