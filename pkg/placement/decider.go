package placement

import (
	"cmp"
	"slices"

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
		current[Of(&problem.Current[i])] = &problem.Current[i]
	}
	listed := make(map[ModelVersion]*lists.Model, len(problem.Models))
	for i := range problem.Models {
		model := &problem.Models[i]
		listed[ModelVersion{Model: model.Name, Version: model.Version}] = model
	}
	r := d.newRound(problem, current, listed)
	var changes []Change
	for i := range problem.Models {
		model := &problem.Models[i]
		id := ModelVersion{Model: model.Name, Version: model.Version}
		if problem.Owns == nil || problem.Owns(id) {
			changes = r.decideListed(changes, id, model, current[id], problem.Demand[id])
		}
	}
	for i := range problem.Current {
		id := Of(&problem.Current[i])
		if listed[id] == nil && (problem.Owns == nil || problem.Owns(id)) {
			changes = r.decideUnlisted(changes, &problem.Current[i])
		}
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
	for i, permit := range placement.Permits {
		if runner := r.runners[permit.Runner]; runner != nil {
			runner.add(model, i < model.MinReplicas)
		}
	}
}

func (c *candidate) add(model *lists.Model, resident bool) {
	c.permits++
	c.committedMiB += model.MemoryMiB
	if resident {
		c.residentMiB += model.MemoryMiB
	}
}

// base is the number of permits of a model without demand.
func (r *round) base(model *lists.Model) int {
	return max(model.MinReplicas, min(model.MaxReplicas, r.aheadOfNeed))
}

// edit is a placement while it is being changed.
type edit struct {
	round  *round
	id     ModelVersion
	before *wire.Placement
	change Change
}

func (r *round) newEdit(id ModelVersion, before *wire.Placement) *edit {
	e := &edit{round: r, id: id, before: before}
	e.change.Placement = wire.Placement{Model: id.Model, Version: id.Version}
	if before != nil {
		e.change.ExpectRevision = before.Revision
		e.change.Placement.Permits = slices.Clone(before.Permits)
		e.change.Placement.MemoryMiB = before.MemoryMiB
	}
	return e
}

func (e *edit) appendTo(changes []Change) []Change {
	if e.change.Granted+e.change.Revoked+e.change.Removed+e.change.Described == 0 {
		return changes
	}
	return append(changes, e.change)
}

func (r *round) decideUnlisted(changes []Change, before *wire.Placement) []Change {
	e := r.newEdit(Of(before), before)
	e.removeGone()
	for i := range e.change.Placement.Permits {
		e.revoke(i)
	}
	return e.appendTo(changes)
}

func (r *round) decideListed(changes []Change, id ModelVersion, model *lists.Model, before *wire.Placement, demand Demand) []Change {
	e := r.newEdit(id, before)
	e.removeGone()
	e.revokeUnfit(model)
	e.revokeExcess(model)
	wanted := r.base(model)
	if demand.WaitMillis > DemandWaitMillis {
		wanted = max(wanted, min(model.MaxReplicas, demand.BusyPermits+1))
	}
	e.grant(model, wanted)
	if demand.BusyPermits == 0 && demand.WaitMillis == 0 {
		e.revokeIdle(wanted)
	}
	e.describe(model)
	return e.appendTo(changes)
}

// describe copies from the lists what the runners need to know: the memory of a
// replica and which replicas stay loaded.
func (e *edit) describe(model *lists.Model) {
	if e.change.Placement.MemoryMiB != model.MemoryMiB {
		e.change.Placement.MemoryMiB = model.MemoryMiB
		e.change.Described++
	}
	kept := 0
	for i := range e.change.Placement.Permits {
		permit := &e.change.Placement.Permits[i]
		keep := e.isExpected(i) && kept < model.MinReplicas
		if keep {
			kept++
		}
		if permit.Keep != keep {
			permit.Keep = keep
			e.change.Described++
		}
	}
}

// removeGone removes the permits of hosts that are gone.
func (e *edit) removeGone() {
	kept := e.change.Placement.Permits[:0]
	for _, permit := range e.change.Placement.Permits {
		runner := e.round.runners[permit.Runner]
		if runner != nil && runner.Gone {
			e.change.Removed++
			continue
		}
		kept = append(kept, permit)
	}
	e.change.Placement.Permits = kept
}

