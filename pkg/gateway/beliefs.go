package gateway

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// neverConfirmed is the age of what was never known.
const neverConfirmed = -1

// confirmation is the version of a belief and when it was last known to be the
// newest.
type confirmation struct {
	version int64
	at      time.Time
}

// beliefs holds the versions and ages of what is known from the store. The zero
// value is ready; it is safe for concurrent use.
type beliefs struct {
	mu        sync.Mutex
	confirmed map[metrics.View]confirmation
}

// confirm notes that a version was the newest at a time.
func (b *beliefs) confirm(now time.Time, belief metrics.View, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmed == nil {
		b.confirmed = make(map[metrics.View]confirmation)
	}
	b.confirmed[belief] = confirmation{version: version, at: now}
}

// age is the time since a belief was confirmed, or neverConfirmed.
func (b *beliefs) age(now time.Time, belief metrics.View) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.confirmed[belief]
	if !ok {
		return neverConfirmed
	}
	return now.Sub(known.at)
}

// show updates the metrics.
func (b *beliefs) show(now time.Time, counted *metrics.Gateway) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for belief, known := range b.confirmed {
		counted.ObserveView(belief, known.version, now.Sub(known.at))
	}
}
