package process

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
)

const (
	fairModel  = "batch-report"
	fairSlots  = 2
	fairFlood  = 30
	fairQuick  = 12
	longTokens = 60
	// fairBound is how many requests of the other plan may end while a quick one
	// waits and runs: those that run already, and as many again.
	fairBound = 2 * fairSlots
)

func fairBody(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"summary"}]}`, fairModel, tokens)
}

func askFair(ctx context.Context, s *site.Site, key string, tokens int) (site.Result, error) {
	return s.Caller(s.Entries[0], key).Do(ctx, http.MethodPost, "/v1/chat/completions", fairBody(tokens), deadline(patience))
}

// TestBurstHoldsUpNoOtherPlan lets one plan keep many long requests waiting for a
// model and asks quick questions of another plan at the same model, which must
// not wait for the burst to end.
func TestBurstHoldsUpNoOtherPlan(t *testing.T) {
	s := start(t, func(o *site.Options) {
		o.Runners = 1
		o.EngineFlags = []string{"--slots", fmt.Sprint(fairSlots), "--token-time", "5ms"}
	})
	warm, err := askFair(within(t), s, site.KeyPrepress, 1)
	if err != nil || warm.Status != http.StatusOK {
		t.Fatalf("warm up: %s, %v", warm, err)
	}
	ctx, cancel := context.WithCancel(within(t))
	var ended atomic.Int64
	var wait sync.WaitGroup
	for range fairFlood {
		wait.Go(func() {
			for ctx.Err() == nil {
				if _, err := askFair(ctx, s, site.KeyReports, longTokens); err == nil {
					ended.Add(1)
				}
			}
		})
	}
	must(t, site.Eventually(within(t), func() error {
		if ended.Load() < fairSlots {
			return fmt.Errorf("%d long requests have ended", ended.Load())
		}
		return nil
	}))
	for i := range fairQuick {
		before := ended.Load()
		result, err := askFair(within(t), s, site.KeyPrepress, 1)
		if err != nil || result.Status != http.StatusOK {
			t.Errorf("quick question %d: %s, %v", i, result, err)
		}
		if passed := ended.Load() - before; passed > fairBound {
			t.Errorf("%d long requests ended before quick question %d, bound %d", passed, i, fairBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	wait.Wait()
}
