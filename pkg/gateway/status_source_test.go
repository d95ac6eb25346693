package gateway

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
)

// TestStatusReceivedAfterDecisionTimeIsFresh has a frame arrive after the point in
// time for which a decision is made.
func TestStatusReceivedAfterDecisionTimeIsFresh(t *testing.T) {
	source := &statusSource{}
	state := &agentState{AgentRecord: &directory.AgentRecord{Connected: true}, source: source}
	if state.isFresh(testStart) {
		t.Error("fresh before the first frame")
	}
	source.markReceived(testStart.Add(time.Second))
	if !state.isFresh(testStart) {
		t.Error("not fresh, though received after the decision time")
	}
	if state.isFresh(testStart.Add(time.Second + statusTTL)) {
		t.Error("fresh after the TTL")
	}
}
