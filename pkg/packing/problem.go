package packing

import (
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Locality is where a runner has a model, which determines how fast it can be
// loaded.
type Locality uint8

// The localities in ascending order of loading speed.
const (
	Remote Locality = iota
	OnDisk
	InMemory
	Loaded
)

// Runner is a model runner as the deciding entry sees it.
type Runner struct {
	// Host is the ID of the host whose agent controls the runner.
	Host          string
	FailureDomain string
	// Software is the version of the runner's software.
	Software string
	// Locality maps the models that the runner has loaded or has a local copy of.
	// Models that only the weight store has are omitted.
	Locality map[string]Locality
}

// Problem is the input of Pack: one service's engine and its runners.
type Problem struct {
	Service string
	Engine  *fleet.Engine
	// Runners lists the runners that accept new requests, sorted by host.
	Runners []Runner
	// Replicas maps the interactive models to their wanted number of replicas.
	Replicas map[string]int
	// Loads maps the interactive models to their mean loads.
	Loads map[string]ModelLoad
	// MaxRemoteLoads limits the replicas that may wait for a load from the weight
	// store because the runners with a local copy of the weights are overloaded.
	MaxRemoteLoads int
	// Current is the active placement, or nil.
	Current *Placement
}

// LocalityOf returns a model's locality according to an agent's status.
func LocalityOf(model *wire.RunnerModel) Locality {
	switch {
	case model.State == wire.ModelLoaded || model.State == wire.ModelLoading:
		return Loaded
	case model.Tier == wire.CacheMemory:
		return InMemory
	case model.Tier == wire.CacheDisk:
		return OnDisk
	default:
		return Remote
	}
}
