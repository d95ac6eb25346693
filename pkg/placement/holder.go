package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// PermitEnforcer enforces a runner's permits for one incarnation of its agent. It is
// not safe for concurrent use.
//
// An incarnation uses no permit before it has read the placements itself, after it
// became the engine's only writer: a permit whose removal was confirmed by an
// earlier incarnation could still arrive from a relaying entry as valid. Until then
// the incarnation may continue to serve what the engine holds. From then on the
// revisions of a placement only increase, and a permit that was seen as revoked is
// never used again. A revoked permit is removed only after an unload that was
// ordered after the revocation was seen, because an incarnation that was paused may
// have been replaced meanwhile.
type PermitEnforcer struct {
	runner string
	// readRevision is the revision of this incarnation's own read; zero before it.
	// Older placements are ignored.
	readRevision int64
	// relayedRevision is the revision up to which entries have relayed all changes.
	relayedRevision int64
	// engineRead indicates that the engine's initial state is known.
	engineRead bool
	models     map[ModelVersion]*modelState
}

// modelState is the state of one model version on the runner.
type modelState struct {
	placement wire.Placement
	// revokedEpoch is the highest epoch that was seen as revoked or removed.
	revokedEpoch int64
	// mayBeLoaded indicates that the engine holds the model or may hold it.
	mayBeLoaded bool
	// unloading indicates an outstanding Unload, which was ordered for unloadEpoch.
	unloading   bool
	unloadEpoch int64
	// confirmedEpoch is the highest revoked epoch whose unload was confirmed.
	confirmedEpoch int64
	// removing indicates an outstanding RemovePermit.
	removing bool
}

// NewPermitEnforcer returns the state for a new incarnation of a runner's agent.
func NewPermitEnforcer(runner string) *PermitEnforcer {
	return &PermitEnforcer{runner: runner, models: make(map[ModelVersion]*modelState)}
}

// Ready reports whether permits may be used.
func (h *PermitEnforcer) Ready() bool {
	return h.readRevision > 0 && h.engineRead
}

// MayLoad reports whether the runner may load the model now, and the epoch of its
// permit. For a model that the engine already holds see MayServe.
func (h *PermitEnforcer) MayLoad(model, version string) (epoch int64, ok bool) {
	id := ModelVersion{Model: model, Version: version}
	m := h.models[id]
	if m == nil || !h.Ready() || m.unloading {
		return 0, false
	}
	return h.permit(m)
}

// MayServe reports whether requests may be served by a loaded replica, which is the
// case until its permit is known to be revoked.
func (h *PermitEnforcer) MayServe(model, version string) bool {
	m := h.models[ModelVersion{Model: model, Version: version}]
	return m != nil && m.mayBeLoaded && !m.unloading
}

// BeginLoad combines MayLoad with the start of the load. The engine may hold the
// model from then on, until Unloaded.
func (h *PermitEnforcer) BeginLoad(model, version string) (epoch int64, ok bool) {
	epoch, ok = h.MayLoad(model, version)
	if ok {
		h.models[ModelVersion{Model: model, Version: version}].mayBeLoaded = true
	}
	return epoch, ok
}

// Revision returns the revision up to which all placements are known, for requests
// for newer ones to entries. Individual placements may be known at higher revisions.
func (h *PermitEnforcer) Revision() int64 {
	return max(h.readRevision, h.relayedRevision)
}

// Step processes one event and returns the resulting actions.
func (h *PermitEnforcer) Step(event EnforcerEvent) []EnforcerAction {
	switch e := event.(type) {
	case PlacementRead:
		return h.handlePlacementRead(e)
	case PlacementChanged:
		return h.handlePlacementChanged(e.Placement)
	case PlacementRelayed:
		return h.handlePlacementRelayed(e.Placement)
	case RelayedUpTo:
		h.handleRelayedUpTo(e.Revision)
	case EngineRead:
		return h.handleEngineRead(e)
	case Unloaded:
		return h.handleUnloaded(e)
	case RemoveFailed:
		return h.handleRemoveFailed(e.Model)
	case Removed:
		return h.handleRemoved(e)
	}
	return nil
}

