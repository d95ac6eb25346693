package packing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLoadSchedulerKeepsWeightStoreLimits generates arbitrary load requests and
// changes of the leader, and checks the number of loads started in each period.
func TestLoadSchedulerKeepsWeightStoreLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			span    = 5 * time.Second
			surplus = 3
		)
		perSecond := rapid.Float64Range(0.2, 6).Draw(t, "loads a second")
		loadTime := time.Duration(rapid.IntRange(100, 8000).Draw(t, "load ms")) * time.Millisecond
		limits := LoadLimits{MaxConcurrent: rapid.IntRange(1, 8).Draw(t, "at once"), PerSecond: perSecond}
		now := testStart
		scheduler := NewLoadScheduler(now)
		running := map[Load]time.Time{}
		var startedAt []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "pause ms")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "new leader") == 0 {
				scheduler = NewLoadScheduler(now)
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
			for _, load := range scheduler.Next(now, statuses, limits) {
				running[load] = now.Add(loadTime)
				startedAt = append(startedAt, now)
			}
			if len(running) > limits.MaxConcurrent {
				t.Fatalf("%d loads are running, the limit is %d", len(running), limits.MaxConcurrent)
			}
		}
		most := perSecond*span.Seconds() + surplus
		for i, first := range startedAt {
			count := 0
			for _, at := range startedAt[i:] {
				if at.Sub(first) < span {
					count++
				}
			}
			if float64(count) > most {
				t.Fatalf("%d loads started within %s, the limit is %.1f", count, span, most)
			}
		}
	})
}

func TestLoadWithMostWaitingRequestsIsGrantedFirst(t *testing.T) {
	scheduler := NewLoadScheduler(testStart)
	statuses := []LoadStatus{
		{Load: Load{"h1", "a"}, Waiting: 1},
		{Load: Load{"h2", "b"}, Waiting: 3},
		{Load: Load{"h3", "c"}},
	}
	limits := LoadLimits{MaxConcurrent: 1}
	got := scheduler.Next(testStart, statuses, limits)
	if len(got) != 1 || got[0].Model != "b" {
		t.Fatalf("granted %v", got)
	}
	if got := scheduler.Next(testStart.Add(grantTTL/2), statuses, limits); len(got) > 0 {
		t.Fatalf("granted %v in addition to a load that isn't in a status yet", got)
	}
	if got := scheduler.Next(testStart.Add(2*grantTTL), statuses, limits); len(got) != 1 {
		t.Fatalf("an unused grant doesn't expire: %v", got)
	}
}

// TestFirstReplicasAreGrantedBeforeSecondOnes has many runners wait for one model
// and one runner for another.
func TestFirstReplicasAreGrantedBeforeSecondOnes(t *testing.T) {
	scheduler := NewLoadScheduler(testStart)
	var statuses []LoadStatus
	for host := range 5 {
		statuses = append(statuses, LoadStatus{Load: Load{fmt.Sprint("h", host), "a"}, Waiting: 9})
	}
	statuses = append(statuses, LoadStatus{Load: Load{"h9", "b"}})
	got := scheduler.Next(testStart, statuses, LoadLimits{MaxConcurrent: 3})
	if len(got) != 3 || got[0].Model != "a" || got[1].Model != "b" || got[2].Model != "a" {
		t.Fatalf("granted %v", got)
	}
}

// TestLoadsAreGrantedByGain has two loads compete for one grant.
func TestLoadsAreGrantedByGain(t *testing.T) {
	tests := []struct {
		name          string
		first, second LoadStatus
	}{
		{
			"batch requests before slightly more interactive ones",
			LoadStatus{Demand: Demand{Batch: 1}},
			LoadStatus{Demand: Demand{Interactive: batchWeight - 1}, Waiting: 9},
		},
		{
			"interactive requests before few batch ones",
			LoadStatus{Demand: Demand{Interactive: batchWeight + 1}},
			LoadStatus{Demand: Demand{Batch: 1}, Waiting: 9},
		},
		{
			"first replica before a second one of another model",
			LoadStatus{Demand: Demand{Interactive: 2}},
			LoadStatus{Demand: Demand{Interactive: 3, Loaded: 1}},
		},
		{
			"more waiting requests",
			LoadStatus{Waiting: 2},
			LoadStatus{Waiting: 1},
		},
	}
	for _, test := range tests {
		test.first.Load = Load{Host: "h2", Model: "first"}
		test.second.Load = Load{Host: "h1", Model: "second"}
		scheduler := NewLoadScheduler(testStart)
		now := testStart.Add(time.Minute)
		limits := LoadLimits{MaxConcurrent: 1, PerSecond: 10}
		started := scheduler.Next(now, []LoadStatus{test.second, test.first}, limits)
		started = append(started, scheduler.Next(now.Add(time.Second), []LoadStatus{test.second, test.first}, limits)...)
		if len(started) == 0 || started[0].Model != "first" {
			t.Errorf("%s: granted %v", test.name, started)
		}
	}
}
