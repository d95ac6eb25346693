package packing

import (
	"cmp"
	"slices"
)

const (
	// overloadedReading is the part of its time that a runner may read prompts for one
	// model, and overloadedBusy the part of its slots that the model may take, before
	// a further replica is worth a load from the weight store and the room of patient
	// models.
	overloadedReading = 0.25
	overloadedBusy    = 0.8
)

// overload is how much the replicas of a hot model are overloaded, as a multiple of
// what they can bear; zero if they aren't.
func (p *packer) overload(it *item) float64 {
	if it.rank != hot || len(it.keep) == 0 {
		return 0
	}
	replicas := float64(len(it.keep))
	reading := it.load.Reading / replicas / overloadedReading
	busy := it.load.Busy / replicas / (overloadedBusy * float64(max(p.problem.Engine.Slots, 1)))
	if over := max(reading, busy); over > 1 {
		return over
	}
	return 0
}

// provideRemote keeps replicas of overloaded models on runners that don't have their
// weights near, the most overloaded first, as far as loads from the weight store are
// to be had soon.
func (p *packer) provideRemote() {
	left := p.problem.MaxRemoteLoads - p.awaited()
	for ; left > 0; left-- {
		overloaded := slices.DeleteFunc(slices.Clone(p.items), func(it *item) bool {
			return len(it.keep) >= it.replicas || p.overload(it) == 0
		})
		if len(overloaded) == 0 {
			return
		}
		worst := slices.MaxFunc(overloaded, func(a, b *item) int {
			return cmp.Or(cmp.Compare(p.overload(a), p.overload(b)), cmp.Compare(b.model.Name, a.model.Name))
		})
		worst.choices = p.bins
		if !p.provide(worst) {
			return
		}
	}
}

// awaited counts the kept replicas of hot models that wait for a load from the weight
// store.
func (p *packer) awaited() int {
	count := 0
	for _, it := range p.items {
		if it.rank != hot {
			continue
		}
		for _, b := range it.keep {
			if b.Locality[it.model.Name] == Remote {
				count++
			}
		}
	}
	return count
}
