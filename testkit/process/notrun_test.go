package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/plainservice"
)

// TestNotRunIsTrue loses answers of the plain service and has it refuse calls.
// A call without an idempotency key is told "not run" only if it didn't run, and
// none runs twice.
func TestNotRunIsTrue(t *testing.T) {
	s := start(t, nil)
	faults := []plainservice.Faults{{DropAnswerNext: 1}, {RefuseNext: 1}, {DropAnswerNext: 2}, {}}
	for i, fault := range faults {
		must(t, s.SetServiceFaults(within(t), s.Services[0], fault))
		before, err := s.Runs(within(t))
		must(t, err)
		result, err := s.Caller(s.Entries[i%len(s.Entries)], site.KeyPrepress).
			Do(within(t), http.MethodPost, "/services/orders/book", []byte(fmt.Sprintf(`{"drums":%d}`, i)), deadline(5*time.Second))
		must(t, err)
		after, err := s.Runs(within(t))
		must(t, err)
		runs := after.Total - before.Total
		if runs > 1 || (result.Outcome == "not-run" && runs > 0) || (result.Outcome == "ran" && runs != 1) {
			t.Errorf("%+v: %d runs, %s", fault, runs, result)
		}
	}
}
