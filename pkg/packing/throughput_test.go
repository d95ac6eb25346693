package packing

import (
	"fmt"
	"testing"
	"time"
)

// weightStore serves a number of loads at full speed and slows beyond.
type weightStore struct {
	fullSpeed int
	alone     time.Duration
	// left is the rest of each load's time alone.
	left map[Load]time.Duration
	next int
}

// step lets time pass and returns the loads that run.
func (s *weightStore) step(passed time.Duration) map[Load]time.Duration {
	share := 1.0
	if over := float64(len(s.left)) / float64(s.fullSpeed); over > 1 {
		share = 1 / over
	}
	running := make(map[Load]time.Duration)
	for load, left := range s.left {
		left -= time.Duration(share * float64(passed))
		if left <= 0 {
			delete(s.left, load)
			continue
		}
		s.left[load] = left
		running[load] = s.alone
	}
	return running
}

// TestThroughputIsLearned plays weight stores of which more loads are wanted than
// they serve at once.
func TestThroughputIsLearned(t *testing.T) {
	const step = 200 * time.Millisecond
	for _, fullSpeed := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprint(fullSpeed), func(t *testing.T) {
			store := &weightStore{fullSpeed: fullSpeed, alone: 10 * time.Second, left: map[Load]time.Duration{}}
			p := NewThroughput()
			now := testStart
			most := 0
			for range 1500 {
				p.Observe(now, store.step(step))
				for len(store.left) < p.AtOnce() {
					store.next++
					store.left[Load{"h", fmt.Sprint("m", store.next)}] = store.alone
				}
				now = now.Add(step)
				if now.Sub(testStart) > 2*time.Minute {
					most = max(most, p.AtOnce())
				}
			}
			if most < fullSpeed || most > fullSpeed+1 {
				t.Errorf("learned at most %d loads at once, want %d", most, fullSpeed)
			}
		})
	}
}

func TestAbandonedLoadsTeachNothing(t *testing.T) {
	p := NewThroughput()
	load := Load{"h", "m"}
	p.Observe(testStart, map[Load]time.Duration{load: 10 * time.Second})
	p.Observe(testStart.Add(2*time.Second), nil)
	if p.AtOnce() != firstAtOnce {
		t.Errorf("%d at once after a load that was given up", p.AtOnce())
	}
}
