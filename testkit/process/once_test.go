package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/plainservice"
)

const (
	bookings = 30
	// maxAttempts and retryInterval bound a caller's retries of one call.
	maxAttempts   = 6
	retryInterval = 100 * time.Millisecond
	// seedVariable is the environment variable with the random seed.
	seedVariable = "TEASELGAUGE_SEED"
)

// history holds the outcomes of all attempts by idempotency key.
type history struct {
	mu       sync.Mutex
	outcomes map[string][]string
}

func (h *history) add(key, outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[key] = append(h.outcomes[key], outcome)
}

func seed(t *testing.T) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("%s=%d", seedVariable, seed)
	return seed
}

// TestAtMostOnceAcrossKills sends bookings with the same keys to both entries while
// the agent, an entry and the key-value service fail. No booking runs twice, one
// with a "ran" outcome ran, and one with only "not-run" outcomes did not.
func TestAtMostOnceAcrossKills(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(t), 0))
	s := start(t, func(o *site.Options) { o.Services = 2 })
	for _, host := range s.Services {
		must(t, s.SetServiceFaults(testContext(t), host, plainservice.Faults{DelayMillis: 30}))
	}
	seen := &history{outcomes: map[string][]string{}}
	var callers sync.WaitGroup
	for _, entry := range s.Entries {
		order := random.Perm(bookings)
		callers.Go(func() { bookAll(t.Context(), s, entry, order, seen) })
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	for _, fault := range faultSequence(t, s) {
		select {
		case <-done:
		case <-time.After(time.Duration(100+random.IntN(400)) * time.Millisecond):
		}
		must(t, fault())
	}
	<-done
	must(t, s.SetKeyValueFaults(testContext(t), keyvalue.Faults{}))
	checkHistory(t, s, seen)
}

// faultSequence returns the faults in the order of their injection.
func faultSequence(t *testing.T, s *site.Site) []func() error {
	ctx := testContext(t)
	return []func() error{
		s.Services[0].Restart,
		s.Entries[0].Restart,
		func() error {
			return s.SetKeyValueFaults(ctx, keyvalue.Faults{LoseResponseRate: 0.3, DelayMillis: 20, Seed: 1})
		},
		s.Services[1].Freeze,
		s.Services[0].Restart,
		s.Services[1].Thaw,
		func() error { return s.SetKeyValueFaults(ctx, keyvalue.Faults{Down: true}) },
		s.Entries[1].Restart,
		func() error { return s.SetKeyValueFaults(ctx, keyvalue.Faults{}) },
	}
}

// bookAll sends all bookings in the given order, each twice, and retries the calls
// that did not succeed.
func bookAll(ctx context.Context, s *site.Site, entry *site.Host, order []int, seen *history) {
	for _, i := range append(order, order...) {
		key := fmt.Sprintf("booking-%d", i)
		for range maxAttempts {
			result, err := book(ctx, s, entry, key)
			if err != nil {
				result.Outcome = "lost"
			}
			seen.add(key, result.Outcome)
			if result.Outcome == "ran" {
				break
			}
			time.Sleep(retryInterval)
		}
	}
}

// checkHistory compares the outcomes that callers got with the service's runs.
func checkHistory(t *testing.T, s *site.Site, seen *history) {
	t.Helper()
	runs, err := s.Runs(testContext(t))
	must(t, err)
	counts := map[string]int{}
	for key, outcomes := range seen.outcomes {
		ran, onlyNotRun := false, true
		for _, outcome := range outcomes {
			counts[outcome]++
			ran = ran || outcome == "ran"
			onlyNotRun = onlyNotRun && outcome == "not-run"
		}
		got := runs.ByKey[key]
		if got > 1 || (ran && got != 1) || (onlyNotRun && got != 0) {
			t.Errorf("%s ran %d times, outcomes %v", key, got, outcomes)
		}
	}
	t.Logf("outcomes %v, %d runs", counts, runs.Total)
	if counts["ran"] == 0 {
		t.Error("no booking ran")
	}
}
