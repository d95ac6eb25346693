package placement

import (
	"cmp"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// IdlePermits is the number of permits of an idle model, limited by its
	// maximum.
	IdlePermits = 2
	// DemandWaitMillis is the expected wait, in milliseconds, above which a model
	// gets an additional permit.
	DemandWaitMillis = 500

	// epochShift reserves low bits for the permits that one change grants.
	epochShift = 16
)

// Decider computes the changes of placements that a Problem requires. Its decisions
// are stable: after its changes are made, the same problem yields none.
type Decider struct {
	// IdlePermits is the number of permits of an idle model. Zero selects the
	// constant IdlePermits.
	IdlePermits int
}

// round is the state of one decision.
type round struct {
	idlePermits int
	runners     map[string]*candidate
	// usableRunners lists the usable runners.
	usableRunners []*candidate
	// crowded is the number of permits from which a runner counts as crowded.
	crowded int
	// tiers is the index used by tiersOf; nil until it is built.
	tiers map[ModelVersion]map[string]wire.CacheTier
}

// candidate is a runner with its placed permits.
type candidate struct {
	*Runner
	permits int
	// committedMiB is the total memory of all permitted models.
	committedMiB int64
	// residentMiB is the total memory of the kept replicas.
	residentMiB int64
}

// Decide returns the required changes, at most one for each model version, in the
// order of the listed models followed by that of the stored placements.
func (d Decider) Decide(problem *Problem) []Change {
	if problem.ListsRevision == 0 {
		return nil
	}
	current := make(map[ModelVersion]*wire.Placement, len(problem.Current))
	for i := range problem.Current {
		current[ModelVersionOf(&problem.Current[i])] = &problem.Current[i]
	}
	listed := make(map[ModelVersion]*lists.Model, len(problem.Models))
	for i := range problem.Models {
		model := &problem.Models[i]
		listed[ModelVersion{Model: model.Name, Version: model.Version}] = model
	}
	r := d.newRound(problem, current, listed)
	return append(r.decideListed(problem, current), r.decideUnlisted(problem, listed)...)
}

// decideListed places the kept replicas of all models first, so that the others are
// placed in the remaining memory.
func (r *round) decideListed(problem *Problem, current map[ModelVersion]*wire.Placement) []Change {
	var edits []*edit
	for i := range problem.Models {
		model := &problem.Models[i]
		id := ModelVersion{Model: model.Name, Version: model.Version}
		if problem.owns(id) {
			e := r.newEdit(id, model, current[id])
			e.enforceMinimum()
			edits = append(edits, e)
		}
	}
	var changes []Change
	for _, e := range edits {
		e.enforceDemand(problem.Demand[e.id])
		changes = e.appendTo(changes)
	}
	return changes
}

func (r *round) decideUnlisted(problem *Problem, listed map[ModelVersion]*lists.Model) []Change {
	var changes []Change
	for i := range problem.Current {
		id := ModelVersionOf(&problem.Current[i])
		if listed[id] != nil || !problem.owns(id) {
			continue
		}
		e := r.newEdit(id, nil, &problem.Current[i])
		e.removeGone()
		for j := range e.change.Placement.Permits {
			e.revoke(j)
		}
		changes = e.appendTo(changes)
	}
	return changes
}

func (d Decider) newRound(problem *Problem, current map[ModelVersion]*wire.Placement, listed map[ModelVersion]*lists.Model) *round {
	r := &round{
		idlePermits: cmp.Or(d.IdlePermits, IdlePermits),
		runners:     make(map[string]*candidate, len(problem.Runners)),
	}
	candidates := make([]candidate, len(problem.Runners))
	for i := range problem.Runners {
		candidates[i].Runner = &problem.Runners[i]
		r.runners[problem.Runners[i].ID] = &candidates[i]
		if candidates[i].usable() {
			r.usableRunners = append(r.usableRunners, &candidates[i])
		}
	}
	wanted := 0
	for id, model := range listed {
		wanted += r.basePermits(model)
		if placement := current[id]; placement != nil {
			r.countPermits(model, placement)
		}
	}
	r.crowded = crowdFactor * (1 + wanted/max(1, len(r.usableRunners)))
	return r
}

// countPermits adds a placement's permits to their runners' totals.
func (r *round) countPermits(model *lists.Model, placement *wire.Placement) {
	for _, permit := range placement.Permits {
		runner := r.runners[permit.Runner]
		if runner == nil {
			continue
		}
		runner.permits++
		runner.committedMiB += model.MemoryMiB
		if permit.Keep {
			runner.residentMiB += model.MemoryMiB
		}
	}
}

// basePermits is the number of permits of a model without demand.
func (r *round) basePermits(model *lists.Model) int {
	return max(model.MinReplicas, min(model.MaxReplicas, r.idlePermits))
}
