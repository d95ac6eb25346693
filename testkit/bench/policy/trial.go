package main

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
	"teaselgauge.example/teaselgauge/testkit/bench/virtual"
)

const (
	probeInterval  = 2 * time.Second
	probeSample    = 8
	decideInterval = time.Second
)

// trial is one run of the simulation.
type trial struct {
	site          deployment
	variant       variant
	clock         *virtual.Clock
	rng           *rand.Rand
	models        []model
	runners       []*runner
	entries       []*entry
	placements    []wire.Placement
	nextFreeStart time.Time
	result        result
}

// entry is an entry host with its view and its routing table.
type entry struct {
	trial  *trial
	index  int
	view   *membership.View
	table  *routing.Table
	budget *routing.RetryBudget
}

func run(s deployment, v variant, seed uint64) result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := &trial{site: s, variant: v, clock: virtual.NewClock(start), rng: rand.New(rand.NewPCG(seed, 1))}
	workload := rand.New(rand.NewPCG(seed, 0))
	t.models = newModels(s, workload)
	for i := range s.runners {
		t.runners = append(t.runners, newRunner(t, i))
	}
	for i := range entries {
		t.entries = append(t.entries, newEntry(t, i))
	}
	if v.permits {
		t.decidePlacement()
	}
	requests := makeRequests(s, start, workload)
	for _, r := range requests {
		t.clock.At(r.arrived, func() { t.entries[r.entry].serve(r) })
	}
	t.result.requests = len(requests)
	t.clock.Run(start.Add(runLength + time.Hour))
	return t.result
}

func newEntry(t *trial, index int) *entry {
	e := &entry{trial: t, index: index, view: membership.NewView(), budget: routing.NewRetryBudget()}
	e.view.HostsListed(t.clock.Now(), makeHosts(t.site))
	for _, r := range t.runners {
		e.view.StatusReceived(t.clock.Now(), r.status())
	}
	e.table = routing.NewTable(e.view.Snapshot(), nil)
	e.probe()
	return e
}

// probe reads the status of a random sample of runners at regular intervals.
func (e *entry) probe() {
	for range probeSample {
		e.applyStatus(e.trial.runners[e.trial.rng.IntN(len(e.trial.runners))].status())
	}
	e.trial.clock.After(probeInterval, e.probe)
}

func (e *entry) applyStatus(status wire.Status) {
	if e.view.StatusReceived(e.trial.clock.Now(), status) {
		e.table = e.table.WithMembers(e.view.Snapshot())
	}
}

// decidePlacement updates the placements based on the first entry's view.
func (t *trial) decidePlacement() {
	defer t.clock.After(decideInterval, t.decidePlacement)
	members := t.entries[0].view.Snapshot()
	problem := &placement.Problem{
		ListsRevision: 1, Current: t.placements, Demand: make(map[placement.ModelVersion]placement.Demand),
	}
	for i := range t.placements {
		problem.Demand[placement.ModelVersionOf(&t.placements[i])] = demandOf(members, &t.placements[i])
	}
	for i := range t.models {
		problem.Models = append(problem.Models, t.models[i].Model)
	}
	for _, agent := range members.Agents() {
		problem.Runners = append(problem.Runners, placement.Runner{
			ID: agent.ID, FailureDomain: agent.FailureDomain, Region: agent.Region,
			MemoryMiB: agent.Status.MemoryMiB, FreeMemoryMiB: agent.Status.FreeMemoryMiB, Models: agent.Status.Models,
		})
	}
	changes := placement.Decider{}.Decide(problem)
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		t.result.writes++
		t.storePlacement(change.Placement)
	}
	for _, e := range t.entries {
		e.table = routing.NewTable(e.view.Snapshot(), t.placements)
	}
}

// demandOf derives a model's demand from statuses in the same way as entries do: a
// replica is busy if four fifths of its slots are in use or requests are queued.
func demandOf(members *membership.Snapshot, known *wire.Placement) placement.Demand {
	var demand placement.Demand
	loaded := 0
	for _, permit := range known.Permits {
		agent, ok := members.Agent(permit.Runner)
		if !ok || permit.Revoked {
			continue
		}
		replica, _ := agent.Model(known.Model, known.Version)
		if replica.State != wire.ModelLoaded {
			continue
		}
		if 5*agent.Status.Running >= 4*agent.Status.Slots || replica.Queued > 0 {
			demand.BusyPermits++
		}
		if loaded == 0 || replica.WaitMillis < demand.WaitMillis {
			demand.WaitMillis = replica.WaitMillis
		}
		loaded++
	}
	return demand
}

