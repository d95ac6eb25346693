package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

const (
	runLength = 6 * time.Hour
	entries   = 4
	domains   = 4
	// runnerMemoryMiB is the accelerator memory of a runner.
	runnerMemoryMiB = 80 << 10
	slots           = 8
	maxQueued       = 1024
)

// deployment is one of the two simulated sites.
type deployment struct {
	name    string
	runners int
	models  int
	// loadsPerSecond is the rate at which the weight store starts loads.
	loadsPerSecond float64
	loadTime       time.Duration
	// delay is the one-way latency of a message between processes.
	delay  time.Duration
	policy lists.Policy
}

var sites = []deployment{
	{
		name: "van-dijkhuis", runners: 18, models: 65, loadsPerSecond: 4, loadTime: time.Second,
		delay: 4 * time.Millisecond, policy: lists.Policy{ColdStartWeight: 1, IdleWeight: 0.002},
	},
	{
		name: "consortium", runners: 9, models: 20, loadsPerSecond: 2.5, loadTime: 1600 * time.Millisecond,
		delay: 5 * time.Millisecond, policy: lists.Policy{ColdStartWeight: 1, IdleWeight: 0.02},
	},
}

// model is a model with its load time.
type model struct {
	lists.Model
	loadTime time.Duration
}

// newModels draws models whose sizes are between 0.4 and 1.6 times the mean.
func newModels(s deployment, rng *rand.Rand) []model {
	const meanMiB = 16 << 10
	models := make([]model, s.models)
	for i := range models {
		share := 0.4 + 1.2*rng.Float64()
		models[i] = model{
			Model: lists.Model{
				Name: fmt.Sprintf("model-%02d", i), Version: "1",
				MemoryMiB: int64(share * meanMiB), MaxReplicas: 3,
			},
			loadTime: time.Duration(share * float64(s.loadTime)),
		}
	}
	return models
}

func makeHosts(s deployment) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range entries {
		hosts = append(hosts, newHost(fmt.Sprintf("entry-%d", i), hostlist.RoleEntry, i))
	}
	for i := range s.runners {
		hosts = append(hosts, newHost(runnerID(i), hostlist.RoleAgent, i))
	}
	return hosts
}

func runnerID(i int) string { return fmt.Sprintf("runner-%02d", i) }

func newHost(id string, role hostlist.Role, i int) hostlist.Host {
	return hostlist.Host{
		ID: id, Role: role, State: hostlist.Live, Region: "region",
		FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: id,
	}
}

// request is one caller's request.
type request struct {
	id       string
	model    int
	entry    int
	arrived  time.Time
	deadline time.Time
	plan     plan
	duration time.Duration
	tokens   int64
	// cold reports that the model wasn't loaded when the request arrived.
	cold bool
}

// plan is one customer's plan.
type plan struct {
	name     string
	weight   int
	priority int
	deadline time.Duration
	tokens   int64
}

var plans = []plan{
	{name: "interactive", weight: 3, priority: 8, deadline: 15 * time.Second, tokens: 200},
	{name: "batch", weight: 1, priority: 2, deadline: 5 * time.Minute, tokens: 800},
}

const tokensPerSecond = 100

// makeRequests draws sessions: after a long idle gap, a model gets a burst of
// requests at all entries and then a tail. Popular models have shorter gaps. Each
// hour has an overload of one model.
func makeRequests(s deployment, start time.Time, rng *rand.Rand) []*request {
	const meanIdleGap = 10 * time.Minute
	var requests []*request
	ranks := rng.Perm(s.models)
	for m := range s.models {
		idleGap := float64(meanIdleGap) * (1 + float64(ranks[m])/4)
		at := time.Duration(rng.ExpFloat64() * idleGap)
		for at < runLength {
			requests = append(requests, makeSession(m, start.Add(at), rng)...)
			at += time.Duration(rng.ExpFloat64() * idleGap)
		}
	}
	for hour := range int(runLength / time.Hour) {
		at := time.Duration(hour)*time.Hour + time.Duration(rng.Int64N(int64(time.Hour)))
		requests = append(requests, makeOverload(rng.IntN(s.models), start.Add(at), rng)...)
	}
	for i, r := range requests {
		r.id = fmt.Sprint(i)
	}
	return requests
}

// makeOverload draws more requests for one model than its replicas can serve in time.
func makeOverload(m int, start time.Time, rng *rand.Rand) []*request {
	const (
		size   = 400
		spread = 10 * time.Second
	)
	var overload []*request
	for range size {
		overload = append(overload, newRequest(m, start.Add(time.Duration(rng.Int64N(int64(spread)))), rng))
	}
	return overload
}

func makeSession(m int, start time.Time, rng *rand.Rand) []*request {
	const (
		burstSpread = 100 * time.Millisecond
		tailGap     = 5 * time.Second
	)
	var session []*request
	at := start
	for range 4 + rng.IntN(16) {
		session = append(session, newRequest(m, start.Add(time.Duration(rng.Int64N(int64(burstSpread)))), rng))
	}
	for range rng.IntN(30) {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(tailGap)))
		session = append(session, newRequest(m, at, rng))
	}
	return session
}

func newRequest(m int, at time.Time, rng *rand.Rand) *request {
	p := plans[rng.IntN(len(plans))]
	tokens := p.tokens/2 + rng.Int64N(p.tokens)
	return &request{
		model: m, entry: rng.IntN(entries), arrived: at, deadline: at.Add(p.deadline), plan: p, tokens: tokens,
		duration: time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second)),
	}
}
