package packing

import (
	"cmp"
	"math"
	"slices"
)

// place returns a model's permits: the kept replicas first, then the runners that
// may load the model on demand.
func (p *packer) place(it *item) ModelPlacement {
	placed := ModelPlacement{Service: p.problem.Service, Model: it.model.Name, Interactive: it.costClass == interactive, Rate: roundRate(it.load.Rate)}
	slices.SortFunc(it.keptOn, func(a, b *bin) int { return cmp.Compare(a.Host, b.Host) })
	for _, b := range it.keptOn {
		placed.Permits = append(placed.Permits, Permit{Host: b.Host, Keep: true})
	}
	copies := p.copies(it)
	for _, b := range copies {
		placed.Permits = append(placed.Permits, Permit{Host: b.Host, Copy: true})
	}
	for _, b := range p.standbys(it, copies, MaxPermits-len(placed.Permits)) {
		if len(it.keptOn) == 0 {
			// The standby permits of a kept model are used only after a failure.
			b.standbys++
		}
		placed.Permits = append(placed.Permits, Permit{Host: b.Host})
	}
	return placed
}

// roundRate rounds a rate to the precision needed for sorting.
func roundRate(rate float64) float64 { return math.Round(10*rate) / 10 }

// minCopies is the number of runners that should have a local copy of a model's
// weights.
const minCopies = 2

// copies returns the runners that should load a model for a local copy of its
// weights. Runners with few such loads and much free memory are preferred.
func (p *packer) copies(it *item) []*bin {
	missing := minCopies
	var others []*bin
	for _, b := range p.bins {
		switch {
		case b.Locality[it.model.Name] != Remote || slices.Contains(it.keptOn, b):
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
			cmp.Compare(b.freeMiB, a.freeMiB),
			cmp.Compare(a.Host, b.Host),
		)
	})
	chosen := others[:min(missing, len(others))]
	for _, b := range chosen {
		b.copies++
	}
	return chosen
}

// standbys returns the runners for standby permits, at most limit apart from those that
// their software version needs.
func (p *packer) standbys(it *item, copies []*bin, limit int) []*bin {
	chosen := p.versionStandbys(it, copies)
	for _, b := range p.possibleStandbys(it, it.candidates, copies) {
		if len(chosen) >= limit {
			break
		}
		if !slices.Contains(chosen, b) {
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// possibleStandbys returns those of the runners that can hold the model, don't keep it and
// aren't chosen for a copy. Runners with few standby permits come first.
func (p *packer) possibleStandbys(it *item, runners, copies []*bin) []*bin {
	if it.model.MiB > p.problem.Engine.MiB {
		return nil
	}
	var standbys []*bin
	for _, b := range runners {
		if !slices.Contains(it.keptOn, b) && !slices.Contains(copies, b) {
			standbys = append(standbys, b)
		}
	}
	slices.SortFunc(standbys, it.compareStandbys)
	return standbys
}

func (it *item) compareStandbys(a, b *bin) int {
	return cmp.Or(
		it.compareUnkept(a, b),
		cmp.Compare(it.countBlockedModels(a), it.countBlockedModels(b)),
		cmp.Compare(a.standbys, b.standbys),
		cmp.Compare(a.interactive, b.interactive),
		cmp.Compare(a.Host, b.Host),
	)
}

// compareUnkept sorts runners without adapters in demand first, because loading the
// model would delay the loads of these adapters, and then by the rank of the permit
// in the active placement.
func (it *item) compareUnkept(a, b *bin) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.activeAdapters), boolToInt(b.activeAdapters)),
		cmp.Compare(it.previousRank(a.Host), it.previousRank(b.Host)),
	)
}

// previousRank returns the rank of a host's permit in the active placement.
func (it *item) previousRank(host string) int {
	if it.previous != nil {
		for i, permit := range it.previous.Permits {
			if permit.Host == host {
				return i
			}
		}
	}
	return MaxPermits
}
