package gateway

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// neverConfirmed is the age of state that was never received.
const neverConfirmed = -1

// loggedAge returns an age for the log, in milliseconds; -1 for neverConfirmed.
func loggedAge(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

// confirmation is a version and when it was last known to be the newest.
type confirmation struct {
	version int64
	at      time.Time
}

// freshness holds the version and age of each part of the control state that comes
// from the store. The zero value is ready to use; it is safe for concurrent use.
type freshness struct {
	mu        sync.Mutex
	confirmed map[metrics.View]confirmation
}

// confirm records that a version was the newest at a time.
func (f *freshness) confirm(now time.Time, part metrics.View, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == nil {
		f.confirmed = make(map[metrics.View]confirmation)
	}
	f.confirmed[part] = confirmation{version: version, at: now}
}

// age is the time since a part was confirmed, or neverConfirmed.
func (f *freshness) age(now time.Time, part metrics.View) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.confirmed[part]
	if !ok {
		return neverConfirmed
	}
	return now.Sub(known.at)
}

// updateGauges updates the gauges of versions and ages.
func (f *freshness) updateGauges(now time.Time, gatewayMetrics *metrics.Gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part, known := range f.confirmed {
		gatewayMetrics.ObserveView(part, known.version, now.Sub(known.at))
	}
}
