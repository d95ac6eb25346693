package loading

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets per doubling of the gap length.
	bucketsPerOctave = 2
	// firstBucketEnd is the upper end of the first bucket in seconds.
	firstBucketEnd = 1.0
	// gapBuckets is the number of buckets, enough for gaps of up to about twelve
	// days.
	gapBuckets = 41
	// observationDecay is the factor applied to a bucket's history at a new
	// observation.
	observationDecay = 0.97
	// siteObservations is the weight of the site's estimate in a model's
	// estimate, in observations per bucket.
	siteObservations = 2.0
	// priorObservations is the weight of the prior in the site's estimate.
	priorObservations = 4.0
	// priorEnd is the prior probability that a gap that reached a bucket ends in
	// it.
	priorEnd = 0.08
)

// bucketEnd returns the upper end of a bucket in seconds.
func bucketEnd(bucket int) float64 {
	return firstBucketEnd * math.Exp2(float64(bucket)/bucketsPerOctave)
}

// bucketStart returns the lower end of a bucket in seconds.
func bucketStart(bucket int) float64 {
	if bucket == 0 {
		return 0
	}
	return bucketEnd(bucket - 1)
}

// bucketOf returns the bucket of a gap, at most gapBuckets-1.
func bucketOf(gap time.Duration) int {
	s := gap.Seconds()
	if s < firstBucketEnd {
		return 0
	}
	bucket := int(math.Floor(math.Log2(s/firstBucketEnd)*bucketsPerOctave)) + 1
	return min(bucket, gapBuckets-1)
}

// gapEstimator estimates for each bucket the probability that a gap that reached
// the bucket ends in it. Each bucket decays by its own observations, so that the
// many short gaps of a burst don't displace the few long ones.
type gapEstimator struct {
	reached [gapBuckets]float64
	ended   [gapBuckets]float64
}

func (g *gapEstimator) observe(gap time.Duration) {
	last := bucketOf(gap)
	for b := 0; b <= last; b++ {
		g.reached[b] = g.reached[b]*observationDecay + 1
		g.ended[b] *= observationDecay
	}
	g.ended[last]++
}

// endProbability returns the probability that a gap that reached the bucket ends in
// it. site is nil for the site's own estimate.
func (g *gapEstimator) endProbability(bucket int, site *gapEstimator) float64 {
	prior := priorEnd
	weight := priorObservations
	if site != nil {
		prior = site.endProbability(bucket, nil)
		weight = siteObservations
	}
	return (g.ended[bucket] + weight*prior) / (g.reached[bucket] + weight)
}