func (e *edit) revoke(i int) {
	permit := &e.change.Placement.Permits[i]
	if permit.Revoked {
		return
	}
	permit.Revoked = true
	e.change.Revoked++
}

// revokeUnfit revokes the permits of runners that are leaving or too small.
func (e *edit) revokeUnfit(model *lists.Model) {
	for i, permit := range e.change.Placement.Permits {
		runner := e.round.runners[permit.Runner]
		if runner == nil {
			continue
		}
		if runner.Leaving || tooSmall(runner, model) {
			e.revoke(i)
		}
	}
}

// revokeExcess revokes the permits above the model's maximum: those of runners
// without the model loaded first, and the least preferred first.
func (e *edit) revokeExcess(model *lists.Model) {
	for _, wantLoaded := range []bool{false, true} {
		for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
			if e.standing() <= model.MaxReplicas {
				return
			}
			if wantLoaded || !e.holds(i) {
				e.revoke(i)
			}
		}
	}
}

// revokeIdle revokes usable permits above the wanted number, the least preferred
// first, unless the runner holds the model. A surplus replica that is loaded
// stays until its agent drops it for idleness.
func (e *edit) revokeIdle(wanted int) {
	for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
		if e.usable() <= wanted {
			return
		}
		if e.isUsable(i) && !e.holds(i) {
			e.revoke(i)
		}
	}
}

// standing counts the permits that aren't revoked.
func (e *edit) standing() int {
	count := 0
	for _, permit := range e.change.Placement.Permits {
		if !permit.Revoked {
			count++
		}
	}
	return count
}

// usable counts the permits on which a request may be served now.
func (e *edit) usable() int {
	count := 0
	for i := range e.change.Placement.Permits {
		if e.isUsable(i) {
			count++
		}
	}
	return count
}

func (e *edit) isUsable(i int) bool {
	permit := e.change.Placement.Permits[i]
	runner := e.round.runners[permit.Runner]
	return !permit.Revoked && runner != nil && runner.usable()
}

// expected counts the usable permits and those of runners that the deciding
// entry has not heard of yet. The latter aren't replaced: an entry that has just
// started knows few runners.
func (e *edit) expected() int {
	count := 0
	for i := range e.change.Placement.Permits {
		if e.isExpected(i) {
			count++
		}
	}
	return count
}

func (e *edit) isExpected(i int) bool {
	permit := e.change.Placement.Permits[i]
	unknown := e.round.runners[permit.Runner] == nil
	return e.isUsable(i) || (unknown && !permit.Revoked)
}

// holds tells whether the permit's runner reports the model as held in
// accelerator memory.
func (e *edit) holds(i int) bool {
	runner := e.round.runners[e.change.Placement.Permits[i].Runner]
	return runner != nil && runner.model(e.id).State != wire.ModelAbsent
}

// grant adds permits until the wanted number is expected to be usable. All permits count
// towards the maximum, also revoked and unreachable ones, as their replicas may
// still be loaded.
func (e *edit) grant(model *lists.Model, wanted int) {
	permits := e.change.Placement.Permits
	missing := min(wanted-e.expected(), model.MaxReplicas-len(permits))
	epoch := e.firstEpoch()
	for range missing {
		runner := e.best(model)
		if runner == nil {
			return
		}
		permit := wire.Permit{Runner: runner.ID, Epoch: epoch}
		resident := len(e.change.Placement.Permits) < model.MinReplicas
		runner.add(model, resident)
		e.change.Placement.Permits = append(e.change.Placement.Permits, permit)
		e.change.Granted++
		epoch++
	}
}

// firstEpoch returns an epoch above all that were granted before. Each
// successful change has a higher expected revision than the one before, so
// epochs stay unique also after the newest permit was removed.
func (e *edit) firstEpoch() int64 {
	epoch := e.change.ExpectRevision<<epochShift + 1
	if e.before == nil {
		return epoch
	}
	for _, permit := range e.before.Permits {
		epoch = max(epoch, permit.Epoch+1)
	}
	return epoch
}
