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
	// Permit is the rank of the runner's permit among those of the model, starting
	// at 1; zero if it has none.
	Permit int
	// Keep indicates that the model stays loaded without requests.
	Keep bool
	// Interactive indicates demand by requests that can't wait for a load.
	Interactive bool
	// Copy indicates that the runner should load the model once if it has no local
	// copy of the weights.
	Copy bool
	// Rate is in interactive requests per second at the time of the placement
	// decision.
	Rate float64
}

// isPermitted reports whether the runner may hold the model.
func (p *PlacedModel) isPermitted() bool { return p.Permit > 0 }

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
	permitted := make(map[string]*wire.ModelPermit, len(placed.Permits))
	for i := range placed.Permits {
		permitted[placed.Permits[i].Model] = &placed.Permits[i]
	}
	for _, model := range engine.Models {
		placedModel := PlacedModel{EngineModel: model}
		if permit := permitted[model.Name]; permit != nil {
			placedModel.Permit = permit.Rank
			placedModel.Keep = permit.Keep
			placedModel.Interactive = permit.Interactive
			placedModel.Copy = permit.Copy
			placedModel.Rate = permit.Rate
		}
		placement.Models = append(placement.Models, placedModel)
	}
	return placement
}
