package placement

import "teaselgauge.example/teaselgauge/pkg/wire"

// EnforcerEvent is an input of a Holder.
type EnforcerEvent interface{ holderEvent() }

// PlacementRead is a complete read of all placements from the key-value service
// that was started after EngineRead. An earlier one is ignored: while an earlier
// incarnation could still give the engine orders, it could also unload and
// remove a permit after the read.
type PlacementRead struct {
	// Revision is the service's revision of the read.
	Revision   int64
	Placements []wire.Placement
}

// PlacementChanged is one placement at its revision, from a read of its key or
// a watch of the key-value service by this incarnation. A key that was read and
// is absent is given with no permits and the revision of the read.
type PlacementChanged struct {
	Placement wire.Placement
}

// PlacementRelayed is one placement that an entry passed on, possibly late.
type PlacementRelayed struct {
	Placement wire.Placement
}

// RelayedUpTo tells that an entry has passed on all placements up to a revision.
type RelayedUpTo struct {
	Revision int64
}

// EngineRead gives the models that the engine holds or may hold, once no earlier
// incarnation can give it orders: they are dead, or the engine refuses their
// fencing numbers, and their orders in flight are settled.
type EngineRead struct {
	Held []ModelVersion
}

// Unloaded tells that the engine confirmed, after the last load order for the
// model was settled and under this incarnation's fencing number, that it doesn't
// hold the model.
type Unloaded struct {
	Model ModelVersion
	// Epoch is that of the Unload action that this answers; zero if the agent
	// dropped the model of its own accord.
	Epoch int64
}

// RemoveFailed tells that a RemovePermit wasn't made or that its answer was
// lost.
type RemoveFailed struct {
	Model ModelVersion
}

// Removed tells that a RemovePermit was made, at the given revision.
type Removed struct {
	Model    ModelVersion
	Revision int64
}

func (PlacementRead) holderEvent()    {}
func (PlacementChanged) holderEvent() {}
func (PlacementRelayed) holderEvent() {}
func (RelayedUpTo) holderEvent()      {}
func (EngineRead) holderEvent()       {}
func (Unloaded) holderEvent()         {}
func (RemoveFailed) holderEvent()     {}
func (Removed) holderEvent()          {}

// EnforcerAction is an output of a Holder.
type EnforcerAction interface{ holderAction() }

// Unload orders that the model leaves accelerator memory: no further request is
// admitted, those in flight end, the engine unloads. Unloaded answers it. It is
// also ordered for a model that isn't held, so that only an incarnation whose
// orders the engine still takes can confirm.
type Unload struct {
	Model ModelVersion
	// Epoch is the epoch of the revoked permit; zero if the permit is gone.
	Epoch int64
}

// RemovePermit orders a compare-and-swap that removes the runner's revoked
// permit. Removed or RemoveFailed answers it.
type RemovePermit struct {
	Change Change
}

// ReadPlacement orders a read of one placement from the key-value service.
// PlacementChanged answers it.
type ReadPlacement struct {
	Model ModelVersion
}

func (Unload) holderAction()        {}
func (RemovePermit) holderAction()  {}
func (ReadPlacement) holderAction() {}
