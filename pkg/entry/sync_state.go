package entry

import (
	"context"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/hostrelay"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// recentChangeWindow is how long a changed placement is sent along with requests.
// After that the runner has received it by its Sync.
const recentChangeWindow = 30 * time.Second

// syncState holds the lists, hosts and placements that this entry knows and relays
// to others. Revisions only increase.
type syncState struct {
	relay *lists.Relay
	hosts *hostrelay.Relay

	mu                sync.Mutex
	placements        map[placement.ModelVersion]wire.Placement
	changedAt         map[placement.ModelVersion]time.Time
	placementRevision int64
	changed           chan struct{}
}

func newSyncState() *syncState {
	return &syncState{
		relay:      lists.NewRelay(),
		hosts:      hostrelay.New(),
		placements: make(map[placement.ModelVersion]wire.Placement),
		changedAt:  make(map[placement.ModelVersion]time.Time),
		changed:    make(chan struct{}),
	}
}

// notify wakes the waiting readers. The caller holds mu.
func (s *syncState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setLists records a revision of the lists and reports whether it is new.
func (s *syncState) setLists(snapshot lists.Snapshot) (bool, error) {
	isNew, err := s.relay.Publish(snapshot)
	if !isNew || err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
	return true, nil
}

// setHosts records a host list that this entry has read.
func (s *syncState) setHosts(listing *hostlist.Listing) error {
	isNew, err := s.hosts.Publish(listing)
	if !isNew || err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
	return nil
}

// applyHosts records a relayed host list.
func (s *syncState) applyHosts(update *wire.HostUpdate) error {
	if err := s.hosts.Apply(update); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
	return nil
}

// setPlacements records placements that were read up to a revision and returns
// those that changed.
func (s *syncState) setPlacements(now time.Time, revision int64, placements []wire.Placement) []wire.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []wire.Placement
	for _, read := range placements {
		id := placement.ModelVersionOf(&read)
		if read.Revision <= s.placements[id].Revision {
			continue
		}
		s.placements[id] = read
		s.changedAt[id] = now
		changed = append(changed, read)
	}
	if revision > s.placementRevision {
		s.placementRevision = revision
	}
	if len(changed) > 0 {
		s.notify()
	}
	return changed
}

// recentPlacement returns a model's placement if it changed recently, else nil.
func (s *syncState) recentPlacement(now time.Time, id placement.ModelVersion) *wire.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.changedAt[id]) > recentChangeWindow {
		return nil
	}
	known, ok := s.placements[id]
	if !ok {
		return nil
	}
	return &known
}

// revisions returns the newest revisions of lists and placements.
func (s *syncState) revisions() (listsRevision, placementRevision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay.Revision(), s.placementRevision
}

// allPlacements returns a copy of all placements.
func (s *syncState) allPlacements() []wire.Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]wire.Placement, 0, len(s.placements))
	for _, known := range s.placements {
		all = append(all, known)
	}
	return all
}

// waitForUpdate returns the response to a Sync as soon as there are changes, or an
// empty one when ctx ends.
func (s *syncState) waitForUpdate(ctx context.Context, sync *wire.Sync) *wire.Update {
	for {
		s.mu.Lock()
		update := s.updateLocked(sync)
		changed := s.changed
		s.mu.Unlock()
		if hasChanges(update) {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return update
		}
	}
}

func hasChanges(update *wire.Update) bool {
	return update.ListsRevision > 0 || len(update.Placements) > 0 || update.Hosts != nil
}

func (s *syncState) updateLocked(sync *wire.Sync) *wire.Update {
	update := &wire.Update{PlacementRevision: s.placementRevision}
	if sync.Runner == "" {
		s.addLists(update, sync.ListsRevision)
		update.Hosts = s.hosts.Update(sync.HostsSum)
	}
	for _, known := range s.placements {
		if known.Revision > sync.PlacementRevision {
			update.Placements = append(update.Placements, known)
		}
	}
	return update
}

// addLists adds the lists unless the known revision is the newest. Encoding can't
// fail here, as setLists rejects a revision that can't be encoded.
func (s *syncState) addLists(update *wire.Update, known int64) {
	data, err := s.relay.Update(known)
	if err != nil || data == nil {
		return
	}
	update.ListsRevision = s.relay.Revision()
	update.Lists = data
}
