package loading

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// evictionHorizon is the time ahead in which a request for an unloaded model
// counts as a cost of its eviction.
const evictionHorizon = 15 * time.Minute

// Candidate is a loaded model that may be unloaded.
type Candidate struct {
	Target   engine.Target
	MiB      int64
	LoadTime time.Duration
	// Running and Waiting count the model's requests; a model with any is never
	// a victim.
	Running int
	Waiting int
	// Pinned marks models that must stay loaded.
	Pinned bool
}

// victim is a candidate with its expected cost.
type victim struct {
	Candidate
	cost float64
}

// ChooseVictims picks idle models whose memory together is at least needMiB, at
// a low expected cost of cold starts. It returns false if there aren't enough;
// then nothing should be unloaded.
func (k *Keeper) ChooseVictims(now time.Time, candidates []Candidate, needMiB int64, policy lists.Policy) ([]engine.Target, bool) {
	if needMiB <= 0 {
		return nil, true
	}
	idle := k.idleVictims(now, candidates, policy)
	if single, ok := cheapestSingle(idle, needMiB); ok {
		several, enough := cheapestSeveral(idle, needMiB)
		if !enough || single.cost <= totalCost(several) {
			return []engine.Target{single.Target}, true
		}
		return targets(several), true
	}
	several, enough := cheapestSeveral(idle, needMiB)
	if !enough {
		return nil, false
	}
	return targets(several), true
}

func (k *Keeper) idleVictims(now time.Time, candidates []Candidate, policy lists.Policy) []victim {
	var idle []victim
	for _, c := range candidates {
		if c.Running > 0 || c.Waiting > 0 || c.Pinned || c.MiB <= 0 {
			continue
		}
		p := k.ArrivalProbability(now, c.Target, evictionHorizon)
		cost := p * coldStartWeight(policy) * c.LoadTime.Seconds()
		idle = append(idle, victim{Candidate: c, cost: cost})
	}
	return idle
}

func cheapestSingle(idle []victim, needMiB int64) (victim, bool) {
	var best victim
	found := false
	for _, v := range idle {
		if v.MiB >= needMiB && (!found || v.cost < best.cost) {
			best = v
			found = true
		}
	}
	return best, found
}

// cheapestSeveral takes models by cost per MiB until they are enough, and then
// spares the dearest ones that aren't needed.
func cheapestSeveral(idle []victim, needMiB int64) ([]victim, bool) {
	byCost := slices.Clone(idle)
	slices.SortStableFunc(byCost, func(a, b victim) int {
		return cmp.Compare(a.cost/float64(a.MiB), b.cost/float64(b.MiB))
	})
	var chosen []victim
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
	return spare(chosen, freed-needMiB), true
}

func spare(chosen []victim, excess int64) []victim {
	slices.SortStableFunc(chosen, func(a, b victim) int { return cmp.Compare(b.cost, a.cost) })
	return slices.DeleteFunc(chosen, func(v victim) bool {
		if v.MiB > excess {
			return false
		}
		excess -= v.MiB
		return true
	})
}

func totalCost(victims []victim) float64 {
	var sum float64
	for _, v := range victims {
		sum += v.cost
	}
	return sum
}

func targets(victims []victim) []engine.Target {
	list := make([]engine.Target, 0, len(victims))
	for _, v := range victims {
		list = append(list, v.Target)
	}
	return list
}
