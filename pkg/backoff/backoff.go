// Package backoff spaces retries of background work.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minPause     = 200 * time.Millisecond
	maxPause     = 5 * time.Second
	maxDoublings = 10
)

// Duration returns the pause after a number of failures in a row: exponential
// from 200 ms to 5 s, with jitter of half of it.
func Duration(failures int) time.Duration {
	pause := min(minPause<<min(failures, maxDoublings), maxPause)
	return pause/2 + rand.N(pause/2+1)
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
