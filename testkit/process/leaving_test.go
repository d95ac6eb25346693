package process

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// maxLeavingDelay is the time within which a leaving backend server stops receiving
// new requests.
const maxLeavingDelay = 3 * time.Second

// countRuns returns the number of requests that a runner's engine has started.
func countRuns(t *testing.T, s *site.Site, runner *site.Host) int {
	t.Helper()
	journal, err := s.Journal(testContext(t), runner)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, entry := range journal.Entries {
		if entry.Event == modelengine.EventRunStarted {
			count++
		}
	}
	return count
}

// runnerWithRuns returns the runner whose engine has run requests.
func runnerWithRuns(t *testing.T, s *site.Site) *site.Host {
	t.Helper()
	for _, runner := range s.Runners {
		if countRuns(t, s, runner) > 0 {
			return runner
		}
	}
	t.Fatal("no runner has run a request")
	return nil
}

// TestLeavingHostGetsNoNewRequests only marks the runner of a model as leaving in the
// host list.
func TestLeavingHostGetsNoNewRequests(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	leaving := runnerWithRuns(t, s)
	if err := s.List(testContext(t), leaving, hostlist.Leaving); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxLeavingDelay)
	before := countRuns(t, s, leaving)
	for i := range 10 {
		eventuallyChat(t, s, s.Entries[i%len(s.Entries)], fmt.Sprintf("after leaving %d", i))
	}
	if after := countRuns(t, s, leaving); after != before {
		t.Errorf("leaving runner started %d requests after %v", after-before, maxLeavingDelay)
	}
}

// TestSIGTERMCompletesInFlightRequests terminates an agent and an entry while both
// process requests.
func TestSIGTERMCompletesInFlightRequests(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := runnerWithRuns(t, s)
	if err := s.SetEngineFaults(testContext(t), runner, modelengine.Faults{DelayResponsesMillis: 1500}); err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			entry := s.Entries[i%len(s.Entries)]
			question := fmt.Sprintf("in flight %d", i)
			result, err := s.Caller(entry, site.KeyPrepress).Chat(testContext(t), colourMatch.Model, question, i%2 == 0)
			if err != nil {
				t.Errorf("%q: %v", question, err)
				return
			}
			if err := site.CheckChat(result, colourMatch, question, i%2 == 0); err != nil {
				t.Errorf("%q: %v", question, err)
			}
		})
	}
	// Both processes get SIGTERM while the slow engine still delays all responses.
	time.Sleep(300 * time.Millisecond)
	terminate(t, runner)
	terminate(t, s.Entries[1])
	wait.Wait()
}

// terminate sends SIGTERM and checks when the test ends that the process exited
// without a failure.
func terminate(t *testing.T, host *site.Host) {
	t.Helper()
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		if err := host.Wait(ctx); err != nil {
			t.Errorf("%s did not exit cleanly: %v", host.ID, err)
		}
	})
}
