package serverfaults

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// queuedCalls is the number of streams sent to a runner that runs one at a time.
const queuedCalls = 4

// Guards against a stream that waits at its runner when its entry stops, and whose connection is closed without a response.
func TestStreamThatWaitsAtItsRunnerIsAnsweredByStoppingEntry(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	options := stopOptions(stopPlan{})
	options.Entries, options.Runners = 1, 1
	options.RunnerPlaces, options.RunnerQueue = 1, 2*queuedCalls
	s, err := platformsite.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	entry := s.Entries[0]
	c, _ := sendUntilStarted(t, s, entry, call{path: platformsite.AdvicePath, plan: streamPlan(backendserver.FramingChunks)}, 0)
	verifyServed(t, c, c.finish())
	var wait sync.WaitGroup
	var brokenOff atomic.Int32
	for range queuedCalls {
		plan := streamPlan(backendserver.FramingChunks)
		plan.GapMillis = int(stopGrace.Milliseconds())
		queued, err := dial(entry, call{path: platformsite.AdvicePath, plan: plan, budget: 11 * time.Second}, func(*caller) {})
		if err != nil {
			t.Fatal(err)
		}
		wait.Go(func() {
			defer queued.conn.Close()
			response, err := http.ReadResponse(bufio.NewReader(queued.conn), nil)
			if err != nil {
				t.Errorf("%s: no response: %v\n%s", queued.id, err, linesOf(entry.Log(), queued.id))
				return
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil {
				brokenOff.Add(1)
			}
			t.Logf("%s: status %d, %v", queued.id, response.StatusCode, err)
			if runs := len(queued.runs(s)); runs > 0 && response.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("%s: ran %d times, and got 503", queued.id, runs)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	if err := entry.Stop(testContext(t)); err != nil {
		t.Error(err)
	}
	wait.Wait()
	if got := brokenOff.Load(); got > 1 {
		t.Errorf("%d responses broken off, and the runner runs one at a time", got)
	}
}
