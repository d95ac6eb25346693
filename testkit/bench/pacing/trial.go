package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

// askTimeout is how long an agent waits for the coordinator's answer.
const askTimeout = 250 * time.Millisecond

// variant is a set of choices to compare.
type variant struct {
	name      string
	pacer     func(site) loading.Pacer
	keepAlive func(*runner, *replica) time.Time
	order     loading.Order
	// ownChoice lets every entry choose a runner for itself.
	ownChoice bool
}

// faults are what happens during a trial.
type faults struct {
	name string
	// slow is the factor of load times in the first minute of every third burst.
	slow float64
	// lostFor makes the coordinator fail in every second burst and start anew,
	// without state, after the time.
	lostFor time.Duration
}

const (
	slowFor = time.Minute
	lostAt  = 1500 * time.Millisecond
)

// result is what a trial measures.
type result struct {
	requests int
	loads    int
	missed   int
	asks     int
	// idle is in accelerator-seconds: seconds times the share of the memory.
	idle float64
	cold []time.Duration
}

// trial is one run.
type trial struct {
	site        site
	policy      lists.Policy
	variant     variant
	clock       *virtual.Clock
	start       time.Time
	store       *store
	models      []model
	runners     []*runner
	coordinator *loading.Coordinator
	result      result
}

// run performs a trial and returns its result.
func run(s site, policy lists.Policy, v variant, f faults, load workload, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 0))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := virtual.NewClock(start)
	t := &trial{
		site:        s,
		policy:      policy,
		variant:     v,
		clock:       c,
		start:       start,
		store:       &store{clock: c, limits: s.limits, slow: 1, updated: start},
		models:      newModels(s, rng),
		coordinator: loading.NewCoordinator(s.limits, v.order),
	}
	for i := range s.runners {
		t.runners = append(t.runners, newRunner(t, i))
	}
	arrivals := load(s, t.models, rng)
	for _, a := range arrivals {
		c.At(start.Add(a.at), func() { t.route(a).request(a) })
	}
	t.plan(f)
	last := start.Add(arrivals[len(arrivals)-1].at)
	c.Run(last.Add(burstEvery))
	t.closeIdle()
	return t.result
}

// plan schedules the faults of all bursts.
func (t *trial) plan(f faults) {
	for burst := range bursts {
		begin := t.start.Add(time.Duration(burst) * burstEvery)
		if f.slow > 0 && burst%3 == 0 {
			t.clock.At(begin, func() { t.store.setSlow(f.slow) })
			t.clock.At(begin.Add(slowFor), func() { t.store.setSlow(1) })
		}
		if f.lostFor > 0 && burst%2 == 0 {
			t.clock.At(begin.Add(lostAt), func() { t.coordinator = nil })
			t.clock.At(begin.Add(lostAt+f.lostFor), func() {
				t.coordinator = loading.NewCoordinator(t.site.limits, t.variant.order)
			})
		}
	}
}

// route chooses the runner of a request by rendezvous hashing.
func (t *trial) route(a arrival) *runner {
	key := fmt.Sprint(a.model)
	if t.variant.ownChoice {
		key = fmt.Sprint(a.model, "/", a.entry)
	}
	var best *runner
	var highest uint64
	for _, r := range t.runners {
		if h := xxhash.Sum64String(key + "/" + r.name); best == nil || h > highest {
			best = r
			highest = h
		}
	}
	return best
}

// ask sends a message to the coordinator and calls back with its answer.
func (t *trial) ask(m wire.LoadRequest, answer func(wire.LoadGrant, bool)) {
	t.result.asks++
	t.clock.After(t.site.delay, func() {
		if t.coordinator == nil {
			t.clock.After(askTimeout-t.site.delay, func() { answer(wire.LoadGrant{}, false) })
			return
		}
		slot := t.coordinator.Request(t.clock.Now(), m)
		t.clock.After(t.site.delay, func() { answer(slot, true) })
	})
}

// earliestDeadline returns the next deadline of the waiting requests, or the
// zero time if all have passed.
func (t *trial) earliestDeadline(waiting []arrival) time.Time {
	var first time.Time
	for _, a := range waiting {
		deadline := t.start.Add(a.deadline)
		if deadline.After(t.clock.Now()) && (first.IsZero() || deadline.Before(first)) {
			first = deadline
		}
	}
	return first
}

// coldStart records that a waiting request starts.
func (t *trial) coldStart(a arrival) {
	now := t.clock.Now().Sub(t.start)
	t.result.cold = append(t.result.cold, now-a.at)
	if now > a.deadline {
		t.result.missed++
	}
}

func (t *trial) closeIdle() {
	for _, r := range t.runners {
		for _, rep := range r.order {
			r.endIdle(rep)
		}
	}
}

func (t *trial) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.loads += o.loads
	r.missed += o.missed
	r.asks += o.asks
	r.idle += o.idle
	r.cold = append(r.cold, o.cold...)
}

// quantile returns the q-quantile of the cold starts.
func (r *result) quantile(q float64) time.Duration {
	if len(r.cold) == 0 {
		return 0
	}
	slices.Sort(r.cold)
	return r.cold[int(q*float64(len(r.cold)-1))]
}
