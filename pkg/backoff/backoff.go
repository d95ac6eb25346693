// Package backoff computes the delays between retries of background work.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minDelay     = 200 * time.Millisecond
	maxDelay     = 5 * time.Second
	maxDoublings = 10
)

// Duration returns the delay after a number of consecutive failures: exponential
// from 200 ms to 5 s, of which up to half is subtracted as jitter.
func Duration(failures int) time.Duration {
	delay := min(minDelay<<min(failures, maxDoublings), maxDelay)
	return delay/2 + rand.N(delay/2+1)
}

// Sleep waits for the duration or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
