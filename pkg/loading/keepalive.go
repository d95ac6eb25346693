package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// maxTracked limits the models whose gaps a KeepAlivePolicy stores.
const maxTracked = 4096

// KeepAlivePolicy chooses how long idle models stay loaded. Use NewKeepAlivePolicy.
type KeepAlivePolicy struct {
	models map[engine.Target]*modelHistory
	site   gapEstimator
}

// modelHistory is the request history of one model.
type modelHistory struct {
	gapEstimator gapEstimator
	// last is the time of the model's last activity.
	last time.Time
}

// NewKeepAlivePolicy returns a policy without history.
func NewKeepAlivePolicy() *KeepAlivePolicy {
	return &KeepAlivePolicy{models: map[engine.Target]*modelHistory{}}
}

// Arrived records a request for a model.
func (k *KeepAlivePolicy) Arrived(now time.Time, target engine.Target) {
	h := k.models[target]
	if h == nil {
		k.removeOldest()
		k.models[target] = &modelHistory{last: now}
		return
	}
	gap := now.Sub(h.last)
	h.gapEstimator.observe(gap)
	k.site.observe(gap)
	h.last = now
}

// Finished records the end of a model's last running request. The gap until the
// next request counts from here.
func (k *KeepAlivePolicy) Finished(now time.Time, target engine.Target) {
	if h := k.models[target]; h != nil {
		h.last = now
	}
}

// removeOldest removes the least recently used model if too many are tracked.
func (k *KeepAlivePolicy) removeOldest() {
	if len(k.models) < maxTracked {
		return
	}
	var oldest engine.Target
	var last time.Time
	for target, h := range k.models {
		if last.IsZero() || h.last.Before(last) {
			oldest = target
			last = h.last
		}
	}
	delete(k.models, oldest)
}

// UnloadAt returns when an idle model should be unloaded if no request arrives.
// loadTime is the expected duration of a load, and memoryShare the share of the
// accelerator's memory that the model uses, from 0 to 1.
//
// Keeping the model through a bucket of gap lengths costs idle time; unloading it
// costs a cold start at the next request. Starting at the longest gap and going
// back, the model is kept through the buckets in which keeping costs less. It is
// never kept through the last bucket, which has no upper end.
func (k *KeepAlivePolicy) UnloadAt(now time.Time, target engine.Target, loadTime time.Duration, memoryShare float64, policy lists.Policy) time.Time {
	h := k.models[target]
	if h == nil {
		h = &modelHistory{last: now}
	}
	policy = policy.WithDefaults()
	coldStart := policy.ColdStartWeight * loadTime.Seconds()
	idlePerSecond := policy.IdleWeight * memoryShare
	from := bucketOf(now.Sub(h.last))
	stop := gapBuckets - 1
	cost := coldStart
	for b := gapBuckets - 2; b >= from; b-- {
		keep := k.keepCost(&h.gapEstimator, b, cost, idlePerSecond)
		if keep < coldStart {
			cost = keep
			continue
		}
		cost = coldStart
		stop = b
	}
	return h.last.Add(durationOf(bucketStart(stop)))
}

// keepCost returns the expected cost of keeping a model through a bucket, with the
// given cost after it.
func (k *KeepAlivePolicy) keepCost(g *gapEstimator, bucket int, after, idlePerSecond float64) float64 {
	endProbability := g.endProbability(bucket, &k.site)
	width := bucketEnd(bucket) - bucketStart(bucket)
	idle := idlePerSecond * width * (1 - endProbability/2)
	return idle + (1-endProbability)*after
}

// ArrivalProbability returns the probability that a request for an idle model
// arrives within the duration.
func (k *KeepAlivePolicy) ArrivalProbability(now time.Time, target engine.Target, within time.Duration) float64 {
	h := k.models[target]
	if h == nil {
		h = &modelHistory{last: now}
	}
	age := now.Sub(h.last).Seconds()
	until := age + within.Seconds()
	none := 1.0
	for b := bucketOf(now.Sub(h.last)); b < gapBuckets && bucketStart(b) < until; b++ {
		start := max(bucketStart(b), age)
		covered := (min(bucketEnd(b), until) - start) / (bucketEnd(b) - bucketStart(b))
		none *= 1 - h.gapEstimator.endProbability(b, &k.site)*min(max(covered, 0), 1)
	}
	return 1 - none
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