func (h *PermitEnforcer) handlePlacementRead(e PlacementRead) []EnforcerAction {
	if !h.engineRead || e.Revision <= h.readRevision {
		return nil
	}
	h.readRevision = e.Revision
	for i := range e.Placements {
		h.applyPlacement(e.Placements[i])
	}
	for id, m := range h.models {
		if !slices.ContainsFunc(e.Placements, func(p wire.Placement) bool { return ModelVersionOf(&p) == id }) {
			h.updateState(m, absentPlacement(id, e.Revision))
		}
	}
	actions := h.reconcileAll()
	h.forgetUnused()
	return actions
}

// forgetUnused drops the models without permit and replica. It may only be called
// after a complete read, whose revision then serves to detect late placements of
// these models.
func (h *PermitEnforcer) forgetUnused() {
	for id, m := range h.models {
		named := permitOf(m.placement.Permits, h.runner) >= 0
		if !named && !m.mayBeLoaded && m.placement.Revision <= h.readRevision {
			delete(h.models, id)
		}
	}
}

func absentPlacement(id ModelVersion, revision int64) wire.Placement {
	return wire.Placement{Model: id.Model, Version: id.Version, Revision: revision}
}

// handlePlacementChanged applies a placement that this incarnation got from the
// key-value service. Only PlacementRead makes the runner's permits usable.
func (h *PermitEnforcer) handlePlacementChanged(placement wire.Placement) []EnforcerAction {
	if h.readRevision == 0 {
		return nil
	}
	h.applyPlacement(placement)
	return h.reconcile(ModelVersionOf(&placement))
}

func (h *PermitEnforcer) handlePlacementRelayed(placement wire.Placement) []EnforcerAction {
	if placement.Revision <= h.readRevision {
		return nil
	}
	return h.handlePlacementChanged(placement)
}

func (h *PermitEnforcer) handleRelayedUpTo(revision int64) {
	if h.readRevision > 0 {
		h.relayedRevision = max(h.relayedRevision, revision)
	}
}

func (h *PermitEnforcer) handleEngineRead(e EngineRead) []EnforcerAction {
	if h.engineRead {
		return nil
	}
	h.engineRead = true
	for _, id := range e.Loaded {
		h.model(id).mayBeLoaded = true
	}
	return h.reconcileAll()
}

func (h *PermitEnforcer) handleUnloaded(e Unloaded) []EnforcerAction {
	m := h.model(e.Model)
	if !m.unloading {
		m.mayBeLoaded = false
		return h.reconcile(e.Model)
	}
	if e.Epoch != m.unloadEpoch {
		return nil
	}
	m.mayBeLoaded = false
	m.unloading = false
	m.confirmedEpoch = max(m.confirmedEpoch, e.Epoch)
	return h.reconcile(e.Model)
}

func (h *PermitEnforcer) handleRemoveFailed(id ModelVersion) []EnforcerAction {
	m := h.model(id)
	m.removing = false
	return []EnforcerAction{ReadPlacement{Model: id}}
}

func (h *PermitEnforcer) handleRemoved(e Removed) []EnforcerAction {
	m := h.model(e.Model)
	m.removing = false
	after := h.withoutPermit(m.placement)
	after.Revision = e.Revision
	h.updateState(m, after)
	return h.reconcile(e.Model)
}

// applyPlacement applies a placement unless a newer one is known. Placements that
// never contained the runner aren't stored.
func (h *PermitEnforcer) applyPlacement(placement wire.Placement) {
	id := ModelVersionOf(&placement)
	if h.models[id] == nil && permitOf(placement.Permits, h.runner) < 0 {
		return
	}
	h.updateState(h.model(id), placement)
}

func (h *PermitEnforcer) updateState(m *modelState, placement wire.Placement) {
	if placement.Revision < m.placement.Revision {
		return
	}
	h.recordRevoked(m, placement)
	m.placement = placement
}

