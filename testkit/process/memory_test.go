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

// TestMemoryOfOneRunner asks the one runner for three models that don't fit
// together, at both entries at once. Every request is answered, whole or with a
// refusal, and the engine is never overcommitted.
func TestMemoryOfOneRunner(t *testing.T) {
	s := start(t, func(o *site.Options) { o.Runners = 1 })
	targets := []engine.Target{colourMatch, {Model: "batch-report", Version: "1"}, {Model: "batch-report", Version: "2"}}
	var wait sync.WaitGroup
	for i := range 18 {
		wait.Go(func() {
			target := targets[i%len(targets)]
			question := fmt.Sprintf("question %d", i)
			model := target.Model + "@" + target.Version
			result, err := s.Caller(s.Entries[i%len(s.Entries)], site.KeyPrepress).
				Chat(within(t), model, question, false, deadline(10*time.Second))
			if err != nil {
				t.Errorf("%q got no answer: %v", question, err)
				return
			}
			if result.Status != http.StatusOK && result.Outcome != "not-run" {
				t.Errorf("%q: %s", question, result)
			}
		})
	}
	wait.Wait()
	for i, target := range targets {
		must(t, site.Eventually(within(t), func() error { return askFor(t, s, target, fmt.Sprintf("later %d", i)) }))
	}
	for _, target := range targets {
		if loads(t, s, target) == 0 {
			t.Errorf("%v was never loaded", target)
		}
	}
}

// askFor sends a request for a target to the first entry and demands an answer.
func askFor(t *testing.T, s *site.Site, target engine.Target, question string) error {
	model := target.Model + "@" + target.Version
	result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(t.Context(), model, question, false, deadline(10*time.Second))
	if err == nil && result.Status != http.StatusOK {
		err = fmt.Errorf("%v: %s", target, result)
	}
	return err
}
