package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// PermitEnforcer keeps one incarnation of an agent to its runner's permits. It is not
// safe for concurrent use.
//
// An incarnation uses no permit before it has read the placements itself, after
// it became the engine's only writer: what an earlier one confirmed could still
// be on its way through entries as a standing permit. Until then it may go on
// serving what the engine holds. From then on revisions of a placement only go
// up, and a permit whose revocation was seen is never used again. A revoked
// permit is removed only after an unload that was ordered after the revocation
// was seen, as an incarnation that was paused may have been replaced meanwhile.
type PermitEnforcer struct {
	runner string
	// readRevision is the revision of the own read; zero before it. No placement
	// older than it is taken in.
	readRevision int64
	// relayedRevision is the revision up to which entries passed on everything.
	relayedRevision int64
	// engineRead tells whether the engine's state at the start is known.
	engineRead bool
	models     map[ModelVersion]*holding
}

// holding is the state of one model version at the runner.
type holding struct {
	placement wire.Placement
	// revokedEpoch is the highest epoch seen as revoked or removed.
	revokedEpoch int64
	// held tells that the engine holds the model or may hold it.
	held bool
	// unloading tells that Unload was ordered, for unloadEpoch, and not answered.
	unloading   bool
	unloadEpoch int64
	// confirmedEpoch is the highest revoked epoch whose unload was confirmed.
	confirmedEpoch int64
	// removing tells that RemovePermit was ordered and not answered.
	removing bool
}

// NewPermitEnforcer returns the holder of a new incarnation of a runner's agent.
func NewPermitEnforcer(runner string) *PermitEnforcer {
	return &PermitEnforcer{runner: runner, models: make(map[ModelVersion]*holding)}
}

// Ready tells whether permits may be used.
func (h *PermitEnforcer) Ready() bool {
	return h.readRevision > 0 && h.engineRead
}

// MayLoad tells whether the runner may load the model now, and by which epoch.
// A model that the engine holds already is in MayServe.
func (h *PermitEnforcer) MayLoad(model, version string) (epoch int64, ok bool) {
	id := ModelVersion{Model: model, Version: version}
	m := h.models[id]
	if m == nil || !h.Ready() || m.unloading {
		return 0, false
	}
	return h.permit(m)
}

// MayServe tells whether requests may be served by a replica that the engine
// holds: until its permit is known to be revoked.
func (h *PermitEnforcer) MayServe(model, version string) bool {
	m := h.models[ModelVersion{Model: model, Version: version}]
	return m != nil && m.held && !m.unloading
}

// BeginLoad is MayLoad followed by the start of the load, in one step: from then
// on the engine may hold the model, until Unloaded.
func (h *PermitEnforcer) BeginLoad(model, version string) (epoch int64, ok bool) {
	epoch, ok = h.MayLoad(model, version)
	if ok {
		h.models[ModelVersion{Model: model, Version: version}].held = true
	}
	return epoch, ok
}

// Revision returns the revision up to which all placements were taken in, to ask
// entries for newer ones. Single placements may be known at higher revisions.
func (h *PermitEnforcer) Revision() int64 {
	return max(h.readRevision, h.relayedRevision)
}

// Step takes one event and returns the actions that follow.
func (h *PermitEnforcer) Step(event EnforcerEvent) []EnforcerAction {
	switch e := event.(type) {
	case PlacementRead:
		return h.read(e)
	case PlacementChanged:
		return h.changed(e.Placement)
	case PlacementRelayed:
		return h.relayed(e.Placement)
	case RelayedUpTo:
		h.relayedUpTo(e.Revision)
	case EngineRead:
		return h.engine(e)
	case Unloaded:
		return h.unloaded(e)
	case RemoveFailed:
		return h.removeFailed(e.Model)
	case Removed:
		return h.removed(e)
	}
	return nil
}

func (h *PermitEnforcer) read(e PlacementRead) []EnforcerAction {
	if !h.engineRead || e.Revision <= h.readRevision {
		return nil
	}
	h.readRevision = e.Revision
	for i := range e.Placements {
		h.take(e.Placements[i])
	}
	for id, m := range h.models {
		if !slices.ContainsFunc(e.Placements, func(p wire.Placement) bool { return ModelVersionOf(&p) == id }) {
			h.takeInto(m, absentPlacement(id, e.Revision))
		}
	}
	actions := h.reviewAll()
	h.forgetUnused()
	return actions
}

// forgetUnused drops the models without permit and replica. It is allowed only
// after a complete read, whose revision then takes the place of theirs in
// telling late placements.
func (h *PermitEnforcer) forgetUnused() {
	for id, m := range h.models {
		named := permitOf(m.placement.Permits, h.runner) >= 0
		if !named && !m.held && m.placement.Revision <= h.readRevision {
			delete(h.models, id)
		}
	}
}

func absentPlacement(id ModelVersion, revision int64) wire.Placement {
	return wire.Placement{Model: id.Model, Version: id.Version, Revision: revision}
}

// changed takes a placement that this incarnation got from the key-value
// service. Only PlacementRead makes the holder ready.
func (h *PermitEnforcer) changed(placement wire.Placement) []EnforcerAction {
	if h.readRevision == 0 {
		return nil
	}
	h.take(placement)
	return h.reviewOne(ModelVersionOf(&placement))
}

