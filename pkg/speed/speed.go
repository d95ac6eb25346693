// Package speed compares model runners by how fast they produce the events of streams.
//
// Runners of one service differ in speed, and a runner's host may be busy with other work
// for a moment. A stream at a slow runner takes longer and has longer gaps, at the same
// share of busy slots. The load that this answers is streams whose events come too far
// apart at some runners while others of the model have room.
//
// The package is pure: intervals that agents have measured come in, relative times go out.
package speed

import (
	"slices"
	"time"
)

const (
	// minSpread is the ratio of the longest to the shortest interval from which runners
	// count as different. Below, the difference may be due to the requests beside.
	minSpread = 1.2
	// minRelative and maxRelative bound the time that a runner takes relative to the
	// others, so that no runner gets all requests or none.
	minRelative = 0.5
	maxRelative = 2.0
	// baseLoad is added to a load before it is scaled, so that runners without load differ.
	baseLoad = 0.2
)

// Relative returns the time that each runner takes for an event, relative to the mean of
// those that are known. intervals holds the mean intervals between events, zero where it
// isn't known. All runners count as equal if fewer than two are known, or if they differ
// little.
func Relative(intervals []time.Duration) []float64 {
	relative := make([]float64, len(intervals))
	for i := range relative {
		relative[i] = 1
	}
	var known []time.Duration
	for _, interval := range intervals {
		if interval > 0 {
			known = append(known, interval)
		}
	}
	if len(known) < 2 || float64(slices.Max(known)) < minSpread*float64(slices.Min(known)) {
		return relative
	}
	var sum time.Duration
	for _, interval := range known {
		sum += interval
	}
	mean := float64(sum) / float64(len(known))
	for i, interval := range intervals {
		if interval > 0 {
			relative[i] = min(max(float64(interval)/mean, minRelative), maxRelative)
		}
	}
	return relative
}

// ScaleLoad returns a runner's load for the comparison with others: its load as a share of
// its capacity, scaled by the time that it takes relative to them.
func ScaleLoad(load, relative float64) float64 { return (load + baseLoad) * relative }

// drawResolution is the weight of a runner of mean speed in a draw.
const drawResolution = 1000

// Draw returns the index of a random runner, faster ones more often. relative isn't empty;
// random returns a random number below n.
func Draw(relative []float64, random func(n int) int) int {
	total := 0
	for _, r := range relative {
		total += drawWeight(r)
	}
	drawn := random(total)
	for i, r := range relative {
		if drawn -= drawWeight(r); drawn < 0 {
			return i
		}
	}
	return len(relative) - 1
}

func drawWeight(relative float64) int { return int(drawResolution / relative) }
