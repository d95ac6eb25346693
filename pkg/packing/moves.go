package packing

import "slices"

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
