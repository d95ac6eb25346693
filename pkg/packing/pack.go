package packing

import (
	"cmp"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// MaxPermits limits the permits of a model.
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

// keepByMoving frees memory for a model by moving another one of the same or a
// lower class, which may in turn move a further one.
func (p *packer) keepByMoving(it *item, moves int) bool {
	if moves == 0 {
		return false
	}
	it.moving = true
	defer func() { it.moving = false }()
	for _, b := range it.candidates {
		if slices.Contains(it.keptOn, b) {
			continue
		}
		for _, other := range b.ordered() {
			if other.moving || other.costClass < it.costClass || b.freeMiB+other.model.MiB < it.model.MiB {
				continue
			}
			p.drop(other, b)
			p.keep(it, b)
			if p.keepElsewhere(other, b, moves-1) {
				return true
			}
			p.drop(it, b)
			p.keep(other, b)
		}
	}
	return false
}

// keepElsewhere keeps a replica on another runner than the one it is moved from.
func (p *packer) keepElsewhere(it *item, left *bin, moves int) bool {
	best := p.best(it, func(b *bin) bool { return b != left && b.freeMiB >= it.model.MiB })
	if best != nil {
		p.keep(it, best)
		return true
	}
	return p.keepByMoving(it, moves)
}

// keepByEviction keeps a replica in place of batch models, on the runner where the
// fewest of them have to be evicted.
func (p *packer) keepByEviction(it *item) bool {
	var best *bin
	var bestRank binRank
	var bestDropped []*item
	for _, b := range it.candidates {
		if slices.Contains(it.keptOn, b) {
			continue
		}
		dropped, ok := p.evictionsFor(it, b)
		if !ok {
			continue
		}
		rank := rankOf(it, b)
		if best == nil || len(dropped) < len(bestDropped) ||
			(len(dropped) == len(bestDropped) && rank.compare(bestRank) < 0) {
			best = b
			bestRank = rank
			bestDropped = dropped
		}
	}
	if best == nil {
		return false
	}
	for _, other := range bestDropped {
		p.drop(other, best)
	}
	p.keep(it, best)
	return true
}

// evictionsFor returns the batch models to evict from a runner for another model.
func (p *packer) evictionsFor(it *item, b *bin) ([]*item, bool) {
	var dropped []*item
	freeMiB := b.freeMiB
	for _, other := range slices.Backward(b.ordered()) {
		if freeMiB >= it.model.MiB {
			break
		}
		if other.costClass == batch {
			dropped = append(dropped, other)
			freeMiB += other.model.MiB
		}
	}
	return dropped, freeMiB >= it.model.MiB
}

// binRank is a model's preference for a runner. Lower is better in each field, and
// the first field that differs decides.
type binRank struct {
	// sharedDomain counts the model's replicas in the runner's failure domain.
	sharedDomain int
	// blocked is 1 if a long load would delay the loads of adapters in demand.
	blocked int
	// notLoaded is 1 if the runner hasn't loaded the model.
	notLoaded int
	// busy is the runner's load by interactive requests, in multiples of
	// busyStep, and interactiveModels the number of those models. Both are set
	// for interactive models only.
	busy              int
	interactiveModels int
	// distance is 0 for a loaded model and grows as the model takes longer to load.
	distance int
	// blockedModels counts the models with a local copy on the runner, if a long
	// load of this model would delay their loads.
	blockedModels int
	// remaining is the memory that stays free.
	remaining int64
	host      string
}

func rankOf(it *item, b *bin) binRank {
	locality := b.Locality[it.model.Name]
	rank := binRank{distance: int(Loaded - locality), blockedModels: it.countBlockedModels(b), remaining: b.freeMiB - it.model.MiB, host: b.Host}
	if locality != Loaded {
		rank.notLoaded = 1
	}
	if locality == Remote {
		rank.blocked = boolToInt(b.activeAdapters)
	}
	if it.costClass == interactive {
		rank.busy = b.busySteps()
		rank.interactiveModels = b.interactive
	}
	for _, other := range it.keptOn {
		if other.FailureDomain == b.FailureDomain {
			rank.sharedDomain++
		}
	}
	return rank
}

func (a binRank) compare(b binRank) int {
	return cmp.Or(
		cmp.Compare(a.sharedDomain, b.sharedDomain),
		cmp.Compare(a.blocked, b.blocked),
		cmp.Compare(a.blockedModels, b.blockedModels),
		cmp.Compare(a.busy, b.busy),
		cmp.Compare(a.notLoaded, b.notLoaded),
		cmp.Compare(a.interactiveModels, b.interactiveModels),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.remaining, b.remaining),
		cmp.Compare(a.host, b.host),
	)
}
