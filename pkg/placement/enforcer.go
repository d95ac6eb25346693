package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// PermitEnforcer enforces a runner's permits for one incarnation of its agent. It
// is not safe for concurrent use.
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

// NewPermitEnforcer returns the state for a new incarnation of a runner's agent.
func NewPermitEnforcer(runner string) *PermitEnforcer {
	return &PermitEnforcer{runner: runner, models: make(map[ModelVersion]*modelState)}
}

// Ready reports whether permits may be used.
func (p *PermitEnforcer) Ready() bool {
	return p.readRevision > 0 && p.engineRead
}

// MayLoad reports whether the runner may load the model now, and the epoch of its
// permit. For a model that the engine already holds see MayServe.
func (p *PermitEnforcer) MayLoad(model, version string) (epoch int64, ok bool) {
	id := ModelVersion{Model: model, Version: version}
	m := p.models[id]
	if m == nil || !p.Ready() || m.unloading {
		return 0, false
	}
	permit, ok := p.validPermit(m)
	return permit.Epoch, ok
}

// MayServe reports whether requests may be served by a loaded replica, which is the
// case until its permit is known to be revoked.
func (p *PermitEnforcer) MayServe(model, version string) bool {
	m := p.models[ModelVersion{Model: model, Version: version}]
	return m != nil && m.mayBeLoaded && !m.unloading
}

// BeginLoad combines MayLoad with the start of the load. The engine may hold the
// model from then on, until Unloaded.
func (p *PermitEnforcer) BeginLoad(model, version string) (epoch int64, ok bool) {
	epoch, ok = p.MayLoad(model, version)
	if ok {
		p.models[ModelVersion{Model: model, Version: version}].mayBeLoaded = true
	}
	return epoch, ok
}

// Revision returns the revision up to which all placements are known, for
// requests for newer ones to entries. Individual placements may be known at
// higher revisions.
func (p *PermitEnforcer) Revision() int64 {
	return max(p.readRevision, p.relayedRevision)
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
func (p *PermitEnforcer) StandingPermits() []StandingPermit {
	if !p.Ready() {
		return nil
	}
	var permits []StandingPermit
	for id, m := range p.models {
		if permit, ok := p.validPermit(m); ok {
			permits = append(permits, StandingPermit{Model: id, Keep: permit.Keep, MemoryMiB: m.placement.MemoryMiB})
		}
	}
	return permits
}

// Step processes one event and returns the resulting actions.
func (p *PermitEnforcer) Step(event EnforcerEvent) []EnforcerAction {
	switch e := event.(type) {
	case PlacementRead:
		return p.handlePlacementRead(e)
	case PlacementChanged:
		return p.handlePlacementChanged(e.Placement)
	case PlacementRelayed:
		return p.handlePlacementRelayed(e.Placement)
	case RelayedUpTo:
		p.handleRelayedUpTo(e.Revision)
	case EngineRead:
		return p.handleEngineRead(e)
	case Unloaded:
		return p.handleUnloaded(e)
	case RemoveFailed:
		return p.handleRemoveFailed(e.Model)
	case Removed:
		return p.handleRemoved(e)
	}
	return nil
}

func (p *PermitEnforcer) handlePlacementRead(e PlacementRead) []EnforcerAction {
	if !p.engineRead || e.Revision <= p.readRevision {
		return nil
	}
	p.readRevision = e.Revision
	for i := range e.Placements {
		p.applyPlacement(e.Placements[i])
	}
	for id, m := range p.models {
		if !slices.ContainsFunc(e.Placements, func(placement wire.Placement) bool { return ModelVersionOf(&placement) == id }) {
			p.updateState(m, absentPlacement(id, e.Revision))
		}
	}
	actions := p.reconcileAll()
	p.removeUnused()
	return actions
}

// removeUnused removes the models without permit and replica. It may only be called
// after a complete read, whose revision then serves to detect late placements of
// these models.
func (p *PermitEnforcer) removeUnused() {
	for id, m := range p.models {
		permitted := permitOf(m.placement.Permits, p.runner) >= 0
		if !permitted && !m.mayBeLoaded && m.placement.Revision <= p.readRevision {
			delete(p.models, id)
		}
	}
}

func absentPlacement(id ModelVersion, revision int64) wire.Placement {
	return wire.Placement{Model: id.Model, Version: id.Version, Revision: revision}
}

// handlePlacementChanged applies a placement that this incarnation got from the
// key-value service. Only PlacementRead makes the runner's permits usable.
func (p *PermitEnforcer) handlePlacementChanged(placement wire.Placement) []EnforcerAction {
	if p.readRevision == 0 {
		return nil
	}
	p.applyPlacement(placement)
	return p.reconcile(ModelVersionOf(&placement))
}

func (p *PermitEnforcer) handlePlacementRelayed(placement wire.Placement) []EnforcerAction {
	if placement.Revision <= p.readRevision {
		return nil
	}
	return p.handlePlacementChanged(placement)
}

func (p *PermitEnforcer) handleRelayedUpTo(revision int64) {
	if p.readRevision > 0 {
		p.relayedRevision = max(p.relayedRevision, revision)
	}
}

func (p *PermitEnforcer) handleEngineRead(e EngineRead) []EnforcerAction {
	if p.engineRead {
		return nil
	}
	p.engineRead = true
	for _, id := range e.Loaded {
		p.model(id).mayBeLoaded = true
	}
	return p.reconcileAll()
}

func (p *PermitEnforcer) handleUnloaded(e Unloaded) []EnforcerAction {
	m := p.model(e.Model)
	if !m.unloading {
		m.mayBeLoaded = false
		return p.reconcile(e.Model)
	}
	if e.Epoch != m.unloadEpoch {
		return nil
	}
	m.mayBeLoaded = false
	m.unloading = false
	m.confirmedEpoch = max(m.confirmedEpoch, e.Epoch)
	return p.reconcile(e.Model)
}

func (p *PermitEnforcer) handleRemoveFailed(id ModelVersion) []EnforcerAction {
	m := p.model(id)
	m.removing = false
	return []EnforcerAction{ReadPlacement{Model: id}}
}

func (p *PermitEnforcer) handleRemoved(e Removed) []EnforcerAction {
	m := p.model(e.Model)
	m.removing = false
	after := p.withoutPermit(m.placement)
	after.Revision = e.Revision
	p.updateState(m, after)
	return p.reconcile(e.Model)
}
