package main

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

// transfer is a running load at the weight store.
type transfer struct {
	// remaining is the remaining duration in seconds at full speed.
	remaining float64
	done      func()
}

// store models the weight store: starts beyond the rate wait in order, and loads
// beyond the limit on concurrent loads share the speed.
type store struct {
	clock  *virtual.Clock
	limits loading.StoreLimits
	// slowFactor multiplies the duration of all loads.
	slowFactor float64
	active     []*transfer
	nextStart  time.Time
	updated    time.Time
	version    int
}

func (s *store) load(d time.Duration, done func()) {
	start := s.clock.Now()
	if s.nextStart.After(start) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.limits.StartsPerSecond))
	s.clock.At(start, func() {
		s.advance()
		s.active = append(s.active, &transfer{remaining: d.Seconds(), done: done})
		s.scheduleCompletion()
	})
}

func (s *store) setSlow(factor float64) {
	s.advance()
	s.slowFactor = factor
	s.scheduleCompletion()
}

func (s *store) speed() float64 {
	if len(s.active) <= s.limits.MaxConcurrent {
		return 1 / s.slowFactor
	}
	return float64(s.limits.MaxConcurrent) / float64(len(s.active)) / s.slowFactor
}

func (s *store) advance() {
	passed := s.clock.Now().Sub(s.updated).Seconds() * s.speed()
	s.updated = s.clock.Now()
	for _, t := range s.active {
		t.remaining -= passed
	}
}

// scheduleCompletion schedules the end of the load that ends next.
func (s *store) scheduleCompletion() {
	s.version++
	version := s.version
	if len(s.active) == 0 {
		return
	}
	least := s.active[0].remaining
	for _, t := range s.active {
		least = min(least, t.remaining)
	}
	wait := time.Duration(max(least, 0) / s.speed() * float64(time.Second))
	s.clock.After(wait+time.Microsecond, func() {
		if s.version == version {
			s.completeTransfers()
		}
	})
}

func (s *store) completeTransfers() {
	s.advance()
	var ended []*transfer
	var active []*transfer
	for _, t := range s.active {
		if t.remaining <= 0 {
			ended = append(ended, t)
		} else {
			active = append(active, t)
		}
	}
	s.active = active
	s.scheduleCompletion()
	for _, t := range ended {
		t.done()
	}
}
