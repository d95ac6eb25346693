package process

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/site"
)

// TestSingleRunnerMemoryIsNotOvercommitted requests three models that don't fit into
// the only runner together, from both entries concurrently. Every request gets a
// complete response or is refused, and the engine is never overcommitted.
func TestSingleRunnerMemoryIsNotOvercommitted(t *testing.T) {
	s := start(t, func(o *site.Options) { o.Runners = 1 })
	targets := []engine.Target{colourMatch, {Model: "batch-report", Version: "1"}, {Model: "batch-report", Version: "2"}}
	var wait sync.WaitGroup
	for i := range 18 {
		wait.Go(func() {
			target := targets[i%len(targets)]
			question := fmt.Sprintf("question %d", i)
			model := target.Model + "@" + target.Version
			result, err := s.Caller(s.Entries[i%len(s.Entries)], site.KeyPrepress).
				Chat(testContext(t), model, question, false, deadline(10*time.Second))
			if err != nil {
				t.Errorf("%q got no response: %v", question, err)
				return
			}
			if result.Status != http.StatusOK && result.Outcome != "not-run" {
				t.Errorf("%q: %s", question, result)
			}
		})
	}
	wait.Wait()
	for i, target := range targets {
		must(t, site.Eventually(testContext(t), func() error { return sendToModel(t, s, target, fmt.Sprintf("later %d", i)) }))
	}
	for _, target := range targets {
		if countLoads(t, s, target) == 0 {
			t.Errorf("%v was never loaded", target)
		}
	}
}

// sendToModel sends a request for a target to the first entry. It returns an error
// unless the request succeeds.
func sendToModel(t *testing.T, s *site.Site, target engine.Target, question string) error {
	model := target.Model + "@" + target.Version
	result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(t.Context(), model, question, false, deadline(10*time.Second))
	if err == nil && result.Status != http.StatusOK {
		err = fmt.Errorf("%v: %s", target, result)
	}
	return err
}
