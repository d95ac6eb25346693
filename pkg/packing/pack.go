package packing

import (
	"cmp"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// MaxPermits bounds the permits of a model.
	MaxPermits = 4
	// firstMoves and laterMoves bound the models that move in turn to make room
	// for one: in the first placement, and in one that is in force already.
	firstMoves = 3
	laterMoves = 1
)

// Pack returns the placement of the problem's service. What the placement in
// force keeps stays where it is, unless a model that is asked for more needs the
// room.
func Pack(problem *Problem) []ModelPlacement {
	p := newPacker(problem)
	for _, it := range p.items {
		p.retain(it)
	}
	for _, it := range p.items {
		for len(it.keep) < it.replicas && p.provide(it) {
			continue
		}
	}
	p.provideRemote()
	placed := make([]ModelPlacement, 0, len(p.items))
	for _, it := range p.items {
		placed = append(placed, p.place(it))
	}
	slices.SortFunc(placed, func(a, b ModelPlacement) int { return cmp.Compare(a.Model, b.Model) })
	return placed
}

// bin is a runner while it is packed.
type bin struct {
	*Runner
	free int64
	// kept are the models that are kept here.
	kept []*item
	// hot counts those that interactive requests ask for, and busy is the number of
	// their requests that are expected to run here.
	hot  int
	busy float64
	// adapters tells that a kept model is in demand and has adapters. A load of
	// another model would hold their loads up.
	adapters bool
	// spares counts the models that have a permit here without being kept.
	spares int
	// copies counts the models that are to be loaded for a copy of their weights.
	copies int
}

// busyStep is the difference in busy slots from which one runner counts as busier
// than another.
const busyStep = 2.0

func (b *bin) busySteps() int { return int(b.busy / busyStep) }

// ordered returns the kept models in the order in which they are placed.
func (b *bin) ordered() []*item {
	ordered := slices.Clone(b.kept)
	slices.SortFunc(ordered, func(a, b *item) int { return cmp.Compare(a.position, b.position) })
	return ordered
}

// item is a model while it is placed.
type item struct {
	model *fleet.Model
	// position is the model's place in the order in which models are placed.
	position int
	rank     class
	// replicas is how many are to be kept.
	replicas int
	// load is the mean load of a hot model, and busy the number of requests that are
	// expected to run at each replica.
	load ModelLoad
	busy float64
	// choices are the runners that may hold the model: those that have its weights
	// near, or all if none has.
	choices []*bin
	keep    []*bin
	before  *ModelPlacement
	// held tells that the platform has placed the model itself, which is all that
	// is known of its importance before there is a placement.
	held bool
	// moving guards against moving a model in a circle.
	moving bool
}

// class orders models by what their absence costs.
type class uint8

// The classes, the dearest first.
const (
	// hot models are asked for by interactive requests now.
	hot class = iota
	// patient models aren't, so that they can wait for a load.
	patient
)

// packer is the state of one Pack.
type packer struct {
	problem *Problem
	bins    []*bin
	byHost  map[string]*bin
	items   []*item
	// before indexes the placement in force by model.
	before map[string]*ModelPlacement
}

func newPacker(problem *Problem) *packer {
	p := &packer{problem: problem, byHost: make(map[string]*bin, len(problem.Runners)), before: problem.Current.byModel(problem.Service)}
	capacity := problem.Engine.MiB - adapterRoom(problem.Engine)
	for i := range problem.Runners {
		b := &bin{Runner: &problem.Runners[i], free: capacity}
		p.bins = append(p.bins, b)
		p.byHost[b.Host] = b
	}
	for i := range problem.Engine.Models {
		p.items = append(p.items, p.newItem(&problem.Engine.Models[i]))
	}
	slices.SortStableFunc(p.items, func(a, b *item) int {
		// Small models first, so that as many as possible are kept.
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(order(!a.held), order(!b.held)),
			cmp.Compare(a.model.MiB, b.model.MiB), cmp.Compare(a.model.Name, b.model.Name))
	})
	for i, it := range p.items {
		it.position = i
	}
	return p
}

// adapterRoom is the memory that a runner's adapters may take.
func adapterRoom(engine *fleet.Engine) int64 {
	var largest int64
	for i := range engine.Models {
		largest = max(largest, engine.Models[i].AdapterMiB)
	}
	return largest * int64(engine.AdapterSlots)
}

func (p *packer) newItem(model *fleet.Model) *item {
	it := &item{
		model:    model,
		rank:     patient,
		before:   p.before[model.Name],
		replicas: 1,
	}
	it.choices = p.choicesFor(model.Name)
	replicas := p.problem.Replicas[model.Name]
	if p.problem.Current == nil {
		// Before any demand is known, a model that the platform has placed on
		// several runners is expected to be asked for most.
		held := p.heldBy(model.Name)
		it.held = held > 0
		if held > 1 {
			replicas = max(replicas, held)
		}
	}
	if replicas > 0 {
		it.rank = hot
		it.replicas = min(replicas, len(p.bins))
	}
	it.load = p.problem.Loads[model.Name]
	it.busy = it.load.Busy / float64(max(it.replicas, 1))
	return it
}

// choicesFor returns the runners that may hold a model.
func (p *packer) choicesFor(model string) []*bin {
	var near []*bin
	for _, b := range p.bins {
		if b.Locality[model] != Remote {
			near = append(near, b)
		}
	}
	if len(near) == 0 {
		return p.bins
	}
	return near
}

func (p *packer) heldBy(model string) int {
	count := 0
	for _, b := range p.bins {
		if b.Locality[model] == Loaded {
			count++
		}
	}
	return count
}

