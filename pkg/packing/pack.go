package packing

import (
	"cmp"
	"slices"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const (
	// MaxPermits bounds the permits of a model.
	MaxPermits = 4
	// interactiveReplicas is the number of replicas kept of a model that
	// interactive requests ask for now, so that the loss of one runner doesn't
	// hold them up.
	interactiveReplicas = 2
	// demandFloor is the rate, in requests a second, from which a model counts as
	// asked for.
	demandFloor = 0.3
)

// bin is a runner while it is packed.
type bin struct {
	*Runner
	free int64
	// interactive counts the kept models that interactive requests ask for.
	interactive int
	kept        int
}

// item is a model while it is placed.
type item struct {
	model       *fleet.Model
	demand      Demand
	interactive bool
	// replicas is how many are to be kept.
	replicas int
	keep     []*bin
	before   *Placed
}

// packer is the state of one Pack.
type packer struct {
	problem *Problem
	bins    []*bin
	items   []*item
}

// Pack returns the placement of the problem's service.
func Pack(problem *Problem) []Placed {
	p := newPacker(problem)
	for _, it := range p.items {
		for len(it.keep) < it.replicas && p.keepOne(it) {
			continue
		}
	}
	for _, it := range p.items {
		if len(it.keep) == 0 {
			p.moveFor(it)
		}
	}
	placed := make([]Placed, 0, len(p.items))
	for _, it := range p.items {
		placed = append(placed, p.place(it))
	}
	slices.SortFunc(placed, func(a, b Placed) int { return cmp.Compare(a.Model, b.Model) })
	return placed
}

func newPacker(problem *Problem) *packer {
	p := &packer{problem: problem}
	capacity := problem.Engine.MiB - adapterRoom(problem.Engine)
	for i := range problem.Runners {
		p.bins = append(p.bins, &bin{Runner: &problem.Runners[i], free: capacity})
	}
	for i := range problem.Engine.Models {
		p.items = append(p.items, p.newItem(&problem.Engine.Models[i]))
	}
	slices.SortStableFunc(p.items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(b.replicas, a.replicas),
			cmp.Compare(b.model.MiB, a.model.MiB), cmp.Compare(a.model.Name, b.model.Name))
	})
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
		demand:   p.problem.Demand[model.Name],
		before:   p.problem.Current.find(p.problem.Service, model.Name),
		replicas: 1,
	}
	it.interactive = it.demand.Interactive >= demandFloor || (it.before != nil && it.before.Interactive)
	busy := it.demand.Interactive >= demandFloor
	if p.problem.Current == nil {
		// Before any demand is known, a model that the platform has placed on
		// several runners is expected to be asked for most.
		busy = p.heldBy(model.Name) > 1
	}
	if busy {
		it.replicas = min(interactiveReplicas, len(p.bins))
	}
	return it
}

func (p *packer) heldBy(model string) int {
	count := 0
	for _, b := range p.bins {
		if b.Near[model] == Held {
			count++
		}
	}
	return count
}

// class orders items: those asked for by interactive requests first.
func (it *item) class() int {
	switch {
	case it.replicas > 1:
		return 0
	case it.interactive:
		return 1
	default:
		return 2
	}
}

// keepOne keeps one more replica on the best runner that has room.
func (p *packer) keepOne(it *item) bool {
	best := p.best(it, func(b *bin) bool { return b.free >= it.model.MiB })
	if best == nil {
		return false
	}
	p.keep(it, best)
	return true
}

func (p *packer) keep(it *item, b *bin) {
	it.keep = append(it.keep, b)
	b.free -= it.model.MiB
	b.kept++
	if it.interactive || it.replicas > 1 {
		b.interactive++
	}
}

// best returns the most suitable runner without a replica of the model, or nil.
func (p *packer) best(it *item, fits func(*bin) bool) *bin {
	var best *bin
	var bestRank binRank
	for _, b := range p.bins {
		if slices.Contains(it.keep, b) || !fits(b) {
			continue
		}
		rank := p.rank(it, b)
		if best == nil || rank.compare(bestRank) < 0 {
			best = b
			bestRank = rank
		}
	}
	return best
}

// binRank is a runner's order of preference for a model; lower is better in each
// field, and the first that differs decides.
type binRank struct {
	// remote: the weights would have to come from the weight store.
	remote int
	// sharedDomain counts the model's replicas in the runner's failure domain.
	sharedDomain int
	// moved: the runner doesn't keep the model by the placement in force, or
	// doesn't hold it now.
	unkept int
	moved  int
	// crowded counts the runner's models for interactive requests, if this is
	// one.
	crowded  int
	distance int
	// left is the memory that stays free.
	left int64
	host string
}

