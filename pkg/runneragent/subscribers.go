package runneragent

import (
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// subscribers holds the runner's newest status for the subscribed gateways. It is
// safe for concurrent use.
type subscribers struct {
	mu     sync.Mutex
	latest *wire.RunnerStatus
	// announced is the last status for which the subscribers were woken, at
	// announcedAt.
	announced   *wire.RunnerStatus
	announcedAt time.Time
	// wakes holds a token for each subscriber with a pending change.
	wakes map[chan struct{}]struct{}
}

// minLoadUpdateInterval is the minimum time between two statuses that differ in
// load only.
const minLoadUpdateInterval = 200 * time.Millisecond

// publish sets the current status. It wakes the subscribers if more than counts
// and rates have changed, or if the load has changed by a step and
// minLoadUpdateInterval has passed.
func (s *subscribers) publish(now time.Time, status *wire.RunnerStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = status
	hasChanged := s.announced == nil || differsBeyondLoad(status, s.announced) ||
		(now.Sub(s.announcedAt) >= minLoadUpdateInterval && directory.LoadDiffers(status, s.announced))
	if !hasChanged {
		return
	}
	s.announced = status
	s.announcedAt = now
	for wake := range s.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// differsBeyondLoad reports whether two statuses differ in more than counts and
// rates.
func differsBeyondLoad(a, b *wire.RunnerStatus) bool {
	return a.Instance != b.Instance || a.StartedAtMillis != b.StartedAtMillis || a.PlacementRevision != b.PlacementRevision ||
		a.Leaving != b.Leaving || a.Down != b.Down || a.NotRunning != b.NotRunning || a.Quarantine != b.Quarantine || a.Failing != b.Failing || a.Slots != b.Slots ||
		!slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b wire.RunnerModel) bool {
	return a.Name == b.Name && a.State == b.State && a.Tier == b.Tier &&
		a.AwaitsLoadGrant == b.AwaitsLoadGrant && a.FromStore == b.FromStore &&
		a.Wanted == b.Wanted && a.WaitMillis == b.WaitMillis && a.PermitRank == b.PermitRank
}

// subscribe returns a channel that receives a token after each change, and a
// function that ends the subscription.
func (s *subscribers) subscribe() (wake chan struct{}, end func()) {
	wake = make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wakes == nil {
		s.wakes = make(map[chan struct{}]struct{})
	}
	s.wakes[wake] = struct{}{}
	return wake, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.wakes, wake)
	}
}

// count returns the number of subscribers.
func (s *subscribers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wakes)
}

// status returns the newest status, or nil before the first.
func (s *subscribers) status() *wire.RunnerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}
