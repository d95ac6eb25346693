package loading

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testTarget = engine.Target{Model: "m", Version: "1"}

// drawPolicy returns a policy with a generated history of testTarget, and the time
// of the last request.
func drawPolicy(t *rapid.T) (*KeepAlivePolicy, time.Time) {
	k := NewKeepAlivePolicy()
	now := testStart
	k.Arrived(now, testTarget)
	for _, gap := range rapid.SliceOfN(rapid.Float64Range(0, 20), 0, 60).Draw(t, "log2Gaps") {
		now = now.Add(durationOf(math.Exp2(gap)))
		k.Arrived(now, testTarget)
	}
	return k, now
}

// unloadCost returns the expected cost of a gap if the model is unloaded at the
// start of a bucket.
func unloadCost(k *KeepAlivePolicy, stop int, coldStart, idlePerSecond float64) float64 {
	reached := 1.0
	cost := 0.0
	for b := range stop {
		endProbability := k.models[testTarget].gapEstimator.endProbability(b, &k.site)
		cost += reached * idlePerSecond * (bucketEnd(b) - bucketStart(b)) * (1 - endProbability/2)
		reached *= 1 - endProbability
	}
	return cost + reached*coldStart
}

// TestUnloadAtMinimizesCost compares the choice to all other times to unload.
func TestUnloadAtMinimizesCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, now := drawPolicy(t)
		load := rapid.Float64Range(0.1, 120).Draw(t, "load")
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		policy := lists.Policy{
			ColdStartWeight: math.Exp2(rapid.Float64Range(-5, 5).Draw(t, "cold")),
			IdleWeight:      math.Exp2(rapid.Float64Range(-12, 2).Draw(t, "idle")),
		}
		until := k.UnloadAt(now, testTarget, durationOf(load), share, policy).Sub(now)
		chosen := 0
		for chosen < gapBuckets-1 && durationOf(bucketStart(chosen)) < until {
			chosen++
		}
		cold, idle := policy.ColdStartWeight*load, policy.IdleWeight*share
		cost := unloadCost(k, chosen, cold, idle)
		for stop := range gapBuckets {
			if other := unloadCost(k, stop, cold, idle); other < cost*(1-1e-9) {
				t.Fatalf("keeping for %v costs %g, for %g s it costs %g", until, cost, bucketStart(stop), other)
			}
		}
	})
}

func TestUnloadAtFollowsHistoryAndPolicy(t *testing.T) {
	k := NewKeepAlivePolicy()
	now := testStart
	for range 200 {
		k.Arrived(now, testTarget)
		now = now.Add(time.Minute)
	}
	now = now.Add(-time.Minute)
	keep := func(policy lists.Policy) time.Duration {
		return k.UnloadAt(now, testTarget, 20*time.Second, 1, policy).Sub(now)
	}
	if d := keep(lists.Policy{IdleWeight: 0.05}); d < time.Minute || d > 3*time.Minute {
		t.Errorf("a model requested every minute is kept for %v", d)
	}
	if d := keep(lists.Policy{IdleWeight: 5}); d > 5*time.Second {
		t.Errorf("with a high cost of idle time the model is kept for %v", d)
	}
	if p := k.ArrivalProbability(now, testTarget, 90*time.Second); p < 0.9 {
		t.Errorf("arrival probability %g", p)
	}
}

func TestGapBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := math.Exp2(rapid.Float64Range(-5, 19.5).Draw(t, "log2"))
		b := bucketOf(durationOf(s))
		if s < bucketStart(b)*(1-1e-8) || s > bucketEnd(b)*(1+1e-8) {
			t.Fatalf("%g s is in bucket %d from %g to %g", s, b, bucketStart(b), bucketEnd(b))
		}
	})
}

func TestChooseVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeepAlivePolicy()
		candidates := map[engine.Target]Candidate{}
		var list []Candidate
		var idle int64
		for i := range rapid.IntRange(0, 10).Draw(t, "candidates") {
			c := Candidate{
				Target:   engine.Target{Model: fmt.Sprint(i)},
				MiB:      rapid.Int64Range(1, 50).Draw(t, "mib"),
				LoadTime: time.Duration(rapid.IntRange(1, 60).Draw(t, "load")) * time.Second,
				Running:  rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "running"),
				Waiting:  rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "waiting"),
				Pinned:   rapid.SampledFrom([]bool{false, false, true}).Draw(t, "pinned"),
			}
			if c.Running == 0 && c.Waiting == 0 && !c.Pinned {
				idle += c.MiB
			}
			k.Arrived(testStart.Add(time.Duration(i)*time.Second), c.Target)
			candidates[c.Target] = c
			list = append(list, c)
		}
		need := rapid.Int64Range(1, 200).Draw(t, "need")
		victims, ok := k.ChooseVictims(testStart.Add(time.Minute), list, need, lists.Policy{})
		if ok != (idle >= need) {
			t.Fatalf("%v with %d MiB idle and %d MiB needed", ok, idle, need)
		}
		var freed int64
		for _, v := range victims {
			c := candidates[v]
			if c.Running > 0 || c.Waiting > 0 || c.Pinned {
				t.Fatalf("%+v is a victim", c)
			}
			delete(candidates, v)
			freed += c.MiB
		}
		if ok && freed < need {
			t.Fatalf("%d MiB freed, %d MiB needed", freed, need)
		}
	})
}
