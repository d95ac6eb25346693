// Package process tests the entry and agent programs as separate processes, against
// stand-ins for the systems around them.
package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 60 * time.Second

var colourMatch = engine.Target{Model: "colour-match", Version: "1"}

func TestMain(m *testing.M) {
	code := m.Run()
	site.CleanShared()
	os.Exit(code)
}

// start runs a site until the test ends and logs its output if the test failed.
func start(t *testing.T, change func(*site.Options)) *site.Site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	options := site.DefaultOptions()
	options.WeightStoreFlags = []string{"--base-load", "200ms"}
	if change != nil {
		change(&options)
	}
	s, err := site.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() || os.Getenv("SITE_LOGS") != "" {
			t.Log(s.Logs())
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// testContext returns a context that ends after waitTimeout or with the test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// deadline returns the header that sets a request's deadline.
func deadline(d time.Duration) site.Header {
	return site.Header{Name: "X-Deadline-Ms", Value: fmt.Sprint(d.Milliseconds())}
}

// mustChat sends a chat request and checks that the response is complete and
// belongs to this request.
func mustChat(t *testing.T, s *site.Site, entry *site.Host, question string, stream bool) site.Result {
	t.Helper()
	result, err := s.Caller(entry, site.KeyPrepress).Chat(testContext(t), colourMatch.Model, question, stream)
	if err != nil {
		t.Fatalf("%q at %s: %v", question, entry.ID, err)
	}
	if err := site.CheckChat(result, colourMatch, question, stream); err != nil {
		t.Fatalf("%q at %s: %v", question, entry.ID, err)
	}
	return result
}

// eventuallyChat retries a chat request until it succeeds.
func eventuallyChat(t *testing.T, s *site.Site, entry *site.Host, question string) {
	t.Helper()
	ctx := testContext(t)
	err := site.Eventually(ctx, func() error {
		result, err := s.Caller(entry, site.KeyPrepress).Chat(ctx, colourMatch.Model, question, false, deadline(10*time.Second))
		if err != nil {
			return err
		}
		return site.CheckChat(result, colourMatch, question, false)
	})
	if err != nil {
		t.Fatalf("%q at %s: %v", question, entry.ID, err)
	}
}

// book sends a booking with an idempotency key to the plain service.
func book(ctx context.Context, s *site.Site, entry *site.Host, key string) (site.Result, error) {
	header := site.Header{Name: "Idempotency-Key", Value: key}
	body := []byte(`{"drums":2}`)
	return s.Caller(entry, site.KeyPrepress).Do(ctx, http.MethodPost, "/services/orders/book", body, header, deadline(10*time.Second))
}

// countLoads returns the number of loads of a target that all engines received. It
// fails the test if an engine recorded a violation other than a run of a model that
// wasn't loaded.
func countLoads(t *testing.T, s *site.Site, target engine.Target) int {
	t.Helper()
	count := 0
	for _, runner := range s.Runners {
		journal, err := s.Journal(testContext(t), runner)
		if err != nil {
			t.Fatal(err)
		}
		violations := journal.Violations
		violations.RunsNotLoaded = 0
		if violations != (modelengine.Violations{}) {
			t.Errorf("%s: violations %+v", runner.ID, violations)
		}
		for _, entry := range journal.Entries {
			if entry.Event == modelengine.EventLoadOrdered && entry.Target == target {
				count++
			}
		}
	}
	return count
}
