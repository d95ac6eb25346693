package main

import (
	"context"
	"fmt"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var runnerSizes = []int{275, 550, 1100, targetRunners}

// measurePlacement measures one decision step that has nothing to change, once for
// an entry that owns its share of the models and once for one that owns all
// models.
func measurePlacement(_ context.Context, report *report) error {
	all := &series{name: "placement: a step that owns all 120 models, processor", unit: "µs", per: "runner"}
	share := &series{name: "placement: a step that owns its share among 390 entries, processor", unit: "µs", per: "runner"}
	size := &series{name: "placement: all placements as frames", unit: "B", per: "runner"}
	table := &series{name: "routing: build the table of all placements, processor", unit: "µs", per: "runner"}
	choose := &series{name: "routing: choose a replica, processor", unit: "µs", per: "runner"}
	for _, runners := range runnerSizes {
		problem := makeProblem(runners)
		grantPermits(problem)
		converge(problem)
		all.add(runners, measureCost(func() { placement.Decider{}.Decide(problem) }).micros)
		problem.Owns = ownedBy("entry-0007")
		share.add(runners, measureCost(func() { placement.Decider{}.Decide(problem) }).micros)
		size.add(runners, frameBytes(&wire.Frame{Update: &wire.Update{Placements: problem.Current}}))
		measureTable(problem, runners, table, choose)
	}
	report.add(all, share, size, table, choose)
	return nil
}

func measureTable(problem *placement.Problem, runners int, build, choose *series) {
	members := fullView(start, makeHosts(runners+runners*targetEntries/targetRunners)).Snapshot()
	build.add(runners, measureCost(func() { routing.NewTable(members, problem.Current) }).micros)
	table := routing.NewTable(members, problem.Current)
	next := 0
	choose.add(runners, measureCost(func() {
		next++
		query := routing.Query{Model: modelName(next % targetModels), Version: "1"}
		table.Choose(start, query, nil, uint64(next))
	}).micros)
}

func ownedBy(entry string) func(placement.ModelVersion) bool {
	entries := make([]string, targetEntries)
	for i := range entries {
		entries[i] = fmt.Sprintf("entry-%04d", i)
	}
	return func(id placement.ModelVersion) bool {
		return membership.RendezvousOwner(id.String(), entries) == entry
	}
}

// writes counts the writes of changes to the key-value service.
type writes struct {
	rounds  int
	count   int
	bytes   int
	largest int
}

// converge applies decisions until there are none, then confirms unloads by removing
// the revoked permits, and repeats this until nothing changes.
func converge(problem *placement.Problem) writes {
	const maxRounds = 64
	var done writes
	for done.rounds < maxRounds {
		changes := placement.Decider{}.Decide(problem)
		if len(changes) == 0 && !removeRevokedPermits(problem, &done) {
			return done
		}
		done.rounds++
		for _, change := range changes {
			storePlacement(problem, change.Placement, &done)
		}
	}
	return done
}

func storePlacement(problem *placement.Problem, changed wire.Placement, done *writes) {
	value, err := placement.Encode(&changed)
	if err != nil {
		return
	}
	done.count++
	done.bytes += len(value)
	done.largest = max(done.largest, len(value))
	changed.Revision++
	for i := range problem.Current {
		if placement.ModelVersionOf(&problem.Current[i]) == placement.ModelVersionOf(&changed) {
			changed.Revision = problem.Current[i].Revision + 1
			problem.Current[i] = changed
			return
		}
	}
	problem.Current = append(problem.Current, changed)
}

// removeRevokedPermits removes each revoked permit with a separate write, as the
// agents do, and reports whether there were any.
func removeRevokedPermits(problem *placement.Problem, done *writes) bool {
	any := false
	for i := range problem.Current {
		for {
			permits := problem.Current[i].Permits
			revoked := slices.IndexFunc(permits, func(p wire.Permit) bool { return p.Revoked })
			if revoked < 0 {
				break
			}
			changed := problem.Current[i]
			changed.Permits = slices.Delete(slices.Clone(permits), revoked, revoked+1)
			storePlacement(problem, changed, done)
			any = true
		}
	}
	return any
}

// measureFaults counts the writes after simultaneous failures and restarts of
// hosts, at the target size.
func measureFaults(_ context.Context, report *report) error {
	failed := &series{name: "failure of hosts: writes until stable", unit: "writes", per: "host"}
	failedBytes := &series{name: "failure of hosts: bytes of these writes", unit: "B", per: "host"}
	failedRounds := &series{name: "failure of hosts: decision rounds", unit: "rounds", per: "host"}
	restarted := &series{name: "planned restart of hosts: writes until stable", unit: "writes", per: "host"}
	restartedBytes := &series{name: "planned restart of hosts: bytes of these writes", unit: "B", per: "host"}
	largest := &series{name: "largest placement value", unit: "B", per: "host"}
	for _, hosts := range []int{1, 10, 40, targetRunners / targetDomains} {
		problem := steadyProblem()
		for i := range hosts {
			problem.Runners[i*targetDomains].Unreachable = true
		}
		first := converge(problem)
		for i := range hosts {
			problem.Runners[i*targetDomains].Gone = true
		}
		second := converge(problem)
		failed.add(hosts, float64(first.count+second.count))
		failedBytes.add(hosts, float64(first.bytes+second.bytes))
		failedRounds.add(hosts, float64(first.rounds+second.rounds))
		largest.add(hosts, float64(max(first.largest, second.largest)))

		problem = steadyProblem()
		for i := range hosts {
			problem.Runners[i*targetDomains].Leaving = true
		}
		leaving := converge(problem)
		restarted.add(hosts, float64(leaving.count))
		restartedBytes.add(hosts, float64(leaving.bytes))
	}
	report.add(demandSeries()...)
	report.add(failed, failedBytes, failedRounds, restarted, restartedBytes, largest)
	return nil
}

func steadyProblem() *placement.Problem {
	problem := makeProblem(targetRunners)
	grantPermits(problem)
	converge(problem)
	return problem
}

// demandSeries counts the writes for one idle model whose demand rises to a number
// of busy replicas and falls back to zero.
func demandSeries() []*series {
	count := &series{name: "a model wakes up and falls idle: writes", unit: "writes", per: "replica"}
	bytes := &series{name: "a model wakes up and falls idle: bytes of these writes", unit: "B", per: "replica"}
	for _, replicas := range []int{2, 4, 9, 18} {
		problem := steadyProblem()
		activated := placement.ModelVersionOf(&problem.Current[0])
		problem.Current[0].Permits = nil
		problem.Demand[activated] = placement.Demand{}
		converge(problem)
		var total writes
		for busy := 1; busy < replicas; busy++ {
			problem.Demand[activated] = placement.Demand{BusyPermits: busy, WaitMillis: 2 * placement.DemandWaitMillis}
			total.add(converge(problem))
		}
		problem.Demand[activated] = placement.Demand{}
		total.add(converge(problem))
		count.add(replicas, float64(total.count))
		bytes.add(replicas, float64(total.bytes))
	}
	return []*series{count, bytes}
}

func (w *writes) add(more writes) {
	w.count += more.count
	w.bytes += more.bytes
}
