// Package process holds tests that drive the two binaries as processes beside
// the stand-ins.
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

// patience bounds the wait for something that must happen.
const patience = 60 * time.Second

var colourMatch = engine.Target{Model: "colour-match", Version: "1"}

func TestMain(m *testing.M) {
	code := m.Run()
	site.CleanShared()
	os.Exit(code)
}

// start runs a site until the test ends and prints the logs if it failed.
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

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// deadline is the header of a request's deadline.
func deadline(d time.Duration) site.Header {
	return site.Header{Name: "X-Deadline-Ms", Value: fmt.Sprint(d.Milliseconds())}
}

// mustChat sends a request and checks its answer.
func mustChat(t *testing.T, s *site.Site, entry *site.Host, question string, stream bool) site.Result {
	t.Helper()
	result, err := s.Caller(entry, site.KeyPrepress).Chat(within(t), colourMatch.Model, question, stream)
	if err != nil {
		t.Fatalf("%q at %s: %v", question, entry.ID, err)
	}
	if err := site.CheckChat(result, colourMatch, question, stream); err != nil {
		t.Fatalf("%q at %s: %v", question, entry.ID, err)
	}
	return result
}

// eventualChat repeats a request until it is answered.
func eventualChat(t *testing.T, s *site.Site, entry *site.Host, question string) {
	t.Helper()
	ctx := within(t)
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

// book calls the plain service.
func book(ctx context.Context, s *site.Site, entry *site.Host, key string) (site.Result, error) {
	header := site.Header{Name: "Idempotency-Key", Value: key}
	body := []byte(`{"drums":2}`)
	return s.Caller(entry, site.KeyPrepress).Do(ctx, http.MethodPost, "/services/orders/book", body, header, deadline(10*time.Second))
}

// loads counts the loads of a target over all engines, and checks that no engine
// saw a violation.
func loads(t *testing.T, s *site.Site, target engine.Target) int {
	t.Helper()
	count := 0
	for _, runner := range s.Runners {
		journal, err := s.Journal(within(t), runner)
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
