package placement

import (
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Problem is what a Decider decides on.
type Problem struct {
	// ListsRevision is the revision of the lists in force; zero means none, and
	// then nothing is decided.
	ListsRevision int64
	// Models are the listed model versions.
	Models []lists.Model
	// Current holds all stored placements, as read or watched completely.
	Current []wire.Placement
	Runners []Runner
	Demand  map[ModelVersion]Demand
	// Owns restricts the decision to a part of the model versions; nil means
	// all.
	Owns func(ModelVersion) bool
}

// Runner is a model runner as the deciding entry sees it.
type Runner struct {
	ID            string
	FailureDomain string
	Region        string
	// MemoryMiB is the accelerator memory; zero means not known yet.
	MemoryMiB     int64
	FreeMemoryMiB int64
	Models        []wire.ModelStatus
	// Leaving runners lose their permits.
	Leaving bool
	// Unreachable runners keep their permits, get none and are replaced while
	// the model's maximum allows it.
	Unreachable bool
	// Gone hosts lose their permits without a confirmation.
	Gone bool
}

// Demand is the present load of a model version.
type Demand struct {
	// WaitMillis is the expected wait of a new request, in milliseconds, at the
	// least busy replica.
	WaitMillis uint32
	// BusyPermits is the number of permits whose runners work at the model's
	// requests.
	BusyPermits int
}

// usable tells whether a runner may be granted permits.
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
