package packing

import (
	"cmp"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// bin is a runner during packing.
type bin struct {
	*Runner
	freeMiB int64
	// kept lists the models that are kept on this runner.
	kept []*item
	// interactive counts the kept interactive models, and busy is the expected
	// number of their running requests on this runner.
	interactive int
	busy        float64
	// activeAdapters indicates a kept interactive model with adapters. Loading
	// another model would delay the loads of its adapters.
	activeAdapters bool
	// standbys counts the models that only have a standby permit for this runner.
	standbys int
	// copies counts the models to be loaded for a local copy of their weights.
	copies int
}

// busyStep is the resolution for comparisons of runners by busy slots.
const busyStep = 2.0

func (b *bin) busySteps() int { return int(b.busy / busyStep) }

// ordered returns the kept models in placement order.
func (b *bin) ordered() []*item {
	ordered := slices.Clone(b.kept)
	slices.SortFunc(ordered, func(a, b *item) int { return cmp.Compare(a.position, b.position) })
	return ordered
}

// item is a model during packing.
type item struct {
	model *fleet.Model
	// position is the model's index in placement order.
	position  int
	costClass class
	// replicas is the number of replicas to keep.
	replicas int
	// load is the mean load of an interactive model, and busy the expected number
	// of running requests at each replica.
	load ModelLoad
	busy float64
	// candidates are the runners that may hold the model: those with a local copy
	// of its weights, or all if there are none.
	candidates []*bin
	keptOn     []*bin
	previous   *ModelPlacement
	// loaded indicates that the platform has loaded the model on its own. Before
	// the first placement there is no other information about the model's
	// importance.
	loaded bool
	// moving prevents cycles in a chain of moves.
	moving bool
}

// class orders models by the cost of their absence.
type class uint8

// The classes in descending order of cost.
const (
	// interactive models currently have interactive demand.
	interactive class = iota
	// batch models don't, so their requests can wait for a load.
	batch
)
