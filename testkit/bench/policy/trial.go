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

// trial is one run.
type trial struct {
	site       deployment
	variant    variant
	clock      *virtual.Clock
	rng        *rand.Rand
	models     []model
	runners    []*runner
	entries    []*entry
	placements []wire.Placement
	nextStart  time.Time
	result     result
}

// entry is an entry host: what it knows and how it routes.
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
		t.decide()
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
	e.view.HostsListed(t.clock.Now(), hostsOf(t.site))
	for _, r := range t.runners {
		e.view.StatusReceived(t.clock.Now(), r.status())
	}
	e.table = routing.NewTable(e.view.Snapshot(), nil)
	e.probe()
	return e
}

// probe learns the status of a few runners from time to time.
func (e *entry) probe() {
	for range probeSample {
		e.learn(e.trial.runners[e.trial.rng.IntN(len(e.trial.runners))].status())
	}
	e.trial.clock.After(probeInterval, e.probe)
}

func (e *entry) learn(status wire.Status) {
	if e.view.StatusReceived(e.trial.clock.Now(), status) {
		e.table = e.table.WithMembers(e.view.Snapshot())
	}
}

// decide changes permits by what the first entry knows.
func (t *trial) decide() {
	defer t.clock.After(decideInterval, t.decide)
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
		t.store(change.Placement)
	}
	for _, e := range t.entries {
		e.table = routing.NewTable(e.view.Snapshot(), t.placements)
	}
}

// demandOf reads a model's demand from statuses as entries do: a replica is busy
// with four fifths of its slots taken or with requests waiting.
func demandOf(members *membership.Snapshot, known *wire.Placement) placement.Demand {
	var demand placement.Demand
	loaded := 0
	for _, permit := range known.Permits {
		agent, ok := members.Agent(permit.Runner)
		if !ok || permit.Revoked {
			continue
		}
		held, _ := agent.Model(known.Model, known.Version)
		if held.State != wire.ModelLoaded {
			continue
		}
		if 5*agent.Status.Running >= 4*agent.Status.Slots || held.Queued > 0 {
			demand.BusyPermits++
		}
		if loaded == 0 || held.WaitMillis < demand.WaitMillis {
			demand.WaitMillis = held.WaitMillis
		}
		loaded++
	}
	return demand
}

func (t *trial) store(changed wire.Placement) {
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

// storeStart returns when the weight store starts the next load.
func (t *trial) storeStart() time.Time {
	start := t.clock.Now()
	if t.nextStart.After(start) {
		start = t.nextStart
	}
	t.nextStart = start.Add(time.Duration(float64(time.Second) / t.site.loadsPerSecond))
	return start
}

// countLoad counts a load, as a wake-up if no runner has the model.
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

// attempt carries one request through the entry's decisions.
type attempt struct {
	entry   *entry
	request *request
	// machine is nil without permits.
	machine *routing.Attempt
}

func (e *entry) serve(q *request) {
	a := &attempt{entry: e, request: q}
	if !e.trial.variant.permits {
		a.send(e.trial.variant.choose(e, q), 0)
		return
	}
	m := &e.trial.models[q.model]
	a.machine = routing.NewAttempt(routing.Request{
		RequestID: q.id, Idempotent: true, Deadline: q.deadline,
		Query: routing.Query{Model: m.Name, Version: m.Version, SpillMargin: routing.SpillMargin(e.trial.site.policy)},
	}, e.budget, xxhash.Sum64String(q.id))
	a.perform(a.machine.Start(e.trial.clock.Now(), e.table))
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
		a.entry.trial.result.refuse(next.Refusal.Reason)
	}
}

func (a *attempt) send(r *runner, after time.Duration) {
	t := a.entry.trial
	t.clock.After(after+t.site.delay, func() {
		refusal := r.offer(a)
		if refusal != nil {
			a.answer(r, refusal)
			return
		}
		status := r.status()
		t.clock.After(t.site.delay, func() { a.entry.learn(status) })
	})
}

// answer brings the end of an attempt and the runner's status to the entry.
func (a *attempt) answer(r *runner, refusal *wire.Refusal) {
	t := a.entry.trial
	status := r.status()
	t.clock.After(t.site.delay, func() {
		a.entry.learn(status)
		switch {
		case refusal == nil:
		case a.machine == nil:
			t.result.refuse(refusal.Reason)
		default:
			a.perform(a.machine.Step(t.clock.Now(), routing.Refused{Refusal: *refusal}, a.entry.table))
		}
	})
}

// leastLoaded prefers the least loaded runner that has the model, by what the
// entry knows, and else the least loaded of all.
func leastLoaded(e *entry, q *request) *runner {
	var best *runner
	bestAbsent, bestLoad := true, 0
	for _, r := range e.trial.runners {
		agent, ok := e.view.Snapshot().Agent(r.id)
		if !ok {
			continue
		}
		held, _ := agent.Model(e.trial.models[q.model].Name, e.trial.models[q.model].Version)
		absent := held.State == wire.ModelAbsent
		load := agent.Status.Running + agent.Status.Queued
		if best == nil || bestAbsent && !absent || absent == bestAbsent && load < bestLoad {
			best, bestAbsent, bestLoad = r, absent, load
		}
	}
	return best
}

// ownChoice gives each model a home of the entry's own.
func ownChoice(e *entry, q *request) *runner {
	ids := make([]string, len(e.trial.runners))
	for i, r := range e.trial.runners {
		ids[i] = r.id
	}
	home := membership.RendezvousOwner(e.trial.models[q.model].Name+"/"+string(rune('0'+e.index)), ids)
	for _, r := range e.trial.runners {
		if r.id == home {
			return r
		}
	}
	return nil
}
