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

// recentChange is how long a changed placement goes along with requests. A runner
// has learnt of it by then.
const recentChange = 30 * time.Second

// feed is what this entry knows of lists and placements and relays to others.
// Revisions only go up.
type feed struct {
	relay *lists.Relay
	hosts *hostrelay.Relay

	mu         sync.Mutex
	placements map[placement.ModelVersion]wire.Placement
	changedAt  map[placement.ModelVersion]time.Time
	placeRev   int64
	changed    chan struct{}
}

func newFeed() *feed {
	return &feed{
		relay:      lists.NewRelay(),
		hosts:      hostrelay.New(),
		placements: make(map[placement.ModelVersion]wire.Placement),
		changedAt:  make(map[placement.ModelVersion]time.Time),
		changed:    make(chan struct{}),
	}
}

// notify wakes waiting readers. The caller holds mu.
func (f *feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// setLists records a revision of the lists and tells whether it is news.
func (f *feed) setLists(snapshot lists.Snapshot) (bool, error) {
	isNews, err := f.relay.Publish(snapshot)
	if !isNews || err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return true, nil
}

// setHosts records a reading of the host list.
func (f *feed) setHosts(listing *hostlist.Listing) error {
	isNews, err := f.hosts.Publish(listing)
	if !isNews || err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return nil
}

// takeHosts records a relayed host list.
func (f *feed) takeHosts(update *wire.HostUpdate) error {
	if err := f.hosts.Apply(update); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
	return nil
}

// setPlacements records placements that were read up to a revision and returns
// those that are news.
func (f *feed) setPlacements(now time.Time, revision int64, placements []wire.Placement) []wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []wire.Placement
	for _, read := range placements {
		id := placement.ModelVersionOf(&read)
		if read.Revision <= f.placements[id].Revision {
			continue
		}
		f.placements[id] = read
		f.changedAt[id] = now
		news = append(news, read)
	}
	if revision > f.placeRev {
		f.placeRev = revision
	}
	if len(news) > 0 {
		f.notify()
	}
	return news
}

// recentPlacement returns a model's placement if it has changed lately, else nil.
func (f *feed) recentPlacement(now time.Time, id placement.ModelVersion) *wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.changedAt[id]) > recentChange {
		return nil
	}
	known, ok := f.placements[id]
	if !ok {
		return nil
	}
	return &known
}

// revisions returns the newest revisions of lists and placements.
func (f *feed) revisions() (listsRevision, placementRevision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay.Revision(), f.placeRev
}

// allPlacements returns a copy of all placements.
func (f *feed) allPlacements() []wire.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]wire.Placement, 0, len(f.placements))
	for _, known := range f.placements {
		all = append(all, known)
	}
	return all
}

// wait answers a Sync as soon as there is news, or without news when ctx ends.
func (f *feed) wait(ctx context.Context, sync *wire.Sync) *wire.Update {
	for {
		f.mu.Lock()
		update := f.updateLocked(sync)
		changed := f.changed
		f.mu.Unlock()
		if hasNews(update) {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return update
		}
	}
}

func hasNews(update *wire.Update) bool {
	return update.ListsRevision > 0 || len(update.Placements) > 0 || update.Hosts != nil
}

func (f *feed) updateLocked(sync *wire.Sync) *wire.Update {
	update := &wire.Update{PlacementRevision: f.placeRev}
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

// addLists adds the lists unless the known revision is the newest. A revision
// that can't be encoded was refused by setLists before.
func (f *feed) addLists(update *wire.Update, known int64) {
	data, err := f.relay.Update(known)
	if err != nil || data == nil {
		return
	}
	update.ListsRevision = f.relay.Revision()
	update.Lists = data
}
