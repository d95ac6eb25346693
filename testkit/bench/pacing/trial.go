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

// loadRequestTimeout is how long an agent waits for the coordinator's response.
const loadRequestTimeout = 250 * time.Millisecond

// variant is a combination of policies to compare.
type variant struct {
	name      string
	pacer     func(site) loading.Pacer
	keepAlive func(*runner, *replica) time.Time
	order     loading.Order
	// perEntryRouting lets every entry choose a runner independently.
	perEntryRouting bool
}

// faults are the faults that are injected during a trial.
type faults struct {
	name string
	// slowFactor multiplies load times in the first minute of every third burst.
	slowFactor float64
	// coordinatorDownFor makes the coordinator fail in every second burst and
	// restart without state after this duration.
	coordinatorDownFor time.Duration
}

const (
	slowDuration       = time.Minute
	coordinatorFailsAt = 1500 * time.Millisecond
)

// result holds the measurements of a trial.
type result struct {
	requests        int
	loads           int
	missedDeadlines int
	loadRequests    int
	// idle is in accelerator-seconds: seconds times the share of the memory.
	idle float64
	cold []time.Duration
}

// trial is one run of the simulation.
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
		store:       &store{clock: c, limits: s.limits, slowFactor: 1, updated: start},
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
	t.scheduleFaults(f)
	last := start.Add(arrivals[len(arrivals)-1].at)
	c.Run(last.Add(burstInterval))
	t.endIdlePeriods()
	return t.result
}

// scheduleFaults schedules the faults of all bursts.
func (t *trial) scheduleFaults(f faults) {
	for burst := range bursts {
		begin := t.start.Add(time.Duration(burst) * burstInterval)
		if f.slowFactor > 0 && burst%3 == 0 {
			t.clock.At(begin, func() { t.store.setSlow(f.slowFactor) })
			t.clock.At(begin.Add(slowDuration), func() { t.store.setSlow(1) })
		}
		if f.coordinatorDownFor > 0 && burst%2 == 0 {
			t.clock.At(begin.Add(coordinatorFailsAt), func() { t.coordinator = nil })
			t.clock.At(begin.Add(coordinatorFailsAt+f.coordinatorDownFor), func() {
				t.coordinator = loading.NewCoordinator(t.site.limits, t.variant.order)
			})
		}
	}
}

// route chooses the runner of a request by rendezvous hashing.
func (t *trial) route(a arrival) *runner {
	key := fmt.Sprint(a.model)
	if t.variant.perEntryRouting {
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

// sendLoadRequest sends a message to the coordinator and calls back with its
// response, or with false after a timeout.
func (t *trial) sendLoadRequest(m wire.LoadRequest, callback func(wire.LoadGrant, bool)) {
	t.result.loadRequests++
	t.clock.After(t.site.delay, func() {
		if t.coordinator == nil {
			t.clock.After(loadRequestTimeout-t.site.delay, func() { callback(wire.LoadGrant{}, false) })
			return
		}
		grant := t.coordinator.Request(t.clock.Now(), m)
		t.clock.After(t.site.delay, func() { callback(grant, true) })
	})
}

// earliestDeadline returns the next deadline of the waiting requests, or the
// zero time if all deadlines have passed.
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

// coldStart records the wait of a request that had to wait for a load.
func (t *trial) coldStart(a arrival) {
	now := t.clock.Now().Sub(t.start)
	t.result.cold = append(t.result.cold, now-a.at)
	if now > a.deadline {
		t.result.missedDeadlines++
	}
}

func (t *trial) endIdlePeriods() {
	for _, r := range t.runners {
		for _, rep := range r.replicaList {
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
	r.missedDeadlines += o.missedDeadlines
	r.loadRequests += o.loadRequests
	r.idle += o.idle
	r.cold = append(r.cold, o.cold...)
}

// quantile returns the q-quantile of the waits of cold starts.
func (r *result) quantile(q float64) time.Duration {
	if len(r.cold) == 0 {
		return 0
	}
	slices.Sort(r.cold)
	return r.cold[int(q*float64(len(r.cold)-1))]
}
