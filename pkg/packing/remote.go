package packing

import (
	"cmp"
	"slices"
)

const (
	// maxPrefillShare and maxSlotShare are the shares of a runner's time spent on
	// prefill and of its slots that one model may use. Above them, an additional
	// replica justifies a load from the weight store and the eviction of batch
	// models.
	maxPrefillShare = 0.25
	maxSlotShare    = 0.8
)

// overload returns the load of an interactive model's replicas as a multiple of
// their limit, or zero if they aren't overloaded.
func (p *packer) overload(it *item) float64 {
	if it.costClass != interactive || len(it.keptOn) == 0 {
		return 0
	}
	replicas := float64(len(it.keptOn))
	prefill := it.load.Prefill / replicas / maxPrefillShare
	busy := it.load.Busy / replicas / (maxSlotShare * float64(max(p.problem.Engine.Slots, 1)))
	if over := max(prefill, busy); over > 1 {
		return over
	}
	return 0
}

// addRemoteReplicas keeps replicas of overloaded models on runners without a local
// copy of the weights, the most overloaded models first, within the limit on
// pending loads from the weight store.
func (p *packer) addRemoteReplicas() {
	left := p.problem.MaxRemoteLoads - p.pendingRemoteLoads()
	for ; left > 0; left-- {
		overloaded := slices.DeleteFunc(slices.Clone(p.items), func(it *item) bool {
			return len(it.keptOn) >= it.replicas || p.overload(it) == 0
		})
		if len(overloaded) == 0 {
			return
		}
		worst := slices.MaxFunc(overloaded, func(a, b *item) int {
			return cmp.Or(cmp.Compare(p.overload(a), p.overload(b)), cmp.Compare(b.model.Name, a.model.Name))
		})
		worst.candidates = p.bins
		if !p.addReplica(worst) {
			return
		}
	}
}

// pendingRemoteLoads counts the kept replicas of interactive models that wait for a
// load from the weight store.
func (p *packer) pendingRemoteLoads() int {
	count := 0
	for _, it := range p.items {
		if it.costClass != interactive {
			continue
		}
		for _, b := range it.keptOn {
			if b.Locality[it.model.Name] == Remote {
				count++
			}
		}
	}
	return count
}
