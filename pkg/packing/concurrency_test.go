package packing

import (
	"fmt"
	"testing"
	"time"
)

// weightStore simulates a weight store that serves a number of loads at full speed
// and slows down above it.
type weightStore struct {
	fullSpeed int
	alone     time.Duration
	// remaining is each load's remaining duration at full speed.
	remaining map[Load]time.Duration
	next      int
}

// step advances the time and returns the running loads.
func (s *weightStore) step(passed time.Duration) map[Load]time.Duration {
	share := 1.0
	if over := float64(len(s.remaining)) / float64(s.fullSpeed); over > 1 {
		share = 1 / over
	}
	running := make(map[Load]time.Duration)
	for load, remaining := range s.remaining {
		remaining -= time.Duration(share * float64(passed))
		if remaining <= 0 {
			delete(s.remaining, load)
			continue
		}
		s.remaining[load] = remaining
		running[load] = s.alone
	}
	return running
}

// TestConcurrencyEstimateConverges simulates weight stores with more load requests
// than they serve at full speed.
func TestConcurrencyEstimateConverges(t *testing.T) {
	const step = 200 * time.Millisecond
	for _, fullSpeed := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprint(fullSpeed), func(t *testing.T) {
			store := &weightStore{fullSpeed: fullSpeed, alone: 10 * time.Second, remaining: map[Load]time.Duration{}}
			e := NewConcurrencyEstimator()
			now := testStart
			most := 0
			for range 1500 {
				e.Observe(now, store.step(step))
				for len(store.remaining) < e.MaxConcurrent() {
					store.next++
					store.remaining[Load{"h", fmt.Sprint("m", store.next)}] = store.alone
				}
				now = now.Add(step)
				if now.Sub(testStart) > 2*time.Minute {
					most = max(most, e.MaxConcurrent())
				}
			}
			if most < fullSpeed || most > fullSpeed+1 {
				t.Errorf("estimated at most %d concurrent loads, want %d", most, fullSpeed)
			}
		})
	}
}

func TestAbandonedLoadsAreIgnored(t *testing.T) {
	e := NewConcurrencyEstimator()
	load := Load{"h", "m"}
	e.Observe(testStart, map[Load]time.Duration{load: 10 * time.Second})
	e.Observe(testStart.Add(2*time.Second), nil)
	if e.MaxConcurrent() != initialConcurrency {
		t.Errorf("%d concurrent loads after an abandoned load", e.MaxConcurrent())
	}
}
