// Package backoff computes delays that grow with the number of consecutive failures.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minDelay and maxDelay limit the delay between retries of background work,
	// before the jitter.
	minDelay = 200 * time.Millisecond
	maxDelay = 5 * time.Second
	// maxDoublings limits the doublings of a delay, so that it doesn't overflow.
	maxDoublings = 10
)

// Exponential returns the delay after a number of consecutive earlier failures: first
// after none, and twice as long with each, up to limit, which is at most 1024 times
// first.
func Exponential(first, limit time.Duration, failures int) time.Duration {
	return min(first<<min(failures, maxDoublings), limit)
}

// Duration returns the delay between retries of background work after a number of
// consecutive failures: exponential from 200 ms to 5 s, of which up to half is
// subtracted as jitter.
func Duration(failures int) time.Duration {
	delay := Exponential(minDelay, maxDelay, failures)
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
