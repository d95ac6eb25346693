package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/plainservice"
)

// TestNotRunOutcomeIsAccurate makes the plain service lose responses and refuse
// calls. A call without an idempotency key gets the outcome "not-run" only if it
// didn't run, and none runs twice.
func TestNotRunOutcomeIsAccurate(t *testing.T) {
	s := start(t, nil)
	faults := []plainservice.Faults{{DropNextResponse: 1}, {RefuseNext: 1}, {DropNextResponse: 2}, {}}
	for i, fault := range faults {
		must(t, s.SetServiceFaults(testContext(t), s.Services[0], fault))
		before, err := s.Runs(testContext(t))
		must(t, err)
		result, err := s.Caller(s.Entries[i%len(s.Entries)], site.KeyPrepress).
			Do(testContext(t), http.MethodPost, "/services/orders/book", []byte(fmt.Sprintf(`{"drums":%d}`, i)), deadline(5*time.Second))
		must(t, err)
		after, err := s.Runs(testContext(t))
		must(t, err)
		runs := after.Total - before.Total
		if runs > 1 || (result.Outcome == "not-run" && runs > 0) || (result.Outcome == "ran" && runs != 1) {
			t.Errorf("%+v: %d runs, %s", fault, runs, result)
		}
	}
}
