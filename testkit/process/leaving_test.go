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

// leavingBound is when a leaving backend server gets no new work any more.
const leavingBound = 3 * time.Second

// runsOf counts the requests that a runner's engine has started.
func runsOf(t *testing.T, s *site.Site, runner *site.Host) int {
	t.Helper()
	journal, err := s.Journal(within(t), runner)
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

// holderOf returns the runner whose engine has run requests.
func holderOf(t *testing.T, s *site.Site) *site.Host {
	t.Helper()
	for _, runner := range s.Runners {
		if runsOf(t, s, runner) > 0 {
			return runner
		}
	}
	t.Fatal("no runner has run a request")
	return nil
}

// TestLeavingHostGetsNoNewWork takes the runner of a model out by the host list
// alone.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	leaving := holderOf(t, s)
	if err := s.List(within(t), leaving, hostlist.Leaving); err != nil {
		t.Fatal(err)
	}
	time.Sleep(leavingBound)
	before := runsOf(t, s, leaving)
	for i := range 10 {
		eventualChat(t, s, s.Entries[i%len(s.Entries)], fmt.Sprintf("after leaving %d", i))
	}
	if after := runsOf(t, s, leaving); after != before {
		t.Errorf("leaving runner started %d requests after %v", after-before, leavingBound)
	}
}

// TestStopCutsOffNothing stops an agent and an entry with SIGTERM while requests
// run on both.
func TestStopCutsOffNothing(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := holderOf(t, s)
	if err := s.SetEngineFaults(within(t), runner, modelengine.Faults{DelayAnswersMillis: 1500}); err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			entry := s.Entries[i%len(s.Entries)]
			question := fmt.Sprintf("in flight %d", i)
			result, err := s.Caller(entry, site.KeyPrepress).Chat(within(t), colourMatch.Model, question, i%2 == 0)
			if err != nil {
				t.Errorf("%q: %v", question, err)
				return
			}
			if err := site.CheckChat(result, colourMatch, question, i%2 == 0); err != nil {
				t.Errorf("%q: %v", question, err)
			}
		})
	}
	// Each stop begins while the slow engine still holds all answers back.
	time.Sleep(300 * time.Millisecond)
	stop(t, runner)
	stop(t, s.Entries[1])
	wait.Wait()
}

// stop sends SIGTERM and waits for an orderly end in the background of the test.
func stop(t *testing.T, host *site.Host) {
	t.Helper()
	if err := host.Terminate(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if err := host.Wait(ctx); err != nil {
			t.Errorf("%s did not end in order: %v", host.ID, err)
		}
	})
}
