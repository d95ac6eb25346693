package placement

import (
	"cmp"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// crowdFactor is the multiple of the mean number of permits from which a runner
	// counts as crowded.
	crowdFactor = 2
	// fillSteps is the resolution for comparisons of committed memory.
	fillSteps = 16
)

// tooSmall reports whether a model exceeds a runner's total memory.
func tooSmall(runner *candidate, model *lists.Model) bool {
	return runner.MemoryMiB > 0 && runner.MemoryMiB < model.MemoryMiB
}

// isFull reports whether the kept replicas leave too little memory for a model, or
// the memory isn't known.
func isFull(runner *candidate, model *lists.Model) bool {
	return runner.MemoryMiB < runner.residentMiB+model.MemoryMiB
}

// rank is a candidate's preference. Lower is better in each field, and the first
// field that differs decides.
type rank struct {
	// overfull is 1 if isFull holds.
	overfull int
	// sharedRegion and sharedDomain count the model's usable permits in the same
	// region and failure domain.
	sharedRegion int
	sharedDomain int
	// crowded is 1 if the runner has far more permits than the mean.
	crowded int
	// distance is that of the weights: 0 in memory, 1 on disk, 2 in the weight
	// store.
	distance int
	// occupied is 1 if the runner would have to evict another model first.
	occupied int
	// fill is the share of committed memory, in steps of 1/fillSteps.
	fill    int64
	permits int
	// tie is the inverted rendezvous score. It makes the choice stable, and
	// deciders with the same view agree.
	tie uint64
}

func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(a.overfull, b.overfull),
		cmp.Compare(a.sharedRegion, b.sharedRegion),
		cmp.Compare(a.sharedDomain, b.sharedDomain),
		cmp.Compare(a.crowded, b.crowded),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.occupied, b.occupied),
		cmp.Compare(a.fill, b.fill),
		cmp.Compare(a.permits, b.permits),
		cmp.Compare(a.tie, b.tie),
	)
}

// best returns the most suitable runner without a permit, or nil.
func (e *edit) best() *candidate {
	key := e.id.String()
	regions, domains := e.spread()
	tiers := e.round.tiersOf(e.id)
	var best *candidate
	var bestRank rank
	for _, runner := range e.round.usableRunners {
		if tooSmall(runner, e.model) || permitOf(e.change.Placement.Permits, runner.ID) >= 0 {
			continue
		}
		candidateRank := e.rank(runner)
		candidateRank.distance = int(wire.CacheMemory) - int(tiers[runner.ID])
		candidateRank.sharedRegion = regions[runner.Region]
		candidateRank.sharedDomain = domains[runner.FailureDomain]
		if best != nil && candidateRank.compare(bestRank) > 0 {
			continue
		}
		candidateRank.tie = ^membership.RendezvousScore(key, runner.ID)
		if best == nil || candidateRank.compare(bestRank) < 0 {
			best = runner
			bestRank = candidateRank
		}
	}
	return best
}

// rank doesn't set the spread, the distance and the tie break. Their zero values
// are the best.
func (e *edit) rank(runner *candidate) rank {
	result := rank{permits: runner.permits}
	if isFull(runner, e.model) {
		result.overfull = 1
	}
	if runner.permits >= e.round.crowded {
		result.crowded = 1
	}
	if runner.FreeMemoryMiB < e.model.MemoryMiB {
		result.occupied = 1
	}
	if runner.MemoryMiB > 0 {
		result.fill = fillSteps * (runner.committedMiB + e.model.MemoryMiB) / runner.MemoryMiB
	}
	return result
}

// spread counts the model's usable permits by region and by failure domain.
func (e *edit) spread() (regions, domains map[string]int) {
	regions = make(map[string]int)
	domains = make(map[string]int)
	for i, permit := range e.change.Placement.Permits {
		if e.isUsable(i) {
			runner := e.round.runners[permit.Runner]
			regions[runner.Region]++
			domains[runner.FailureDomain]++
		}
	}
	return regions, domains
}

// tiersOf returns the cache tiers of the runners that have a local copy of a
// model's weights. The index of all models is built at the first grant of a
// round, because most rounds grant nothing.
func (r *round) tiersOf(id ModelVersion) map[string]wire.CacheTier {
	if r.tiers == nil {
		r.tiers = make(map[ModelVersion]map[string]wire.CacheTier)
		for _, runner := range r.usableRunners {
			r.indexTiers(runner)
		}
	}
	return r.tiers[id]
}

func (r *round) indexTiers(runner *candidate) {
	for i := range runner.Models {
		status := &runner.Models[i]
		if status.Cache == wire.CacheRemote {
			continue
		}
		id := ModelVersion{Model: status.Model, Version: status.Version}
		if r.tiers[id] == nil {
			r.tiers[id] = make(map[string]wire.CacheTier)
		}
		r.tiers[id][runner.ID] = status.Cache
	}
}
