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
func (f *syncState) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// setLists records a revision of the lists and reports whether it is new.
func (f *syncState) setLists(snapshot lists.Snapshot) (bool, error) {
	isNew, err := f.relay.Publish(snapshot)
	if !isNew || err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return true, nil
}

// setHosts records a host list that this entry has read.
func (f *syncState) setHosts(listing *hostlist.Listing) error {
	isNew, err := f.hosts.Publish(listing)
	if !isNew || err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return nil
}

// applyHosts records a relayed host list.
func (f *syncState) applyHosts(update *wire.HostUpdate) error {
	if err := f.hosts.Apply(update); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return nil
}

// setPlacements records placements that were read up to a revision and returns
// those that changed.
func (f *syncState) setPlacements(now time.Time, revision int64, placements []wire.Placement) []wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []wire.Placement
	for _, read := range placements {
		id := placement.ModelVersionOf(&read)
		if read.Revision <= f.placements[id].Revision {
			continue
		}
		f.placements[id] = read
		f.changedAt[id] = now
		changed = append(changed, read)
	}
	if revision > f.placementRevision {
		f.placementRevision = revision
	}
	if len(changed) > 0 {
		f.notify()
	}
	return changed
}

// recentPlacement returns a model's placement if it changed recently, else nil.
func (f *syncState) recentPlacement(now time.Time, id placement.ModelVersion) *wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.changedAt[id]) > recentChangeWindow {
		return nil
	}
	known, ok := f.placements[id]
	if !ok {
		return nil
	}
	return &known
}

// revisions returns the newest revisions of lists and placements.
func (f *syncState) revisions() (listsRevision, placementRevision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay.Revision(), f.placementRevision
}

// allPlacements returns a copy of all placements.
func (f *syncState) allPlacements() []wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]wire.Placement, 0, len(f.placements))
	for _, known := range f.placements {
		all = append(all, known)
	}
	return all
}

// waitForUpdate returns the response to a Sync as soon as there are changes, or an
// empty one when ctx ends.
func (f *syncState) waitForUpdate(ctx context.Context, sync *wire.Sync) *wire.Update {
	for {
		f.mu.Lock()
		update := f.updateLocked(sync)
		changed := f.changed
		f.mu.Unlock()
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

func (f *syncState) updateLocked(sync *wire.Sync) *wire.Update {
	update := &wire.Update{PlacementRevision: f.placementRevision}
	if sync.Runner == "" {
		f.addLists(update, sync.ListsRevision)
		update.Hosts = f.hosts.Update(sync.HostsSum)
	}
	for _, known := range f.placements {
		if known.Revision > sync.PlacementRevision {
			update.Placements = append(update.Placements, known)
		}
	}
	return update
}

// addLists adds the lists unless the known revision is the newest. Encoding can't
// fail here, as setLists rejects a revision that can't be encoded.
func (f *syncState) addLists(update *wire.Update, known int64) {
	data, err := f.relay.Update(known)
	if err != nil || data == nil {
		return
	}
	update.ListsRevision = f.relay.Revision()
	update.Lists = data
}
