package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// edit is a placement while it is being changed.
type edit struct {
	round *round
	id    ModelVersion
	// model is nil if it is no longer listed.
	model  *lists.Model
	change Change
}

func (r *round) newEdit(id ModelVersion, model *lists.Model, before *wire.Placement) *edit {
	e := &edit{round: r, id: id, model: model}
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

// placeKept removes and revokes what may not stay and grants what stays loaded.
func (e *edit) placeKept() {
	e.removeGone()
	e.revokeUnfit()
	e.revokeExcess()
	e.grant(e.model.MinReplicas)
	e.describe()
}

// placeOthers grants ahead of need and under demand, and revokes what is surplus.
func (e *edit) placeOthers(demand Demand) {
	e.revokeBlocked()
	wanted := e.round.base(e.model)
	if demand.WaitMillis > DemandWaitMillis {
		wanted = max(wanted, min(e.model.MaxReplicas, demand.BusyPermits+1))
	}
	e.grant(wanted)
	if demand.BusyPermits == 0 && demand.WaitMillis == 0 {
		e.revokeIdle(wanted)
	}
}

// describe copies from the lists what the runners need to know: the memory of a
// replica and which replicas stay loaded.
func (e *edit) describe() {
	if e.change.Placement.MemoryMiB != e.model.MemoryMiB {
		e.change.Placement.MemoryMiB = e.model.MemoryMiB
		e.change.Described++
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
	e.change.Described++
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

// revokeExcess revokes the permits above the model's maximum: those of runners
// without the model loaded first, and the least preferred first.
func (e *edit) revokeExcess() {
	for _, wantLoaded := range []bool{false, true} {
		for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
			if e.standing() <= e.model.MaxReplicas {
				return
			}
			if wantLoaded || !e.holds(i) {
				e.revoke(i)
			}
		}
	}
}

// revokeBlocked revokes the permit of a runner whose replicas that always stay
// loaded leave no room for the model, if another runner has room. One permit is
// moved at a time.
func (e *edit) revokeBlocked() {
	for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
		if !e.isUsable(i) || e.holds(i) || e.change.Placement.Permits[i].Keep {
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
// first, unless the runner holds the model. A surplus replica that is loaded
// stays until its agent drops it for idleness.
func (e *edit) revokeIdle(wanted int) {
	for i := len(e.change.Placement.Permits) - 1; i >= 0; i-- {
		if e.usable() <= wanted {
			return
		}
		if e.isUsable(i) && !e.holds(i) && !e.change.Placement.Permits[i].Keep {
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
func (e *edit) grant(wanted int) {
	missing := min(wanted-e.expected(), e.model.MaxReplicas-len(e.change.Placement.Permits))
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
// change has a higher expected revision than the one before, so epochs stay
// unique also after the newest permit was removed.
func (e *edit) nextEpoch() int64 {
	epoch := e.change.ExpectRevision<<epochShift + 1
	for _, permit := range e.change.Placement.Permits {
		epoch = max(epoch, permit.Epoch+1)
	}
	return epoch
}
