package gateway

import (
	"reflect"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// Guards against a relay that starts during an outage of the store and has the other
// entries drop all servers.
func TestRelayThatHasNotReadTheStoreReportsNothingAsMissing(t *testing.T) {
	c := newControl(discardLogger())
	c.setRelaying(testStart, true)
	now := testStart.Add(2 * relayWarmup)
	if c.hasCompleteView(now) {
		t.Error("an empty view that was never read counts as complete")
	}
	c.freshness.confirm(now, metrics.ViewRegistrations, 1)
	if !c.hasCompleteView(now.Add(time.Millisecond)) {
		t.Error("the view isn't complete after the warm-up")
	}
}

// Guards against entries behind a relay that know no version of a server's software.
func TestRelayedServerKeepsItsSoftwareVersion(t *testing.T) {
	before := fleet.Backend{
		ID: "i-1", Service: testService, Address: "10.0.0.1:80", FailureDomain: "a", Software: "v2", Slots: 4,
		State: fleet.BackendDraining, WarmupRemaining: time.Second, StartedAtMillis: 7, Sequence: 9,
	}
	update := serverUpdate(&before)
	if after := backendOf(&update); !reflect.DeepEqual(after, before) {
		t.Errorf("relayed server %+v, want %+v", after, before)
	}
}
