package gateway

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
)

// TestAgentHeardDuringADecisionIsHeard has a frame come after the time that a
// decision goes by.
func TestAgentHeardDuringADecisionIsHeard(t *testing.T) {
	from := &source{}
	state := &agentState{AgentRecord: &directory.AgentRecord{Connected: true}, from: from}
	if state.hears(testStart) {
		t.Error("heard before its first frame")
	}
	from.hear(testStart.Add(time.Second))
	if !state.hears(testStart) {
		t.Error("not heard, since it was heard after the decision began")
	}
	if state.hears(testStart.Add(time.Second + statusTTL)) {
		t.Error("heard long after its last frame")
	}
}
