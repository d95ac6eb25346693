package speed

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestRelative(t *testing.T) {
	tests := []struct {
		name      string
		intervals []time.Duration
		want      []float64
	}{
		{"none known", []time.Duration{0, 0}, []float64{1, 1}},
		{"one known", []time.Duration{50 * ms, 0}, []float64{1, 1}},
		{"little difference", []time.Duration{50 * ms, 55 * ms}, []float64{1, 1}},
		{"two speeds", []time.Duration{30 * ms, 50 * ms}, []float64{0.75, 1.25}},
		{"one unknown beside two speeds", []time.Duration{30 * ms, 50 * ms, 0}, []float64{0.75, 1.25, 1}},
		{"bounded", []time.Duration{10 * ms, 10 * ms, 10 * ms, 10 * ms, 400 * ms}, []float64{0.5, 0.5, 0.5, 0.5, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Relative(test.intervals); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Two of three runners are slow, and all entries see the same loads. The share of streams
// at the slow runners must be less than by load alone, and no runner may be left out.
func TestSlowRunnersGetFewerStreamsUnderLoad(t *testing.T) {
	intervals := []time.Duration{30 * ms, 80 * ms, 80 * ms}
	byLoad := play(intervals, []float64{1, 1, 1})
	bySpeed := play(intervals, Relative(intervals))
	if slow, before := bySpeed[1]+bySpeed[2], byLoad[1]+byLoad[2]; slow*4 > before*3 {
		t.Errorf("%d streams at slow runners, %d by load alone", slow, before)
	}
	if slices.Min(bySpeed) == 0 {
		t.Errorf("streams by runner: %v", bySpeed)
	}
}

// play sends streams of 40 events to the better of two random runners of 32 slots, one
// each 40 ms, by what is known of their speed, and returns the number at each.
func play(intervals []time.Duration, relative []float64) []int {
	const slots, events, streams = 32, 40, 2000
	random := rand.New(rand.NewPCG(1, 2))
	ends := make([][]time.Duration, len(intervals))
	counts := make([]int, len(intervals))
	for i := range streams {
		now := time.Duration(i) * 40 * ms
		for r := range ends {
			ends[r] = slices.DeleteFunc(ends[r], func(end time.Duration) bool { return end <= now })
		}
		weight := func(r int) float64 { return ScaleLoad(float64(len(ends[r]))/slots, relative[r]) }
		chosen, other := Draw(relative, random.IntN), Draw(relative, random.IntN)
		if weight(other) < weight(chosen) {
			chosen = other
		}
		counts[chosen]++
		ends[chosen] = append(ends[chosen], now+events*intervals[chosen])
	}
	return counts
}
