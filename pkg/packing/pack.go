package packing

import (
	"cmp"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// MaxPermits limits the permits of a model, apart from kept replicas and from what
	// several software versions need.
	MaxPermits = 4
	// initialMaxMoves and updateMaxMoves limit how many models are moved in a
	// chain to free memory for one: in the first placement, and in updates of an
	// active one.
	initialMaxMoves = 3
	updateMaxMoves  = 1
)

// Pack returns the placement of the problem's service. Replicas kept by the active
// placement stay where they are, unless a model with more demand needs the memory.
func Pack(problem *Problem) []ModelPlacement {
	p := newPacker(problem)
	for _, it := range p.items {
		p.retain(it)
	}
	for _, it := range p.items {
		for len(it.keptOn) < it.replicas && p.addReplica(it) {
			continue
		}
	}
	p.addRemoteReplicas()
	placed := make([]ModelPlacement, 0, len(p.items))
	for _, it := range p.items {
		placed = append(placed, p.place(it))
	}
	slices.SortFunc(placed, func(a, b ModelPlacement) int { return cmp.Compare(a.Model, b.Model) })
	return placed
}

// packer is the state of one call of Pack.
type packer struct {
	problem *Problem
	bins    []*bin
	byHost  map[string]*bin
	items   []*item
	// previous indexes the active placement by model.
	previous map[string]*ModelPlacement
}

func newPacker(problem *Problem) *packer {
	p := &packer{problem: problem, byHost: make(map[string]*bin, len(problem.Runners)), previous: problem.Current.byModel(problem.Service)}
	capacity := problem.Engine.MiB - adapterMemory(problem.Engine)
	for i := range problem.Runners {
		b := &bin{Runner: &problem.Runners[i], freeMiB: capacity}
		p.bins = append(p.bins, b)
		p.byHost[b.Host] = b
	}
	for i := range problem.Engine.Models {
		p.items = append(p.items, p.newItem(&problem.Engine.Models[i]))
	}
	slices.SortStableFunc(p.items, func(a, b *item) int {
		// Small models come first, so that as many models as possible are kept.
		return cmp.Or(cmp.Compare(a.costClass, b.costClass), cmp.Compare(boolToInt(!a.loaded), boolToInt(!b.loaded)),
			cmp.Compare(a.model.MiB, b.model.MiB), cmp.Compare(a.model.Name, b.model.Name))
	})
	for i, it := range p.items {
		it.position = i
	}
	return p
}

// adapterMemory returns the memory reserved for a runner's adapters.
func adapterMemory(engine *fleet.Engine) int64 {
	var largest int64
	for i := range engine.Models {
		largest = max(largest, engine.Models[i].AdapterMiB)
	}
	return largest * int64(engine.AdapterSlots)
}

func (p *packer) newItem(model *fleet.Model) *item {
	it := &item{
		model:     model,
		costClass: batch,
		previous:  p.previous[model.Name],
		replicas:  1,
	}
	it.candidates = p.candidatesFor(model.Name)
	replicas := p.problem.Replicas[model.Name]
	if p.problem.Current == nil {
		// Before any demand has been measured, a model that the platform has
		// loaded on several runners is assumed to have the highest demand.
		loaded := p.countLoaded(model.Name)
		it.loaded = loaded > 0
		if loaded > 1 {
			replicas = max(replicas, loaded)
		}
	}
	if replicas > 0 {
		it.costClass = interactive
		it.replicas = min(replicas, len(p.bins))
	}
	it.load = p.problem.Loads[model.Name]
	it.busy = it.load.Busy / float64(max(it.replicas, 1))
	return it
}

// candidatesFor returns the runners that may hold a model.
func (p *packer) candidatesFor(model string) []*bin {
	var local []*bin
	for _, b := range p.bins {
		if b.Locality[model] != Remote {
			local = append(local, b)
		}
	}
	if len(local) == 0 {
		return p.bins
	}
	return local
}

func (p *packer) countLoaded(model string) int {
	count := 0
	for _, b := range p.bins {
		if b.Locality[model] == Loaded {
			count++
		}
	}
	return count
}

// retain keeps the replicas of the active placement, up to the wanted number.
func (p *packer) retain(it *item) {
	if it.previous == nil {
		return
	}
	for _, permit := range it.previous.Permits {
		b := p.byHost[permit.Host]
		if permit.Keep && b != nil && len(it.keptOn) < it.replicas && b.freeMiB >= it.model.MiB {
			p.keep(it, b)
		}
	}
}

// addReplica keeps one more replica of a model. If necessary, it moves or evicts
// other models.
func (p *packer) addReplica(it *item) bool {
	if p.keepOnBest(it) {
		return true
	}
	moves := initialMaxMoves
	if p.problem.Current != nil {
		moves = updateMaxMoves
	}
	if p.keepByMoving(it, moves) {
		return true
	}
	return it.costClass == interactive && p.keepByEviction(it)
}

// keepOnBest keeps a replica on the best candidate with enough free memory.
func (p *packer) keepOnBest(it *item) bool {
	best := p.best(it, func(b *bin) bool { return b.freeMiB >= it.model.MiB })
	if best == nil {
		return false
	}
	p.keep(it, best)
	return true
}

// best returns the most suitable candidate without a replica of the model, or nil.
func (p *packer) best(it *item, fits func(*bin) bool) *bin {
	var best *bin
	var bestRank binRank
	for _, b := range it.candidates {
		if slices.Contains(it.keptOn, b) || !fits(b) {
			continue
		}
		rank := rankOf(it, b)
		if best == nil || rank.compare(bestRank) < 0 {
			best = b
			bestRank = rank
		}
	}
	return best
}

func (p *packer) keep(it *item, b *bin) {
	it.keptOn = append(it.keptOn, b)
	b.kept = append(b.kept, it)
	b.freeMiB -= it.model.MiB
	if it.costClass == interactive {
		b.interactive++
		b.busy += it.busy
	}
	b.activeAdapters = b.activeAdapters || (it.costClass == interactive && it.model.Adapters > 0)
}

func (p *packer) drop(it *item, b *bin) {
	it.keptOn = slices.DeleteFunc(it.keptOn, func(kept *bin) bool { return kept == b })
	b.kept = slices.DeleteFunc(b.kept, func(kept *item) bool { return kept == it })
	b.freeMiB += it.model.MiB
	if it.costClass == interactive {
		b.interactive--
		b.busy -= it.busy
	}
	b.activeAdapters = slices.ContainsFunc(b.kept, func(other *item) bool {
		return other.costClass == interactive && other.model.Adapters > 0
	})
}
