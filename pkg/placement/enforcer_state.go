package placement

import "teaselgauge.example/teaselgauge/pkg/wire"

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

func (p *PermitEnforcer) model(id ModelVersion) *modelState {
	m := p.models[id]
	if m == nil {
		m = &modelState{}
		p.models[id] = m
	}
	return m
}

// applyPlacement applies a placement unless a newer one is known. Placements that
// never contained the runner aren't stored.
func (p *PermitEnforcer) applyPlacement(placement wire.Placement) {
	id := ModelVersionOf(&placement)
	if p.models[id] == nil && permitOf(placement.Permits, p.runner) < 0 {
		return
	}
	p.updateState(p.model(id), placement)
}

func (p *PermitEnforcer) updateState(m *modelState, placement wire.Placement) {
	if placement.Revision < m.placement.Revision {
		return
	}
	p.recordRevoked(m, placement)
	m.placement = placement
}

// recordRevoked records an epoch that the new placement revokes or no longer
// contains.
func (p *PermitEnforcer) recordRevoked(m *modelState, placement wire.Placement) {
	index := permitOf(placement.Permits, p.runner)
	if index >= 0 && placement.Permits[index].Revoked {
		m.revokedEpoch = max(m.revokedEpoch, placement.Permits[index].Epoch)
	}
	before := permitOf(m.placement.Permits, p.runner)
	if before < 0 {
		return
	}
	epoch := m.placement.Permits[before].Epoch
	if index < 0 || placement.Permits[index].Epoch != epoch {
		m.revokedEpoch = max(m.revokedEpoch, epoch)
	}
}
