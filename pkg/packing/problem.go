package packing

import (
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Locality tells how fast a runner can have a model loaded.
type Locality uint8

// The kinds of nearness, the nearest last.
const (
	Remote Locality = iota
	OnDisk
	InMemory
	Loaded
)

// Runner is a model runner as the deciding entry sees it.
type Runner struct {
	// Host is the ID of the host whose agent orders the runner.
	Host          string
	FailureDomain string
	// Locality holds the models that the runner has nearer than in the weight store.
	Locality map[string]Locality
}

// Problem is what Pack decides on: one service's engine and its runners.
type Problem struct {
	Service string
	Engine  *fleet.Engine
	// Runners are those that take new work, ordered by host.
	Runners []Runner
	// Replicas are the wanted replicas of the models that interactive requests ask
	// for now.
	Replicas map[string]int
	// Loads are the mean loads of these models.
	Loads map[string]ModelLoad
	// MaxRemoteLoads is how many replicas may wait for a load from the weight store
	// because the runners that have a model's weights near are overloaded.
	MaxRemoteLoads int
	// Current is the placement in force, or nil.
	Current *Placement
}

// LocalityOf reads a model's nearness from an agent's status.
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