// recordRevoked records an epoch that the new placement revokes or no longer
// contains.
func (h *PermitEnforcer) recordRevoked(m *modelState, placement wire.Placement) {
	index := permitOf(placement.Permits, h.runner)
	if index >= 0 && placement.Permits[index].Revoked {
		m.revokedEpoch = max(m.revokedEpoch, placement.Permits[index].Epoch)
	}
	before := permitOf(m.placement.Permits, h.runner)
	if before < 0 {
		return
	}
	epoch := m.placement.Permits[before].Epoch
	if index < 0 || placement.Permits[index].Epoch != epoch {
		m.revokedEpoch = max(m.revokedEpoch, epoch)
	}
}

// permit returns the epoch of the runner's valid permit.
func (h *PermitEnforcer) permit(m *modelState) (epoch int64, ok bool) {
	index := permitOf(m.placement.Permits, h.runner)
	if index < 0 {
		return 0, false
	}
	permit := m.placement.Permits[index]
	if permit.Revoked || permit.Epoch <= m.revokedEpoch {
		return 0, false
	}
	return permit.Epoch, true
}

func (h *PermitEnforcer) reconcileAll() []EnforcerAction {
	ids := make([]ModelVersion, 0, len(h.models))
	for id := range h.models {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareModels)
	var actions []EnforcerAction
	for _, id := range ids {
		actions = append(actions, h.reconcile(id)...)
	}
	return actions
}

// reconcile returns the actions that the current state of a model requires.
func (h *PermitEnforcer) reconcile(id ModelVersion) []EnforcerAction {
	m := h.models[id]
	if m == nil || !h.Ready() {
		return nil
	}
	if _, ok := h.permit(m); ok {
		return nil
	}
	index := permitOf(m.placement.Permits, h.runner)
	revoked := index >= 0
	switch {
	case revoked && m.confirmedEpoch < m.placement.Permits[index].Epoch:
		return m.unload(id, m.placement.Permits[index].Epoch)
	case m.mayBeLoaded:
		return m.unload(id, 0)
	case revoked && !m.removing:
		return h.removePermit(m)
	default:
		return nil
	}
}

// removePermit orders the removal of the runner's revoked permit.
func (h *PermitEnforcer) removePermit(m *modelState) []EnforcerAction {
	m.removing = true
	change := Change{
		Placement:      h.withoutPermit(m.placement),
		ExpectRevision: m.placement.Revision,
		Removed:        1,
	}
	return []EnforcerAction{RemovePermit{Change: change}}
}

func (m *modelState) unload(id ModelVersion, epoch int64) []EnforcerAction {
	if m.unloading {
		return nil
	}
	m.unloading = true
	m.unloadEpoch = epoch
	return []EnforcerAction{Unload{Model: id, Epoch: epoch}}
}

// withoutPermit returns a copy of a placement without the runner's permit.
func (h *PermitEnforcer) withoutPermit(placement wire.Placement) wire.Placement {
	placement.Permits = slices.DeleteFunc(slices.Clone(placement.Permits), func(permit wire.Permit) bool {
		return permit.Runner == h.runner
	})
	return placement
}

func (h *PermitEnforcer) model(id ModelVersion) *modelState {
	m := h.models[id]
	if m == nil {
		m = &modelState{}
		h.models[id] = m
	}
	return m
}

// StandingPermit is a valid permit of the runner.
type StandingPermit struct {
	Model ModelVersion
	// Keep indicates that the replica stays loaded without requests.
	Keep bool
	// MemoryMiB is the accelerator memory of the replica; zero means unknown.
	MemoryMiB int64
}

// StandingPermits returns the runner's valid permits.
func (h *PermitEnforcer) StandingPermits() []StandingPermit {
	if !h.Ready() {
		return nil
	}
	var permits []StandingPermit
	for id, m := range h.models {
		if _, ok := h.permit(m); !ok {
			continue
		}
		index := permitOf(m.placement.Permits, h.runner)
		permits = append(permits, StandingPermit{
			Model:     id,
			Keep:      m.placement.Permits[index].Keep,
			MemoryMiB: m.placement.MemoryMiB,
		})
	}
	return permits
}
