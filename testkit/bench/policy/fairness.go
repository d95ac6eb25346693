package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

// tenant is a plan that always has requests waiting.
type tenant struct {
	name   string
	weight int
	// tokens is the mean size of its requests.
	tokens int64
	// backlog is the number of requests that it keeps waiting.
	backlog int
}

var tenants = []tenant{
	{name: "small", weight: 1, tokens: 100, backlog: 8},
	{name: "large", weight: 1, tokens: 2000, backlog: 8},
	{name: "flood", weight: 1, tokens: 400, backlog: 60},
	{name: "heavy", weight: 5, tokens: 400, backlog: 40},
}

const fairnessLength = time.Hour

// compareFairness prints each plan's served tokens relative to its fair share at a
// saturated runner: once with the product's queue, and once with a single plan
// that holds all requests, which then run in order of arrival.
func compareFairness(w io.Writer, seeds int) error {
	fmt.Fprintf(w, "\nserved over fair share at a saturated runner, seeds 1-%d, %v each\n", seeds, fairnessLength)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "queue\t")
	for _, p := range tenants {
		fmt.Fprintf(t, "%s (weight %d)\t", p.name, p.weight)
	}
	fmt.Fprintln(t, "worst\t")
	for _, shared := range []bool{false, true} {
		served := make([]float64, len(tenants))
		for seed := range seeds {
			saturate(shared, uint64(seed+1), served)
		}
		printShares(t, shared, served)
	}
	return t.Flush()
}

func printShares(w io.Writer, shared bool, served []float64) {
	total, weights := 0.0, 0
	for i, p := range tenants {
		total += served[i]
		weights += p.weight
	}
	name := "fair by plan"
	if shared {
		name = "first in, first out"
	}
	fmt.Fprintf(w, "%s\t", name)
	worst := 0.0
	for i, p := range tenants {
		fairShare := total * float64(p.weight) / float64(weights)
		share := served[i] / fairShare
		if i == 0 || share < worst {
			worst = share
		}
		fmt.Fprintf(w, "%.2f\t", share)
	}
	fmt.Fprintf(w, "%.2f\t\n", worst)
}

// saturate runs one seed and adds the tokens that each tenant is served.
func saturate(shared bool, seed uint64, served []float64) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := virtual.NewClock(start)
	rng := rand.New(rand.NewPCG(seed, 0))
	queue := admission.New(admission.Limits{MaxQueued: maxQueued, Slots: slots})
	owners := make(map[string]int)
	next := 0
	offer := func(i int) {
		next++
		item := admission.Item{
			ID: fmt.Sprint(next), Plan: tenants[i].name, Weight: tenants[i].weight, MaxQueuedPlan: maxQueued,
			Tokens: tenants[i].tokens/2 + rng.Int64N(tenants[i].tokens),
		}
		if shared {
			item.Plan, item.Weight = "all", 1
		}
		owners[item.ID] = i
		queue.Offer(clock.Now(), item, admission.Estimate{})
	}
	var startRequests func()
	startRequests = func() {
		for {
			item, ok := queue.Next(clock.Now(), func(admission.Target) bool { return true })
			if !ok {
				return
			}
			owner := owners[item.ID]
			delete(owners, item.ID)
			took := time.Duration(float64(item.Tokens) / tokensPerSecond * float64(time.Second))
			clock.After(took, func() {
				queue.Finish(clock.Now(), item.ID, item.Tokens, took)
				served[owner] += float64(item.Tokens)
				startRequests()
			})
			offer(owner)
		}
	}
	for i, p := range tenants {
		for range p.backlog {
			offer(i)
		}
	}
	startRequests()
	clock.Run(start.Add(fairnessLength))
}
