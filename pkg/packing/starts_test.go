package packing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestStartsKeepTheRateOfTheWeightStore plays any demand for loads, changes of the
// leader included, and checks the starts in each span of time.
func TestStartsKeepTheRateOfTheWeightStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			span    = 5 * time.Second
			surplus = 3
		)
		perSecond := rapid.Float64Range(0.2, 6).Draw(t, "loads a second")
		loadTime := time.Duration(rapid.IntRange(100, 8000).Draw(t, "load ms")) * time.Millisecond
		limits := StartLimits{AtOnce: rapid.IntRange(1, 8).Draw(t, "at once"), PerSecond: perSecond}
		now := testStart
		starts := NewStarts(now)
		running := map[Load]time.Time{}
		var began []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "pause ms")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "new leader") == 0 {
				starts = NewStarts(now)
			}
			var statuses []LoadStatus
			for host := range 12 {
				load := Load{Host: fmt.Sprint("h", host), Model: fmt.Sprint("m", host)}
				ends, isRunning := running[load]
				if isRunning && !now.Before(ends) {
					delete(running, load)
					isRunning = false
				}
				statuses = append(statuses, LoadStatus{Load: load, Running: isRunning})
			}
			for _, load := range starts.Next(now, statuses, limits) {
				running[load] = now.Add(loadTime)
				began = append(began, now)
			}
			if len(running) > limits.AtOnce {
				t.Fatalf("%d loads run, at most %d may", len(running), limits.AtOnce)
			}
		}
		most := perSecond*span.Seconds() + surplus
		for i, first := range began {
			count := 0
			for _, at := range began[i:] {
				if at.Sub(first) < span {
					count++
				}
			}
			if float64(count) > most {
				t.Fatalf("%d loads began in %s, %.1f may", count, span, most)
			}
		}
	})
}

func TestStartsGoToTheLoadThatMostRequestsWaitFor(t *testing.T) {
	starts := NewStarts(testStart)
	statuses := []LoadStatus{
		{Load: Load{"h1", "a"}, Waiting: 1},
		{Load: Load{"h2", "b"}, Waiting: 3},
		{Load: Load{"h3", "c"}, Rate: 2},
	}
	limits := StartLimits{AtOnce: 1}
	got := starts.Next(testStart, statuses, limits)
	if len(got) != 1 || got[0].Model != "b" {
		t.Fatalf("started %v", got)
	}
	if got := starts.Next(testStart.Add(startTTL/2), statuses, limits); len(got) > 0 {
		t.Fatalf("started %v beside one that no status shows yet", got)
	}
	if got := starts.Next(testStart.Add(2*startTTL), statuses, limits); len(got) != 1 {
		t.Fatalf("a start that was never used still counts: %v", got)
	}
}

func TestStartsBoundTheLoadsOfOneModel(t *testing.T) {
	starts := NewStarts(testStart)
	var statuses []LoadStatus
	for host := range 5 {
		statuses = append(statuses, LoadStatus{Load: Load{fmt.Sprint("h", host), "a"}, Waiting: 9})
	}
	statuses = append(statuses, LoadStatus{Load: Load{"h9", "b"}})
	got := starts.Next(testStart, statuses, StartLimits{AtOnce: 4})
	if len(got) != maxStartsPerModel+1 {
		t.Fatalf("started %v", got)
	}
}
