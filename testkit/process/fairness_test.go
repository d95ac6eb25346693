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
	fairModel         = "batch-report"
	fairSlots         = 2
	fairLongRequests  = 30
	fairShortRequests = 12
	longTokens        = 60
	// fairMaxCompleted is how many requests of the other plan may complete while a
	// short one waits and runs: those already running, and as many again.
	fairMaxCompleted = 2 * fairSlots
)

func fairBody(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"summary"}]}`, fairModel, tokens)
}

// sendFair sends a request with a response of the given length to the shared model.
func sendFair(ctx context.Context, s *site.Site, key string, tokens int) (site.Result, error) {
	return s.Caller(s.Entries[0], key).Do(ctx, http.MethodPost, "/v1/chat/completions", fairBody(tokens), deadline(waitTimeout))
}

// TestBurstDoesNotDelayOtherPlan lets one plan keep many long requests queued for a
// model and sends short requests of another plan for the same model, which must not
// wait for the burst to end.
func TestBurstDoesNotDelayOtherPlan(t *testing.T) {
	s := start(t, func(o *site.Options) {
		o.Runners = 1
		o.EngineFlags = []string{"--slots", fmt.Sprint(fairSlots), "--token-time", "5ms"}
	})
	warm, err := sendFair(testContext(t), s, site.KeyPrepress, 1)
	if err != nil || warm.Status != http.StatusOK {
		t.Fatalf("warm up: %s, %v", warm, err)
	}
	ctx, cancel := context.WithCancel(testContext(t))
	var ended atomic.Int64
	var wait sync.WaitGroup
	for range fairLongRequests {
		wait.Go(func() {
			for ctx.Err() == nil {
				if _, err := sendFair(ctx, s, site.KeyReports, longTokens); err == nil {
					ended.Add(1)
				}
			}
		})
	}
	must(t, site.Eventually(testContext(t), func() error {
		if ended.Load() < fairSlots {
			return fmt.Errorf("%d long requests have completed", ended.Load())
		}
		return nil
	}))
	for i := range fairShortRequests {
		before := ended.Load()
		result, err := sendFair(testContext(t), s, site.KeyPrepress, 1)
		if err != nil || result.Status != http.StatusOK {
			t.Errorf("short request %d: %s, %v", i, result, err)
		}
		if passed := ended.Load() - before; passed > fairMaxCompleted {
			t.Errorf("%d long requests completed before short request %d, want at most %d", passed, i, fairMaxCompleted)
		}
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	wait.Wait()
}
