package placement

import (
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Problem is the input of a Decider.
type Problem struct {
	// ListsRevision is the revision of the active lists; zero means none, in which
	// case nothing is decided.
	ListsRevision int64
	// Models are the listed model versions.
	Models []lists.Model
	// Current holds all stored placements from a complete read or watch.
	Current []wire.Placement
	Runners []Runner
	Demand  map[ModelVersion]Demand
	// Owns restricts the decision to some of the model versions; nil means all.
	Owns func(ModelVersion) bool
}

// Runner is a model runner as the deciding entry sees it.
type Runner struct {
	ID            string
	FailureDomain string
	Region        string
	// MemoryMiB is the accelerator memory; zero means unknown.
	MemoryMiB     int64
	FreeMemoryMiB int64
	Models        []wire.ModelStatus
	// Leaving runners have their permits revoked.
	Leaving bool
	// Unreachable runners keep their permits, get no new ones and are replaced as
	// far as the model's maximum allows.
	Unreachable bool
	// Gone hosts have their permits removed without a confirmation.
	Gone bool
}

// Demand is the current load of a model version.
type Demand struct {
	// WaitMillis is the expected wait of a new request at the least busy replica,
	// in milliseconds.
	WaitMillis uint32
	// BusyPermits is the number of permits whose runners are processing requests
	// for the model.
	BusyPermits int
}

// usable reports whether a runner may be granted permits.
func (r *Runner) usable() bool {
	return !r.Leaving && !r.Unreachable && !r.Gone
}

func (r *Runner) model(id ModelVersion) wire.ModelStatus {
	for i := range r.Models {
		status := &r.Models[i]
		if status.Model == id.Model && status.Version == id.Version {
			return *status
		}
	}
	return wire.ModelStatus{}
}

func (p *Problem) owns(id ModelVersion) bool {
	return p.Owns == nil || p.Owns(id)
}
