package main

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

// transfer is a load in the weight store.
type transfer struct {
	// left is the remaining time in seconds at full speed.
	left float64
	done func()
}

// store models the weight store: starts above the rate wait in order, and loads
// above the bound share the speed.
type store struct {
	clock  *virtual.Clock
	limits loading.StoreLimits
	// slow is the factor of all load times.
	slow      float64
	active    []*transfer
	nextStart time.Time
	updated   time.Time
	version   int
}

func (s *store) load(d time.Duration, done func()) {
	start := s.clock.Now()
	if s.nextStart.After(start) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.limits.StartsPerSecond))
	s.clock.At(start, func() {
		s.advance()
		s.active = append(s.active, &transfer{left: d.Seconds(), done: done})
		s.schedule()
	})
}

func (s *store) setSlow(factor float64) {
	s.advance()
	s.slow = factor
	s.schedule()
}

func (s *store) speed() float64 {
	if len(s.active) <= s.limits.MaxConcurrent {
		return 1 / s.slow
	}
	return float64(s.limits.MaxConcurrent) / float64(len(s.active)) / s.slow
}

func (s *store) advance() {
	passed := s.clock.Now().Sub(s.updated).Seconds() * s.speed()
	s.updated = s.clock.Now()
	for _, t := range s.active {
		t.left -= passed
	}
}

// schedule plans the end of the load that ends next.
func (s *store) schedule() {
	s.version++
	version := s.version
	if len(s.active) == 0 {
		return
	}
	least := s.active[0].left
	for _, t := range s.active {
		least = min(least, t.left)
	}
	wait := time.Duration(max(least, 0) / s.speed() * float64(time.Second))
	s.clock.After(wait+time.Microsecond, func() {
		if s.version == version {
			s.finish()
		}
	})
}

func (s *store) finish() {
	s.advance()
	var ended []*transfer
	var active []*transfer
	for _, t := range s.active {
		if t.left <= 0 {
			ended = append(ended, t)
		} else {
			active = append(active, t)
		}
	}
	s.active = active
	s.schedule()
	for _, t := range ended {
		t.done()
	}
}
