package residency

import "teaselgauge.example/teaselgauge/pkg/wire"

// Placement is what a Manager goes by: what its runner can hold, and may.
type Placement struct {
	// Revision is the key-value service's modification revision of the placement.
	Revision int64
	// Slots is how many requests run at once.
	Slots        int
	MiB          int64
	AdapterSlots int
	// TokenNanos is how long a runner of the site takes to read a token of a prompt, in
	// nanoseconds; zero if nobody has learned it.
	TokenNanos int64
	// Models are all models of the engine, also those that the runner may not
	// hold.
	Models []PlacedModel
}

// PlacedModel is one of an engine's models with the runner's permit for it.
type PlacedModel struct {
	wire.EngineModel
	// Permit is the runner's place among the permits of the model, from 1 on; zero
	// if it has none.
	Permit int
	// Keep tells that the runner holds the model without requests.
	Keep bool
	// Interactive tells that the model is asked for by requests that can't wait
	// for a load.
	Interactive bool
	// Copy tells that the runner loads the model once if it has no copy of the
	// weights.
	Copy bool
	// Rate is in interactive requests a second, as it was when the placement was
	// decided.
	Rate float64
}

// isPermitted tells whether the runner may hold the model.
func (p *PlacedModel) isPermitted() bool { return p.Permit > 0 }

// NewPlan returns the plan that a placement's permits make for a runner of an
// engine.
func NewPlan(engine *wire.Engine, placed *wire.RunnerPlacement) *Placement {
	plan := &Placement{
		Revision:     placed.Revision,
		TokenNanos:   placed.PrefillNanosPerToken,
		Slots:        engine.Slots,
		MiB:          engine.MiB,
		AdapterSlots: engine.AdapterSlots,
		Models:       make([]PlacedModel, 0, len(engine.Models)),
	}
	permitted := make(map[string]*wire.ModelPermit, len(placed.Permits))
	for i := range placed.Permits {
		permitted[placed.Permits[i].Model] = &placed.Permits[i]
	}
	for _, model := range engine.Models {
		planned := PlacedModel{EngineModel: model}
		if permit := permitted[model.Name]; permit != nil {
			planned.Permit = permit.Rank
			planned.Keep = permit.Keep
			planned.Interactive = permit.Interactive
			planned.Copy = permit.Copy
			planned.Rate = permit.Rate
		}
		plan.Models = append(plan.Models, planned)
	}
	return plan
}
