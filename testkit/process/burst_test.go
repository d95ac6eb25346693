package process

import (
	"fmt"
	"sync"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
)

// TestColdBurstLoadsOnce sends a burst of requests for a cold model to all entries
// concurrently while the key-value service is unavailable. The entries don't
// communicate with each other, yet the model is loaded once, even if it may have two
// replicas.
func TestColdBurstLoadsOnce(t *testing.T) {
	s := start(t, func(options *site.Options) { options.Entries = 3 })
	if err := s.SetKeyValueFaults(testContext(t), keyvalue.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	for _, target := range []engine.Target{colourMatch, {Model: "batch-report", Version: "2"}} {
		checkColdBurst(t, s, target)
	}
}

func checkColdBurst(t *testing.T, s *site.Site, target engine.Target) {
	t.Helper()
	const perEntry = 8
	var wait sync.WaitGroup
	for _, entry := range s.Entries {
		for i := range perEntry {
			wait.Go(func() {
				question := fmt.Sprintf("%s question %d", entry.ID, i)
				result, err := s.Caller(entry, site.KeyPrepress).Chat(testContext(t), target.Model, question, i%2 == 0)
				if err != nil {
					t.Errorf("%q: %v", question, err)
					return
				}
				if err := site.CheckChat(result, target, question, i%2 == 0); err != nil {
					t.Errorf("%q: %v", question, err)
				}
			})
		}
	}
	wait.Wait()
	if count := countLoads(t, s, target); count != 1 {
		t.Errorf("%d loads of %v, want 1", count, target)
	}
}
