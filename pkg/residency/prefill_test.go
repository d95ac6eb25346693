package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReaderLearnsTheSpeedOfARunner plays runners of several speeds at which every
// other prompt waits for others.
func TestReaderLearnsTheSpeedOfARunner(t *testing.T) {
	const (
		overhead = 20 * time.Millisecond
		prompts  = 400
		// A third more or less leaves prompts spaced well enough.
		tolerate = 1.0 / 3
	)
	for _, perToken := range []time.Duration{10 * time.Microsecond, 26 * time.Microsecond, 52 * time.Microsecond, 150 * time.Microsecond} {
		t.Run(perToken.String(), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			r := newPromptReader()
			for range prompts {
				tokens := 50 + random.Int64N(2500)
				first := overhead + time.Duration(tokens)*perToken
				if random.IntN(2) == 0 {
					first += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
				}
				r.observe(tokens, first)
			}
			want := 1000 * perToken
			if got := r.reading(1000); got < time.Duration((1-tolerate)*float64(want)) || got > time.Duration((1+tolerate)*float64(want)) {
				t.Errorf("1000 tokens take %s, want %s", got, want)
			}
		})
	}
}

// TestNewReaderAssumesWhatOthersHaveShown has an agent start anew.
func TestNewReaderAssumesWhatOthersHaveShown(t *testing.T) {
	r := newPromptReader()
	r.assume(52_000)
	if got := r.reading(1000); got != 52*time.Millisecond || r.tokenNanos() != 0 {
		t.Errorf("1000 tokens take %s, learned %d", got, r.tokenNanos())
	}
	for range readingSamples {
		r.observe(1000, assumedOverhead+100*time.Millisecond)
	}
	r.assume(52_000)
	if got := r.tokenNanos(); got != 100_000 {
		t.Errorf("learned %d ns a token", got)
	}
}

func TestReaderIsBounded(t *testing.T) {
	for _, first := range []time.Duration{0, -time.Second, time.Nanosecond, time.Hour} {
		r := newPromptReader()
		for range 1000 {
			r.observe(1000, first)
		}
		if got := r.reading(1); got < minPerToken || got > maxPerToken {
			t.Errorf("first events after %s: %s a token", first, got)
		}
	}
}

// TestReadingCountsAsLoad has a runner with free slots read prompts most of its time.
func TestReadingCountsAsLoad(t *testing.T) {
	f := newFixture(t, "a")
	f.hold("a")
	const tokens = 10_000
	for i := range 4 {
		use := Lease{
			ID: fmt.Sprint("q", i), Model: "a", PromptTokens: tokens,
			Deadline: f.now.Add(10 * time.Second), StartBy: f.now.Add(10 * time.Second),
		}
		f.do(f.manager.Acquire(f.now, use))
		f.do(f.manager.Release(f.now, use.ID))
		f.now = f.now.Add(500 * time.Millisecond)
		f.send()
	}
	status := f.manager.Status(f.now)
	if status.Running != 0 || status.LoadPercent < 20 || status.Models[0].PrefillShare == 0 {
		t.Errorf("load %d%% with %d running, %+v", status.LoadPercent, status.Running, status.Models)
	}
}
