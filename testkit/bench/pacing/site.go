package main

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
)

// site is one deployment.
type site struct {
	name     string
	runners  int
	models   int
	adapters int
	entries  int
	limits   loading.StoreLimits
	// delay is the one-way latency of a message between two failure domains.
	delay  time.Duration
	policy lists.Policy
}

// loadTime returns the mean duration of a load at full speed. It is chosen so that
// the limit on concurrent loads and the rate of starts are reached together.
func (s site) loadTime() time.Duration {
	return time.Duration(float64(s.limits.MaxConcurrent) / s.limits.StartsPerSecond * float64(time.Second))
}

var sites = []site{
	{
		name:     "van-dijkhuis",
		runners:  18,
		models:   65,
		adapters: 100,
		entries:  4,
		limits:   loading.StoreLimits{StartsPerSecond: 4, MaxConcurrent: 4},
		delay:    4 * time.Millisecond,
		policy:   lists.Policy{ColdStartWeight: 1, IdleWeight: 0.002},
	},
	{
		name:     "consortium",
		runners:  9,
		models:   20,
		adapters: 55,
		entries:  4,
		limits:   loading.StoreLimits{StartsPerSecond: 2.5, MaxConcurrent: 4},
		delay:    5 * time.Millisecond,
		policy:   lists.Policy{ColdStartWeight: 1, IdleWeight: 0.02},
	},
}
