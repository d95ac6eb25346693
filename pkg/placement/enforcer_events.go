package placement

import "teaselgauge.example/teaselgauge/pkg/wire"

// EnforcerEvent is an input of a PermitEnforcer.
type EnforcerEvent interface{ enforcerEvent() }

// PlacementRead is a complete read of all placements from the key-value service
// that was started after EngineRead. An earlier read is ignored: as long as an
// earlier incarnation can send orders to the engine, it could unload a model and
// remove its permit after the read.
type PlacementRead struct {
	// Revision is the service's revision at the read.
	Revision   int64
	Placements []wire.Placement
}

// PlacementChanged is one placement at its revision, from a read of its key or a
// watch of the key-value service by this incarnation. An absent key is reported
// without permits and with the revision of the read.
type PlacementChanged struct {
	Placement wire.Placement
}

// PlacementRelayed is one placement that an entry relayed, possibly late.
type PlacementRelayed struct {
	Placement wire.Placement
}

// RelayedUpTo reports that an entry has relayed all placements up to a revision.
type RelayedUpTo struct {
	Revision int64
}

// EngineRead lists the models that the engine holds or may hold, once no earlier
// incarnation can send orders to it: they have terminated, or the engine refuses
// their fencing tokens, and their orders in flight have completed.
type EngineRead struct {
	Loaded []ModelVersion
}

// Unloaded reports that the engine confirmed that it doesn't hold the model, after
// the last load order for the model completed and under this incarnation's fencing
// token.
type Unloaded struct {
	Model ModelVersion
	// Epoch is that of the Unload action that this responds to; zero if the agent
	// evicted the model on its own.
	Epoch int64
}

// RemoveFailed reports that a RemovePermit wasn't applied or that its response was
// lost.
type RemoveFailed struct {
	Model ModelVersion
}

// Removed reports that a RemovePermit was applied, at the given revision.
type Removed struct {
	Model    ModelVersion
	Revision int64
}

func (PlacementRead) enforcerEvent()    {}
func (PlacementChanged) enforcerEvent() {}
func (PlacementRelayed) enforcerEvent() {}
func (RelayedUpTo) enforcerEvent()      {}
func (EngineRead) enforcerEvent()       {}
func (Unloaded) enforcerEvent()         {}
func (RemoveFailed) enforcerEvent()     {}
func (Removed) enforcerEvent()          {}

// EnforcerAction is an output of a PermitEnforcer.
type EnforcerAction interface{ enforcerAction() }

// Unload orders the removal of the model from accelerator memory: no further
// requests are admitted, those in flight complete, and the engine unloads the
// model. Unloaded is the response. It is also ordered for a model that isn't
// loaded, so that only an incarnation whose orders the engine still accepts can
// confirm.
type Unload struct {
	Model ModelVersion
	// Epoch is the epoch of the revoked permit; zero if the permit is gone.
	Epoch int64
}

// RemovePermit orders a compare-and-swap that removes the runner's revoked
// permit. Removed or RemoveFailed is the response.
type RemovePermit struct {
	Change Change
}

// ReadPlacement orders a read of one placement from the key-value service.
// PlacementChanged is the response.
type ReadPlacement struct {
	Model ModelVersion
}

func (Unload) enforcerAction()        {}
func (RemovePermit) enforcerAction()  {}
func (ReadPlacement) enforcerAction() {}