// retain keeps what the placement in force keeps, up to the wanted replicas.
func (p *packer) retain(it *item) {
	if it.before == nil {
		return
	}
	for _, permit := range it.before.Permits {
		b := p.byHost[permit.Host]
		if permit.Keep && b != nil && len(it.keep) < it.replicas && b.free >= it.model.MiB {
			p.keep(it, b)
		}
	}
}

// provide keeps one more replica of a model, and moves or drops others for it if
// it must.
func (p *packer) provide(it *item) bool {
	if p.keepOne(it) {
		return true
	}
	moves := firstMoves
	if p.problem.Current != nil {
		moves = laterMoves
	}
	if p.keepByMoving(it, moves) {
		return true
	}
	return it.rank == hot && p.keepByDropping(it)
}

// keepOne keeps a replica on the best runner that has room, and has the weights
// near if any runner has.
func (p *packer) keepOne(it *item) bool {
	best := p.best(it, func(b *bin) bool { return b.free >= it.model.MiB })
	if best == nil {
		return false
	}
	p.keep(it, best)
	return true
}

// best returns the most suitable runner without a replica of the model, or nil.
func (p *packer) best(it *item, fits func(*bin) bool) *bin {
	var best *bin
	var bestRank binRank
	for _, b := range it.choices {
		if slices.Contains(it.keep, b) || !fits(b) {
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
	it.keep = append(it.keep, b)
	b.kept = append(b.kept, it)
	b.free -= it.model.MiB
	if it.rank == hot {
		b.hot++
		b.busy += it.busy
	}
	b.adapters = b.adapters || (it.rank == hot && it.model.Adapters > 0)
}

func (p *packer) unkeep(it *item, b *bin) {
	it.keep = slices.DeleteFunc(it.keep, func(kept *bin) bool { return kept == b })
	b.kept = slices.DeleteFunc(b.kept, func(kept *item) bool { return kept == it })
	b.free += it.model.MiB
	if it.rank == hot {
		b.hot--
		b.busy -= it.busy
	}
	b.adapters = slices.ContainsFunc(b.kept, func(other *item) bool {
		return other.rank == hot && other.model.Adapters > 0
	})
}

// keepByMoving makes room for a model by moving another one that is worth no
// more, which may move a further one in turn.
func (p *packer) keepByMoving(it *item, moves int) bool {
	if moves == 0 {
		return false
	}
	it.moving = true
	defer func() { it.moving = false }()
	for _, b := range it.choices {
		if slices.Contains(it.keep, b) {
			continue
		}
		for _, other := range b.ordered() {
			if other.moving || other.rank < it.rank || b.free+other.model.MiB < it.model.MiB {
				continue
			}
			p.unkeep(other, b)
			p.keep(it, b)
			if p.keepElsewhere(other, b, moves-1) {
				return true
			}
			p.unkeep(it, b)
			p.keep(other, b)
		}
	}
	return false
}

// keepElsewhere keeps a replica on another runner than the one that it left.
func (p *packer) keepElsewhere(it *item, left *bin, moves int) bool {
	best := p.best(it, func(b *bin) bool { return b != left && b.free >= it.model.MiB })
	if best != nil {
		p.keep(it, best)
		return true
	}
	return p.keepByMoving(it, moves)
}

// keepByDropping keeps a replica in the place of patient models, where fewest of
// them have to go.
func (p *packer) keepByDropping(it *item) bool {
	var best *bin
	var bestRank binRank
	var bestDropped []*item
	for _, b := range it.choices {
		if slices.Contains(it.keep, b) {
			continue
		}
		dropped, ok := p.dropsFor(it, b)
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
		p.unkeep(other, best)
	}
	p.keep(it, best)
	return true
}

// dropsFor returns the patient models that must leave a runner for another one.
func (p *packer) dropsFor(it *item, b *bin) ([]*item, bool) {
	var dropped []*item
	free := b.free
	for _, other := range slices.Backward(b.ordered()) {
		if free >= it.model.MiB {
			break
		}
		if other.rank == patient {
			dropped = append(dropped, other)
			free += other.model.MiB
		}
	}
	return dropped, free >= it.model.MiB
}

// binRank is a runner's order of preference for a model; lower is better in each
// field, and the first that differs decides.
type binRank struct {
	// sharedDomain counts the model's replicas in the runner's failure domain.
	sharedDomain int
	// blocked: a long load would hold up the loads of adapters in demand.
	blocked int
	// moved: the runner doesn't hold the model now.
	moved int
	// busy is the load that interactive requests put on the runner, in steps of
	// slots, and crowded counts their models, if the model is one of them.
	busy     int
	crowded  int
	distance int
	// others counts the models that the runner has near, if it would be busy with a
	// long load of this one.
	others int
	// left is the memory that stays free.
	left int64
	host string
}

func rankOf(it *item, b *bin) binRank {
	near := b.Locality[it.model.Name]
	rank := binRank{distance: int(Loaded - near), others: it.othersAt(b), left: b.free - it.model.MiB, host: b.Host}
	if near != Loaded {
		rank.moved = 1
	}
	if near == Remote {
		rank.blocked = order(b.adapters)
	}
	if it.rank == hot {
		rank.busy = b.busySteps()
		rank.crowded = b.hot
	}
	for _, other := range it.keep {
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
		cmp.Compare(a.others, b.others),
		cmp.Compare(a.busy, b.busy),
		cmp.Compare(a.moved, b.moved),
		cmp.Compare(a.crowded, b.crowded),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.left, b.left),
		cmp.Compare(a.host, b.host),
	)
}
