package residency

import "teaselgauge.example/teaselgauge/pkg/wire"

// Placement describes what the runner can hold and what it is permitted to hold.
type Placement struct {
	// Revision is the placement's modification revision in the key-value service.
	Revision int64
	// Slots is the number of concurrent requests.
	Slots        int
	MiB          int64
	AdapterSlots int
	// PrefillNanosPerToken is the site's prefill time per prompt token in
	// nanoseconds; zero if it hasn't been measured yet.
	PrefillNanosPerToken int64
	// Models lists all models of the engine, including those without a permit.
	Models []PlacedModel
}

// PlacedModel is one of an engine's models with the runner's permit for it.
type PlacedModel struct {
	wire.EngineModel
	// Permit has rank zero if the runner has none.
	Permit wire.ModelPermit
}

// isPermitted reports whether the runner may hold the model.
func (p *PlacedModel) isPermitted() bool { return p.Permit.Rank > 0 }

// isKept reports whether the model stays loaded without requests.
func (p *PlacedModel) isKept() bool { return p.isPermitted() && p.Permit.Keep }

// NewPlacement combines an engine's models with the runner's permits from the
// placement.
func NewPlacement(engine *wire.Engine, placed *wire.RunnerPlacement) *Placement {
	placement := &Placement{
		Revision:             placed.Revision,
		PrefillNanosPerToken: placed.PrefillNanosPerToken,
		Slots:                engine.Slots,
		MiB:                  engine.MiB,
		AdapterSlots:         engine.AdapterSlots,
		Models:               make([]PlacedModel, 0, len(engine.Models)),
	}
	permits := make(map[string]wire.ModelPermit, len(placed.Permits))
	for _, permit := range placed.Permits {
		permits[permit.Model] = permit
	}
	for _, model := range engine.Models {
		placement.Models = append(placement.Models, PlacedModel{EngineModel: model, Permit: permits[model.Name]})
	}
	return placement
}
