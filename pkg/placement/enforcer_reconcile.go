package placement

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// validPermit returns the runner's valid permit, if it has one.
func (p *PermitEnforcer) validPermit(m *modelState) (wire.Permit, bool) {
	index := permitOf(m.placement.Permits, p.runner)
	if index < 0 {
		return wire.Permit{}, false
	}
	permit := m.placement.Permits[index]
	if permit.Revoked || permit.Epoch <= m.revokedEpoch {
		return wire.Permit{}, false
	}
	return permit, true
}

func (p *PermitEnforcer) reconcileAll() []EnforcerAction {
	ids := make([]ModelVersion, 0, len(p.models))
	for id := range p.models {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareModels)
	var actions []EnforcerAction
	for _, id := range ids {
		actions = append(actions, p.reconcile(id)...)
	}
	return actions
}

// reconcile returns the actions that the current state of a model requires.
func (p *PermitEnforcer) reconcile(id ModelVersion) []EnforcerAction {
	m := p.models[id]
	if m == nil || !p.Ready() {
		return nil
	}
	if _, ok := p.validPermit(m); ok {
		return nil
	}
	index := permitOf(m.placement.Permits, p.runner)
	revoked := index >= 0
	switch {
	case revoked && m.confirmedEpoch < m.placement.Permits[index].Epoch:
		return m.unload(id, m.placement.Permits[index].Epoch)
	case m.mayBeLoaded:
		return m.unload(id, 0)
	case revoked && !m.removing:
		return p.removePermit(m)
	default:
		return nil
	}
}

// removePermit orders the removal of the runner's revoked permit.
func (p *PermitEnforcer) removePermit(m *modelState) []EnforcerAction {
	m.removing = true
	change := Change{
		Placement:      p.withoutPermit(m.placement),
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
func (p *PermitEnforcer) withoutPermit(placement wire.Placement) wire.Placement {
	placement.Permits = slices.DeleteFunc(slices.Clone(placement.Permits), func(permit wire.Permit) bool {
		return permit.Runner == p.runner
	})
	return placement
}
