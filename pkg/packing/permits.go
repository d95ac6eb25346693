package packing

import (
	"cmp"
	"math"
	"slices"
)

// place lists a model's permits: the kept replicas, then runners that may load it
// when it is asked for.
func (p *packer) place(it *item) ModelPlacement {
	placed := ModelPlacement{Service: p.problem.Service, Model: it.model.Name, Interactive: it.rank == hot, Rate: rounded(it.load.Rate)}
	slices.SortFunc(it.keep, func(a, b *bin) int { return cmp.Compare(a.Host, b.Host) })
	for _, b := range it.keep {
		placed.Permits = append(placed.Permits, Permit{Host: b.Host, Keep: true})
	}
	copies := p.copies(it)
	for _, b := range copies {
		placed.Permits = append(placed.Permits, Permit{Host: b.Host, Copy: true})
	}
	for _, b := range p.spares(it, copies) {
		if len(placed.Permits) >= MaxPermits {
			break
		}
		if len(it.keep) == 0 {
			// A model that is kept needs its spares only after a failure.
			b.spares++
		}
		placed.Permits = append(placed.Permits, Permit{Host: b.Host})
	}
	return placed
}

// rounded keeps the digits of a rate that matter for an order.
func rounded(rate float64) float64 { return math.Round(10*rate) / 10 }

// minCopies is the number of runners that should have a model's weights near.
const minCopies = 2

// copies are the runners that should get a copy of a model's weights: those with
// the fewest such loads, and with the most room.
func (p *packer) copies(it *item) []*bin {
	missing := minCopies
	var others []*bin
	for _, b := range p.bins {
		switch {
		case b.Locality[it.model.Name] != Remote || slices.Contains(it.keep, b):
			missing--
		case it.model.MiB <= p.problem.Engine.MiB:
			others = append(others, b)
		}
	}
	if missing <= 0 {
		return nil
	}
	slices.SortFunc(others, func(a, b *bin) int {
		return cmp.Or(
			it.compareUnkept(a, b),
			cmp.Compare(len(a.Locality), len(b.Locality)),
			cmp.Compare(a.copies, b.copies),
			cmp.Compare(b.free, a.free),
			cmp.Compare(a.Host, b.Host),
		)
	})
	chosen := others[:min(missing, len(others))]
	for _, b := range chosen {
		b.copies++
	}
	return chosen
}

// spares are the runners that may hold a model and neither keep it nor are to get
// a copy, those with the fewest spares first.
func (p *packer) spares(it *item, copies []*bin) []*bin {
	if it.model.MiB > p.problem.Engine.MiB {
		return nil
	}
	var spares []*bin
	for _, b := range it.choices {
		if !slices.Contains(it.keep, b) && !slices.Contains(copies, b) {
			spares = append(spares, b)
		}
	}
	slices.SortFunc(spares, func(a, b *bin) int {
		return cmp.Or(
			it.compareUnkept(a, b),
			cmp.Compare(it.othersAt(a), it.othersAt(b)),
			cmp.Compare(a.spares, b.spares),
			cmp.Compare(a.hot, b.hot),
			cmp.Compare(a.Host, b.Host),
		)
	})
	return spares
}

// compareUnkept puts the runners first that don't have adapters in demand, whose
// loads a load of the model would hold up, then those that the placement in force
// names.
func (it *item) compareUnkept(a, b *bin) int {
	return cmp.Or(
		cmp.Compare(order(a.adapters), order(b.adapters)),
		cmp.Compare(it.permitBefore(a.Host), it.permitBefore(b.Host)),
	)
}

// othersAt counts the models that a runner has near, if it would be busy with a
// long load of this one.
func (it *item) othersAt(b *bin) int {
	if b.Locality[it.model.Name] != Remote {
		return 0
	}
	return len(b.Locality)
}

// permitBefore is the place of a host's permit in the placement in force.
func (it *item) permitBefore(host string) int {
	if it.before != nil {
		for i, permit := range it.before.Permits {
			if permit.Host == host {
				return i
			}
		}
	}
	return MaxPermits
}

func order(last bool) int {
	if last {
		return 1
	}
	return 0
}