func (h *PermitEnforcer) relayed(placement wire.Placement) []EnforcerAction {
	if placement.Revision <= h.readRevision {
		return nil
	}
	return h.changed(placement)
}

func (h *PermitEnforcer) relayedUpTo(revision int64) {
	if h.readRevision > 0 {
		h.relayedRevision = max(h.relayedRevision, revision)
	}
}

func (h *PermitEnforcer) engine(e EngineRead) []EnforcerAction {
	if h.engineRead {
		return nil
	}
	h.engineRead = true
	for _, id := range e.Held {
		h.model(id).held = true
	}
	return h.reviewAll()
}

func (h *PermitEnforcer) unloaded(e Unloaded) []EnforcerAction {
	m := h.model(e.Model)
	if !m.unloading {
		m.held = false
		return h.reviewOne(e.Model)
	}
	if e.Epoch != m.unloadEpoch {
		return nil
	}
	m.held = false
	m.unloading = false
	m.confirmedEpoch = max(m.confirmedEpoch, e.Epoch)
	return h.reviewOne(e.Model)
}

func (h *PermitEnforcer) removeFailed(id ModelVersion) []EnforcerAction {
	m := h.model(id)
	m.removing = false
	return []EnforcerAction{ReadPlacement{Model: id}}
}

func (h *PermitEnforcer) removed(e Removed) []EnforcerAction {
	m := h.model(e.Model)
	m.removing = false
	after := h.without(m.placement)
	after.Revision = e.Revision
	h.takeInto(m, after)
	return h.reviewOne(e.Model)
}

// take takes in a placement unless a newer one is known. Placements that never
// named the runner aren't kept.
func (h *PermitEnforcer) take(placement wire.Placement) {
	id := ModelVersionOf(&placement)
	if h.models[id] == nil && permitOf(placement.Permits, h.runner) < 0 {
		return
	}
	h.takeInto(h.model(id), placement)
}

func (h *PermitEnforcer) takeInto(m *holding, placement wire.Placement) {
	if placement.Revision < m.placement.Revision {
		return
	}
	h.noteRevoked(m, placement)
	m.placement = placement
}

// noteRevoked notes an epoch that the new placement revokes or lacks.
func (h *PermitEnforcer) noteRevoked(m *holding, placement wire.Placement) {
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

// permit returns the epoch of the runner's standing permit.
func (h *PermitEnforcer) permit(m *holding) (epoch int64, ok bool) {
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

func (h *PermitEnforcer) reviewAll() []EnforcerAction {
	ids := make([]ModelVersion, 0, len(h.models))
	for id := range h.models {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareModels)
	var actions []EnforcerAction
	for _, id := range ids {
		actions = append(actions, h.reviewOne(id)...)
	}
	return actions
}

// reviewOne returns what the present state of a model calls for.
func (h *PermitEnforcer) reviewOne(id ModelVersion) []EnforcerAction {
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
	case m.held:
		return m.unload(id, 0)
	case revoked && !m.removing:
		return h.remove(m)
	default:
		return nil
	}
}

// remove orders the removal of the runner's revoked permit.
func (h *PermitEnforcer) remove(m *holding) []EnforcerAction {
	m.removing = true
	change := Change{
		Placement:      h.without(m.placement),
		ExpectRevision: m.placement.Revision,
		Removed:        1,
	}
	return []EnforcerAction{RemovePermit{Change: change}}
}

func (m *holding) unload(id ModelVersion, epoch int64) []EnforcerAction {
	if m.unloading {
		return nil
	}
	m.unloading = true
	m.unloadEpoch = epoch
	return []EnforcerAction{Unload{Model: id, Epoch: epoch}}
}

// without returns a copy of a placement that lacks the runner's permit.
func (h *PermitEnforcer) without(placement wire.Placement) wire.Placement {
	placement.Permits = slices.DeleteFunc(slices.Clone(placement.Permits), func(permit wire.Permit) bool {
		return permit.Runner == h.runner
	})
	return placement
}

func (h *PermitEnforcer) model(id ModelVersion) *holding {
	m := h.models[id]
	if m == nil {
		m = &holding{}
		h.models[id] = m
	}
	return m
}

// StandingPermit is one standing permit of the runner.
type StandingPermit struct {
	Model ModelVersion
	// Keep tells that the replica stays loaded without requests.
	Keep bool
	// MemoryMiB is the accelerator memory of the replica; zero means not known.
	MemoryMiB int64
}

// StandingPermits returns the runner's standing permits.
func (h *PermitEnforcer) StandingPermits() []StandingPermit {
	if !h.Ready() {
		return nil
	}
	var kept []StandingPermit
	for id, m := range h.models {
		if _, ok := h.permit(m); !ok {
			continue
		}
		index := permitOf(m.placement.Permits, h.runner)
		kept = append(kept, StandingPermit{
			Model:     id,
			Keep:      m.placement.Permits[index].Keep,
			MemoryMiB: m.placement.MemoryMiB,
		})
	}
	return kept
}