func (t *trial) storePlacement(changed wire.Placement) {
	changed.Revision++
	for i := range t.placements {
		if placement.ModelVersionOf(&t.placements[i]) == placement.ModelVersionOf(&changed) {
			changed.Revision = t.placements[i].Revision + 1
			t.placements[i] = changed
			return
		}
	}
	t.placements = append(t.placements, changed)
}

func (t *trial) isPermitted(m *model, runner string) bool {
	for _, known := range t.placements {
		if known.Model != m.Name {
			continue
		}
		for _, permit := range known.Permits {
			if permit.Runner == runner && !permit.Revoked {
				return true
			}
		}
	}
	return false
}

// nextLoadStart returns the time at which the weight store starts the next load.
func (t *trial) nextLoadStart() time.Time {
	start := t.clock.Now()
	if t.nextFreeStart.After(start) {
		start = t.nextFreeStart
	}
	t.nextFreeStart = start.Add(time.Duration(float64(time.Second) / t.site.loadsPerSecond))
	return start
}

// countLoad counts a load, and a wake-up if no runner has the model.
func (t *trial) countLoad(m *model) {
	t.result.loads++
	for _, r := range t.runners {
		for _, rep := range r.replicas {
			if rep.model == m && rep.state != wire.ModelAbsent {
				return
			}
		}
	}
	t.result.wakeUps++
}

func (t *trial) must(err error) {
	if err != nil {
		panic(err)
	}
}

// attempt executes the routing decisions for one request.
type attempt struct {
	entry   *entry
	request *request
	// routingState is nil if the variant has no permits.
	routingState *routing.Attempt
}

func (e *entry) serve(q *request) {
	a := &attempt{entry: e, request: q}
	if !e.trial.variant.permits {
		a.send(e.trial.variant.choose(e, q), 0)
		return
	}
	m := &e.trial.models[q.model]
	a.routingState = routing.NewAttempt(routing.Request{
		RequestID: q.id, Idempotent: true, Deadline: q.deadline,
		Query: routing.Query{Model: m.Name, Version: m.Version, SpillMargin: routing.SpillMargin(e.trial.site.policy)},
	}, e.budget, xxhash.Sum64String(q.id))
	a.perform(a.routingState.Start(e.trial.clock.Now(), e.table))
}

func (a *attempt) perform(action routing.Action) {
	switch next := action.(type) {
	case routing.Send:
		for _, r := range a.entry.trial.runners {
			if r.id == next.Target.Agent {
				a.send(r, next.After)
			}
		}
	case routing.Fail:
		a.entry.trial.result.countRefusal(next.Refusal.Reason)
	}
}

func (a *attempt) send(r *runner, after time.Duration) {
	t := a.entry.trial
	t.clock.After(after+t.site.delay, func() {
		refusal := r.offer(a)
		if refusal != nil {
			a.complete(r, refusal)
			return
		}
		status := r.status()
		t.clock.After(t.site.delay, func() { a.entry.applyStatus(status) })
	})
}

// complete sends the outcome of an attempt and the runner's status to the entry.
func (a *attempt) complete(r *runner, refusal *wire.Refusal) {
	t := a.entry.trial
	status := r.status()
	t.clock.After(t.site.delay, func() {
		a.entry.applyStatus(status)
		switch {
		case refusal == nil:
		case a.routingState == nil:
			t.result.countRefusal(refusal.Reason)
		default:
			a.perform(a.routingState.Step(t.clock.Now(), routing.Refused{Refusal: *refusal}, a.entry.table))
		}
	})
}

// leastLoaded returns the least loaded runner that has the model according to the
// entry's view, or else the least loaded of all runners.
func leastLoaded(e *entry, q *request) *runner {
	var best *runner
	bestAbsent, bestLoad := true, 0
	for _, r := range e.trial.runners {
		agent, ok := e.view.Snapshot().Agent(r.id)
		if !ok {
			continue
		}
		replica, _ := agent.Model(e.trial.models[q.model].Name, e.trial.models[q.model].Version)
		absent := replica.State == wire.ModelAbsent
		load := agent.Status.Running + agent.Status.Queued
		if best == nil || bestAbsent && !absent || absent == bestAbsent && load < bestLoad {
			best, bestAbsent, bestLoad = r, absent, load
		}
	}
	return best
}

// perEntryRouting assigns each model to a runner that depends on the entry.
func perEntryRouting(e *entry, q *request) *runner {
	ids := make([]string, len(e.trial.runners))
	for i, r := range e.trial.runners {
		ids[i] = r.id
	}
	owner := membership.RendezvousOwner(e.trial.models[q.model].Name+"/"+string(rune('0'+e.index)), ids)
	for _, r := range e.trial.runners {
		if r.id == owner {
			return r
		}
	}
	return nil
}
