package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

const (
	adapterMin           = 5 * time.Millisecond
	adapterMax           = 10 * time.Millisecond
	adapterBurstSpan     = 20 * time.Millisecond
	adapterBursts        = 500
	adapterBurstInterval = time.Second
)

// adapterRunner is a runner with its window and the adapters that wait for it.
type adapterRunner struct {
	window  *loading.AdapterWindow
	waiting []pendingAdapter
}

type pendingAdapter struct {
	at       time.Time
	duration time.Duration
}

// adapterTrial is one run, in which all runners load bursts of adapters.
type adapterTrial struct {
	clock        *virtual.Clock
	store        *store
	runners      []*adapterRunner
	result       result
	maxInTransit int
}

// adapterWindow is a way to divide the adapters in transit among the agents.
type adapterWindow struct {
	name string
	// agents returns the number of agents by which the window divides.
	agents func(site) int
}

var adapterWindows = []adapterWindow{
	{name: "none", agents: func(site) int { return 1 }},
	{name: "share rounded down", agents: func(s site) int {
		share := loading.AdaptersInTransit / s.runners
		return loading.AdaptersInTransit / share
	}},
	{name: "share to the nearest", agents: func(s site) int { return s.runners }},
}

func compareAdapters(w io.Writer, s site, seeds int) error {
	fmt.Fprintf(w, "\nadapters, %s, seeds 1-%d, %d bursts each\n", s.name, seeds, adapterBursts)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "concurrent\twindow\twait p50\tp95\tp99\tmost in transit\t")
	for _, loads := range []int{s.adapters / 4, s.adapters, 4 * s.adapters} {
		for _, window := range adapterWindows {
			var sum result
			maxInTransit := 0
			for seed := range seeds {
				trial := runAdapters(s, window.agents(s), loads, uint64(seed+1))
				sum.add(trial.result)
				maxInTransit = max(maxInTransit, trial.maxInTransit)
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%d\t\n", loads, window.name,
				formatMillis(sum.quantile(0.5)), formatMillis(sum.quantile(0.95)), formatMillis(sum.quantile(0.99)), maxInTransit)
		}
	}
	return t.Flush()
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func runAdapters(s site, agents, loads int, seed uint64) *adapterTrial {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := virtual.NewClock(start)
	limits := loading.StoreLimits{StartsPerSecond: 1e6, MaxConcurrent: loading.AdaptersInTransit}
	t := &adapterTrial{clock: c, store: &store{clock: c, limits: limits, slowFactor: 1, updated: start}}
	for range s.runners {
		t.runners = append(t.runners, &adapterRunner{window: loading.NewAdapterWindow(agents)})
	}
	for burst := range adapterBursts {
		for range loads {
			r := t.runners[rng.IntN(s.runners)]
			duration := adapterMin + time.Duration(rng.Float64()*float64(adapterMax-adapterMin))
			at := start.Add(time.Duration(burst)*adapterBurstInterval + time.Duration(rng.Float64()*float64(adapterBurstSpan)))
			c.At(at, func() {
				r.waiting = append(r.waiting, pendingAdapter{at: at, duration: duration})
				t.startLoads(r)
			})
		}
	}
	c.Run(start.Add(adapterBursts * adapterBurstInterval))
	return t
}

func (t *adapterTrial) startLoads(r *adapterRunner) {
	for len(r.waiting) > 0 && r.window.Start(t.clock.Now()) {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		began := t.clock.Now()
		t.store.load(next.duration, func() {
			r.window.Done(t.clock.Now(), t.clock.Now().Sub(began))
			t.result.cold = append(t.result.cold, t.clock.Now().Sub(next.at))
			t.startLoads(r)
		})
	}
	t.maxInTransit = max(t.maxInTransit, len(t.store.active))
}