func (p *packer) rank(it *item, b *bin) binRank {
	near := b.Near[it.model.Name]
	rank := binRank{distance: int(Held - near), left: b.free - it.model.MiB, host: b.Host}
	if near == Remote {
		rank.remote = 1
	}
	if near != Held {
		rank.moved = 1
	}
	if !it.wasKept(b.Host) {
		rank.unkept = 1
	}
	if it.interactive || it.replicas > 1 {
		rank.crowded = b.interactive
	}
	for _, other := range it.keep {
		if other.FailureDomain == b.FailureDomain {
			rank.sharedDomain++
		}
	}
	return rank
}

// wasKept tells whether the placement in force keeps the model on a host.
func (it *item) wasKept(host string) bool {
	return it.before != nil && slices.ContainsFunc(it.before.Permits, func(permit Permit) bool {
		return permit.Host == host && permit.Keep
	})
}

func (a binRank) compare(b binRank) int {
	return cmp.Or(
		cmp.Compare(a.remote, b.remote),
		cmp.Compare(a.sharedDomain, b.sharedDomain),
		cmp.Compare(a.unkept, b.unkept),
		cmp.Compare(a.moved, b.moved),
		cmp.Compare(a.crowded, b.crowded),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.left, b.left),
		cmp.Compare(a.host, b.host),
	)
}

// moveFor makes room for a model that fits nowhere by moving one other model to a
// runner that has it near.
func (p *packer) moveFor(it *item) {
	for _, b := range p.bins {
		if b.Near[it.model.Name] == Remote {
			continue
		}
		for _, other := range p.items {
			if other == it || !slices.Contains(other.keep, b) || b.free+other.model.MiB < it.model.MiB {
				continue
			}
			target := p.best(other, func(t *bin) bool {
				return t != b && t.free >= other.model.MiB && t.Near[other.model.Name] != Remote
			})
			if target == nil {
				continue
			}
			p.unkeep(other, b)
			p.keep(other, target)
			p.keep(it, b)
			return
		}
	}
}

func (p *packer) unkeep(it *item, b *bin) {
	it.keep = slices.DeleteFunc(it.keep, func(kept *bin) bool { return kept == b })
	b.free += it.model.MiB
	b.kept--
	if it.interactive || it.replicas > 1 {
		b.interactive--
	}
}

// place lists a model's permits: the kept replicas, then runners that have it
// near, and if there is none, the one with the most room.
func (p *packer) place(it *item) Placed {
	placed := Placed{Service: p.problem.Service, Model: it.model.Name, Interactive: it.interactive}
	slices.SortFunc(it.keep, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(b.Near[it.model.Name], a.Near[it.model.Name]), cmp.Compare(a.Host, b.Host))
	})
	for _, b := range it.keep {
		placed.Permits = append(placed.Permits, Permit{Host: b.Host, Keep: true})
	}
	for _, b := range p.spares(it) {
		if len(placed.Permits) >= MaxPermits {
			break
		}
		placed.Permits = append(placed.Permits, Permit{Host: b.Host})
	}
	if len(placed.Permits) == 0 {
		if b := p.roomiest(it); b != nil {
			placed.Permits = append(placed.Permits, Permit{Host: b.Host})
		}
	}
	return placed
}

// spares are the runners that have a model near and don't keep it, the nearest
// and least crowded first.
func (p *packer) spares(it *item) []*bin {
	var spares []*bin
	for _, b := range p.bins {
		if b.Near[it.model.Name] != Remote && !slices.Contains(it.keep, b) && p.fitsEmpty(it) {
			spares = append(spares, b)
		}
	}
	slices.SortFunc(spares, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(b.Near[it.model.Name], a.Near[it.model.Name]),
			cmp.Compare(a.interactive, b.interactive), cmp.Compare(b.free, a.free), cmp.Compare(a.Host, b.Host))
	})
	return spares
}

func (p *packer) fitsEmpty(it *item) bool { return it.model.MiB <= p.problem.Engine.MiB }

func (p *packer) roomiest(it *item) *bin {
	var best *bin
	for _, b := range p.bins {
		if p.fitsEmpty(it) && (best == nil || b.free > best.free) {
			best = b
		}
	}
	return best
}
