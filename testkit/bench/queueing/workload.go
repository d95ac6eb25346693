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

// plan describes the load of one customer.
type plan struct {
	name     string
	weight   int
	priority int
	tokens   int64
	deadline time.Duration
	// meanInterval is the mean time between bursts of burstSize requests.
	meanInterval time.Duration
	burstSize    int
}

var plans = []plan{
	{name: "clerks", weight: 2, priority: 1, tokens: 200, deadline: 10 * time.Second, meanInterval: time.Second, burstSize: 1},
	{name: "bursts", weight: 1, priority: 2, tokens: 800, deadline: time.Minute, meanInterval: 2 * time.Minute, burstSize: 150},
	{name: "overnight", weight: 1, tokens: 3000, deadline: 10 * time.Minute, meanInterval: time.Minute, burstSize: 8},
}

// request is one generated request.
type request struct {
	at         time.Duration
	item       admission.Item
	duration   time.Duration
	usedTokens int64
}

func generate(start time.Time, seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []request
	for _, p := range plans {
		gap := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(p.meanInterval)) }
		for at := gap(); at < runLength; at += gap() {
			for range p.burstSize {
				list = append(list, newRequest(start, p, at, len(list), rng))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return list
}

// newRequest draws a request that uses between 30 and 100 % of its declared
// tokens, at a speed between 0.5 and 1.5 times the mean.
func newRequest(start time.Time, p plan, at time.Duration, id int, rng *rand.Rand) request {
	tokens := p.tokens/2 + rng.Int64N(p.tokens)
	used := tokens*3/10 + rng.Int64N(tokens*7/10+1)
	speed := slotRate * (0.5 + rng.Float64())
	return request{
		at:         at,
		usedTokens: used,
		duration:   time.Duration(float64(used) / speed * float64(time.Second)),
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
