package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
)

const (
	slots = 8
	// slotRate is the mean speed of a slot in tokens per second.
	slotRate  = 100
	runLength = time.Hour
	maxQueued = 2000
)

// plan is one customer's load.
type plan struct {
	name     string
	weight   int
	priority int
	tokens   int64
	deadline time.Duration
	// every is the mean time between arrivals of size requests each.
	every time.Duration
	size  int
}

var plans = []plan{
	{name: "clerks", weight: 2, priority: 1, tokens: 200, deadline: 10 * time.Second, every: time.Second, size: 1},
	{name: "bursts", weight: 1, priority: 2, tokens: 800, deadline: time.Minute, every: 2 * time.Minute, size: 150},
	{name: "overnight", weight: 1, tokens: 3000, deadline: 10 * time.Minute, every: time.Minute, size: 8},
}

// request is one generated request.
type request struct {
	at   time.Duration
	item admission.Item
	took time.Duration
	used int64
}

func generate(start time.Time, seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []request
	for _, p := range plans {
		gap := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(p.every)) }
		for at := gap(); at < runLength; at += gap() {
			for range p.size {
				list = append(list, newRequest(start, p, at, len(list), rng))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return list
}

// newRequest draws a request that uses between 30 and 100 % of its declared
// tokens, at between half and one and a half times the mean speed.
func newRequest(start time.Time, p plan, at time.Duration, id int, rng *rand.Rand) request {
	tokens := p.tokens/2 + rng.Int64N(p.tokens)
	used := tokens*3/10 + rng.Int64N(tokens*7/10+1)
	speed := slotRate * (0.5 + rng.Float64())
	return request{
		at:   at,
		used: used,
		took: time.Duration(float64(used) / speed * float64(time.Second)),
		item: admission.Item{
			ID:            fmt.Sprint(id),
			Plan:          p.name,
			Weight:        p.weight,
			Priority:      p.priority,
			Deadline:      start.Add(at + p.deadline),
			Tokens:        tokens,
			MaxQueuedPlan: maxQueued,
		},
	}
}
