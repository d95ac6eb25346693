package process

import (
	"fmt"
	"sync"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
)

// TestColdBurstLoadsOnce sends a burst for a cold model to all entries at once
// while the key-value service is away. The entries don't talk to each other, and
// yet the model is loaded once, also if it may have two replicas.
func TestColdBurstLoadsOnce(t *testing.T) {
	s := start(t, func(options *site.Options) { options.Entries = 3 })
	if err := s.SetKeyValueFaults(within(t), keyvalue.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	for _, target := range []engine.Target{colourMatch, {Model: "batch-report", Version: "2"}} {
		coldBurst(t, s, target)
	}
}

func coldBurst(t *testing.T, s *site.Site, target engine.Target) {
	t.Helper()
	const perEntry = 8
	var wait sync.WaitGroup
	for _, entry := range s.Entries {
		for i := range perEntry {
			wait.Go(func() {
				question := fmt.Sprintf("%s question %d", entry.ID, i)
				result, err := s.Caller(entry, site.KeyPrepress).Chat(within(t), target.Model, question, i%2 == 0)
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
	if count := loads(t, s, target); count != 1 {
		t.Errorf("%d loads of %v, want 1", count, target)
	}
}
