package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPrefillEstimatorConverges simulates runners of several speeds where every
// other prompt is queued behind others.
func TestPrefillEstimatorConverges(t *testing.T) {
	const (
		overhead = 20 * time.Millisecond
		prompts  = 400
		// Prompts are still spaced well enough with an estimate that is off by a
		// third.
		tolerance = 1.0 / 3
	)
	for _, perToken := range []time.Duration{10 * time.Microsecond, 26 * time.Microsecond, 52 * time.Microsecond, 150 * time.Microsecond} {
		t.Run(perToken.String(), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := newPrefillEstimator()
			for range prompts {
				tokens := 50 + random.Int64N(2500)
				first := overhead + time.Duration(tokens)*perToken
				if random.IntN(2) == 0 {
					first += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
				}
				e.observe(tokens, first)
			}
			want := 1000 * perToken
			if got := e.prefillTime(1000); got < time.Duration((1-tolerance)*float64(want)) || got > time.Duration((1+tolerance)*float64(want)) {
				t.Errorf("1000 tokens take %s, want %s", got, want)
			}
		})
	}
}

// TestPrefillEstimatorStartsFromSiteDefault covers an agent that has just started:
// it uses the site's token time until it has measured its own.
func TestPrefillEstimatorStartsFromSiteDefault(t *testing.T) {
	e := newPrefillEstimator()
	e.setDefault(52_000)
	if got := e.prefillTime(1000); got != 52*time.Millisecond || e.tokenNanos() != 0 {
		t.Errorf("1000 tokens take %s, measured %d", got, e.tokenNanos())
	}
	for range initialSamples {
		e.observe(1000, defaultOverhead+100*time.Millisecond)
	}
	e.setDefault(52_000)
	if got := e.tokenNanos(); got != 100_000 {
		t.Errorf("measured %d ns per token", got)
	}
}

func TestPrefillEstimateIsBounded(t *testing.T) {
	for _, first := range []time.Duration{0, -time.Second, time.Nanosecond, time.Hour} {
		e := newPrefillEstimator()
		for range 1000 {
			e.observe(1000, first)
		}
		if got := e.prefillTime(1); got < minTokenTime || got > maxTokenTime {
			t.Errorf("first events after %s: %s per token", first, got)
		}
	}
}

// TestPrefillCountsAsLoad has a runner with free slots that spends most of its time
// on prefill.
func TestPrefillCountsAsLoad(t *testing.T) {
	f := newFixture(t, "a")
	f.reportLoaded("a")
	const tokens = 10_000
	for i := range 4 {
		lease := Lease{
			ID: fmt.Sprint("q", i), Model: "a", PromptTokens: tokens,
			Deadline: f.now.Add(10 * time.Second), StartBy: f.now.Add(10 * time.Second),
		}
		f.do(f.manager.Acquire(f.now, lease))
		f.do(f.manager.Release(f.now, lease.ID))
		f.now = f.now.Add(500 * time.Millisecond)
		f.sendReport()
	}
	status := f.manager.Status(f.now)
	if status.Running != 0 || status.LoadPercent < 20 || status.Models[0].PrefillShare == 0 {
		t.Errorf("load %d%% with %d running, %+v", status.LoadPercent, status.Running, status.Models)
	}
}
