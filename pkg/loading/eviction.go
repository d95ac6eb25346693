package loading

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// evictionHorizon is the period in which a request for an evicted model counts as a
// cost of its eviction.
const evictionHorizon = 15 * time.Minute

// Candidate is a loaded model that may be evicted.
type Candidate struct {
	Target   engine.Target
	MiB      int64
	LoadTime time.Duration
	// Running and Waiting count the model's requests. A model with any is never
	// evicted.
	Running int
	Waiting int
	// Pinned marks models that must stay loaded.
	Pinned bool
}

// Victim is an idle model with the expected cost of its eviction.
type Victim struct {
	Target engine.Target
	MiB    int64
	Cost   float64
}

// ChooseVictims selects idle models that together use at least needMiB, with a low
// expected cost of cold starts. It returns false if there aren't enough, in which
// case nothing should be evicted.
func (k *KeepAlivePolicy) ChooseVictims(now time.Time, candidates []Candidate, needMiB int64, policy lists.Policy) ([]engine.Target, bool) {
	return CheapestVictims(k.idleVictims(now, candidates, policy), needMiB)
}

// CheapestVictims selects victims with a low total cost that together use at least
// needMiB. It returns false if there aren't enough.
func CheapestVictims(idle []Victim, needMiB int64) ([]engine.Target, bool) {
	if needMiB <= 0 {
		return nil, true
	}
	single, fits := cheapestSingle(idle, needMiB)
	several, enough := cheapestSeveral(idle, needMiB)
	switch {
	case fits && (!enough || single.Cost <= totalCost(several)):
		return []engine.Target{single.Target}, true
	case enough:
		return targets(several), true
	default:
		return nil, false
	}
}

func (k *KeepAlivePolicy) idleVictims(now time.Time, candidates []Candidate, policy lists.Policy) []Victim {
	policy = policy.WithDefaults()
	var idle []Victim
	for _, c := range candidates {
		if c.Running > 0 || c.Waiting > 0 || c.Pinned || c.MiB <= 0 {
			continue
		}
		p := k.ArrivalProbability(now, c.Target, evictionHorizon)
		cost := p * policy.ColdStartWeight * c.LoadTime.Seconds()
		idle = append(idle, Victim{Target: c.Target, MiB: c.MiB, Cost: cost})
	}
	return idle
}

func cheapestSingle(idle []Victim, needMiB int64) (Victim, bool) {
	var best Victim
	found := false
	for _, v := range idle {
		if v.MiB >= needMiB && (!found || v.Cost < best.Cost) {
			best = v
			found = true
		}
	}
	return best, found
}

// cheapestSeveral selects models by cost per MiB until they suffice, and then drops
// the most expensive ones that aren't needed.
func cheapestSeveral(idle []Victim, needMiB int64) ([]Victim, bool) {
	byCost := slices.Clone(idle)
	slices.SortStableFunc(byCost, func(a, b Victim) int {
		return cmp.Compare(a.Cost/float64(a.MiB), b.Cost/float64(b.MiB))
	})
	var chosen []Victim
	var freed int64
	for _, v := range byCost {
		if freed >= needMiB {
			break
		}
		chosen = append(chosen, v)
		freed += v.MiB
	}
	if freed < needMiB {
		return nil, false
	}
	return dropExcess(chosen, freed-needMiB), true
}

func dropExcess(chosen []Victim, excess int64) []Victim {
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.Cost, a.Cost) })
	return slices.DeleteFunc(chosen, func(v Victim) bool {
		if v.MiB > excess {
			return false
		}
		excess -= v.MiB
		return true
	})
}

func totalCost(victims []Victim) float64 {
	var sum float64
	for _, v := range victims {
		sum += v.Cost
	}
	return sum
}

func targets(victims []Victim) []engine.Target {
	list := make([]engine.Target, 0, len(victims))
	for _, v := range victims {
		list = append(list, v.Target)
	}
	return list
}
