package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// edit is a placement that is being changed.
type edit struct {
	round *round
	id    ModelVersion
	// model is nil if the model is no longer listed.
	model  *lists.Model
	change Change
}

func (r *round) newEdit(id ModelVersion, model *lists.Model, current *wire.Placement) *edit {
	e := &edit{round: r, id: id, model: model}
	e.change.Placement = wire.Placement{Model: id.Model, Version: id.Version}
	if current != nil {
		e.change.ExpectRevision = current.Revision
		e.change.Placement.Permits = slices.Clone(current.Permits)
		e.change.Placement.MemoryMiB = current.MemoryMiB
	}
	return e
}

func (e *edit) appendTo(changes []Change) []Change {
	if e.change.Granted+e.change.Revoked+e.change.Removed+e.change.MetadataChanges == 0 {
		return changes
	}
	return append(changes, e.change)
}

// enforceMinimum removes and revokes invalid permits and grants the kept replicas.
func (e *edit) enforceMinimum() {
	e.removeGone()
	e.revokeUnfit()
	e.revokeExcess()
	e.grant(e.model.MinReplicas)
	e.updateMetadata()
}

// enforceDemand grants permits for idle models and for demand, and revokes surplus
// ones.
func (e *edit) enforceDemand(demand Demand) {
	e.revokeBlocked()
	wanted := e.round.basePermits(e.model)
	if demand.WaitMillis > DemandWaitMillis {
		wanted = max(wanted, min(e.model.MaxReplicas, demand.BusyPermits+1))
	}
	e.grant(wanted)
	if demand.BusyPermits == 0 && demand.WaitMillis == 0 {
		e.revokeIdle(wanted)
	}
}

// updateMetadata copies from the lists what the runners need to know: the memory of
// a replica, and which replicas are kept.
func (e *edit) updateMetadata() {
	if e.change.Placement.MemoryMiB != e.model.MemoryMiB {
		e.change.Placement.MemoryMiB = e.model.MemoryMiB
		e.change.MetadataChanges++
	}
	kept := 0
	for i := range e.change.Placement.Permits {
		keep := e.isExpected(i) && kept < e.model.MinReplicas
		if keep {
			kept++
		}
		e.setKeep(i, keep)
	}
}

func (e *edit) setKeep(i int, keep bool) {
	permit := &e.change.Placement.Permits[i]
	if permit.Keep == keep {
		return
	}
	permit.Keep = keep
	e.change.MetadataChanges++
	runner := e.round.runners[permit.Runner]
	switch {
	case runner == nil:
	case keep:
		runner.residentMiB += e.model.MemoryMiB
	default:
		runner.residentMiB -= e.model.MemoryMiB
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
func (e *edit) revokeUnfit() {
	for i, permit := range e.change.Placement.Permits {
		runner := e.round.runners[permit.Runner]
		if runner == nil {
			continue
		}
		if runner.Leaving || tooSmall(runner, e.model) {
			e.revoke(i)
		}
	}
}

// revokeExcess revokes the permits above the model's maximum. Permits of runners
// that haven't loaded the model go first, the least preferred first.
func (e *edit) revokeExcess() {
	for _, wantLoaded := range []bool{false, true} {
		for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
			if e.countUnrevoked() <= e.model.MaxReplicas {
				return
			}
			if wantLoaded || !e.isLoaded(i) {
				e.revoke(i)
			}
		}
	}
}

// revokeBlocked revokes the permit of a runner whose kept replicas leave too little
// memory for the model, if another runner has enough. Only one permit is moved at a
// time.
func (e *edit) revokeBlocked() {
	for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
		if !e.isUsable(i) || e.isLoaded(i) || e.change.Placement.Permits[i].Keep {
			continue
		}
		if !isFull(e.round.runners[e.change.Placement.Permits[i].Runner], e.model) {
			continue
		}
		if other := e.best(); other != nil && !isFull(other, e.model) {
			e.revoke(i)
		}
		return
	}
}

// revokeIdle revokes usable permits above the wanted number, the least preferred
// first, except those of runners that hold the model. A loaded surplus replica
// remains until its agent evicts it for idleness.
func (e *edit) revokeIdle(wanted int) {
	for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
		if e.countUsable() <= wanted {
			return
		}
		if e.isUsable(i) && !e.isLoaded(i) && !e.change.Placement.Permits[i].Keep {
			e.revoke(i)
		}
	}
}

// countUnrevoked counts the permits that aren't revoked.
func (e *edit) countUnrevoked() int {
	count := 0
	for _, permit := range e.change.Placement.Permits {
		if !permit.Revoked {
			count++
		}
	}
	return count
}

// countUsable counts the permits whose runners can serve requests now.
func (e *edit) countUsable() int {
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

// countExpected counts the usable permits and those of runners that the deciding
// entry doesn't know yet. The latter aren't replaced, because an entry that has
// just started knows few runners.
func (e *edit) countExpected() int {
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

// isLoaded reports whether the permit's runner has the model in accelerator memory,
// or is loading or unloading it.
func (e *edit) isLoaded(i int) bool {
	runner := e.round.runners[e.change.Placement.Permits[i].Runner]
	return runner != nil && runner.model(e.id).State != wire.ModelAbsent
}

// grant adds permits until the wanted number is expected to be usable. All permits
// count towards the maximum, including revoked and unreachable ones, because their
// replicas may still be loaded.
func (e *edit) grant(wanted int) {
	missing := min(wanted-e.countExpected(), e.model.MaxReplicas-len(e.change.Placement.Permits))
	for range missing {
		runner := e.best()
		if runner == nil {
			return
		}
		runner.permits++
		runner.committedMiB += e.model.MemoryMiB
		permit := wire.Permit{Runner: runner.ID, Epoch: e.nextEpoch()}
		e.change.Placement.Permits = append(e.change.Placement.Permits, permit)
		e.change.Granted++
	}
}

// nextEpoch returns an epoch above all that were granted before. Each successful
// change has a higher expected revision than the previous one, so epochs stay
// unique even after the newest permit was removed.
func (e *edit) nextEpoch() int64 {
	epoch := e.change.ExpectRevision<<epochShift + 1
	for _, permit := range e.change.Placement.Permits {
		epoch = max(epoch, permit.Epoch+1)
	}
	return epoch
}
