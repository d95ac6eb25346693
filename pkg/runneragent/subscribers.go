package runneragent

import (
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// subscribers hold the runner's newest status for the gateways that follow it.
// They are safe for concurrent use.
type subscribers struct {
	mu     sync.Mutex
	latest *wire.RunnerStatus
	// woken is the status that the subscribers were woken for last, and at when.
	woken   *wire.RunnerStatus
	wokenAt time.Time
	// wakes hold a token for each subscriber that has not seen a change.
	wakes map[chan struct{}]struct{}
}

// loadPause is the least time between two statuses that differ in the load only.
const loadPause = 200 * time.Millisecond

// publish takes in the present status and wakes the subscribers if it differs in
// more than counts, or if the load has changed by a step and the last status is a
// moment old.
func (s *subscribers) publish(now time.Time, status *wire.RunnerStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = status
	isNews := s.woken == nil || differs(status, s.woken) ||
		(now.Sub(s.wokenAt) >= loadPause && directory.LoadDiffers(status, s.woken))
	if !isNews {
		return
	}
	s.woken = status
	s.wokenAt = now
	for wake := range s.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// differs tells whether two statuses differ in more than counts and rates.
func differs(a, b *wire.RunnerStatus) bool {
	return a.Instance != b.Instance || a.StartedAtMillis != b.StartedAtMillis || a.PlacementRevision != b.PlacementRevision ||
		a.Leaving != b.Leaving || a.Down != b.Down || a.Failing != b.Failing || a.Slots != b.Slots ||
		!slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b wire.RunnerModel) bool {
	return a.Name == b.Name && a.State == b.State && a.Tier == b.Tier &&
		a.AwaitsLoadGrant == b.AwaitsLoadGrant && a.FromStore == b.FromStore &&
		a.Wanted == b.Wanted && a.WaitMillis == b.WaitMillis && a.PermitRank == b.PermitRank
}

// subscribe returns a channel that holds a token after each change, and the end
// of the subscription.
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
