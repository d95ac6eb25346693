package placement

import (
	"cmp"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// AheadOfNeed is how many permits an idle model keeps, within its maximum.
	AheadOfNeed = 2
	// DemandWaitMillis is the expected wait, in milliseconds, above which a
	// model gets a further permit.
	DemandWaitMillis = 500

	// epochShift leaves room for the permits granted by one change.
	epochShift = 16
)

// Decider turns a Problem into changes of placements. Its decisions are stable:
// once its changes are made, the same problem gives none.
type Decider struct {
	// AheadOfNeed is how many permits an idle model keeps. Zero means the
	// constant AheadOfNeed.
	AheadOfNeed int
}

// round is the state of one decision.
type round struct {
	aheadOfNeed int
	runners     map[string]*candidate
	// order holds the usable runners.
	order []*candidate
	// crowded is the number of permits from which a runner counts as crowded.
	crowded int
	// tiers is the index behind tiersOf.
	tiers map[ModelVersion]map[string]wire.CacheTier
}

// candidate is a runner with what is placed on it.
type candidate struct {
	*Runner
	permits int
	// committedMiB is the memory that all permitted models would take together.
	committedMiB int64
	// residentMiB is the memory of the replicas that always stay loaded.
	residentMiB int64
}

// Decide returns the changes that the problem calls for, at most one for each
// model version, in the order of the listed models and then of the stored
// placements.
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

// decideListed places the replicas that always stay loaded before all others, so
// that the others find the room that is left.
func (r *round) decideListed(problem *Problem, current map[ModelVersion]*wire.Placement) []Change {
	var edits []*edit
	for i := range problem.Models {
		model := &problem.Models[i]
		id := ModelVersion{Model: model.Name, Version: model.Version}
		if problem.owns(id) {
			e := r.newEdit(id, model, current[id])
			e.placeKept()
			edits = append(edits, e)
		}
	}
	var changes []Change
	for _, e := range edits {
		e.placeOthers(problem.Demand[e.id])
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
		aheadOfNeed: cmp.Or(d.AheadOfNeed, AheadOfNeed),
		runners:     make(map[string]*candidate, len(problem.Runners)),
	}
	candidates := make([]candidate, len(problem.Runners))
	for i := range problem.Runners {
		candidates[i].Runner = &problem.Runners[i]
		r.runners[problem.Runners[i].ID] = &candidates[i]
		if candidates[i].usable() {
			r.order = append(r.order, &candidates[i])
		}
	}
	wanted := 0
	for id, model := range listed {
		wanted += r.base(model)
		if placement := current[id]; placement != nil {
			r.countPermits(model, placement)
		}
	}
	r.crowded = crowdFactor * (1 + wanted/max(1, len(r.order)))
	return r
}

// countPermits adds a placement's permits to the load of their runners.
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

// base is the number of permits of a model without demand.
func (r *round) base(model *lists.Model) int {
	return max(model.MinReplicas, min(model.MaxReplicas, r.aheadOfNeed))
}
