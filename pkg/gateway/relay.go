package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minDomainUpdateInterval is the minimum time between two updates to another
	// relay, minSiteUpdateInterval to any other entry.
	minDomainUpdateInterval = 50 * time.Millisecond
	minSiteUpdateInterval   = 100 * time.Millisecond
	// maxUpdateInterval is the maximum time between two updates.
	maxUpdateInterval = 200 * time.Millisecond
	// relayStartTimeout is how long an entry that gets a subscription, but isn't a
	// relay, waits to become one. The subscriber may see a topology change first.
	relayStartTimeout = 1500 * time.Millisecond
	// relayWarmup is how long a new relay waits for the agents before it reports
	// its list of agents as complete.
	relayWarmup = 800 * time.Millisecond
	// relayCheckInterval is the time between two checks whether this entry relays.
	relayCheckInterval = 50 * time.Millisecond
)

// relayServer serves the subscriptions of other entries to this entry's state.
type relayServer struct {
	control *control
}

// serve sends updates to an entry that subscribed.
func (s *relayServer) serve(ctx context.Context, stream *wire.Stream, follow *wire.Follow) {
	if !s.awaitRelaying(ctx, stream) {
		return
	}
	s.control.logger.Info("entry subscribed", "entry", follow.Entry, "domain", follow.FailureDomain)
	s.sendUpdates(ctx, stream, follow.FailureDomain)
	s.control.logger.Info("entry subscription ended", "entry", follow.Entry, "domain", follow.FailureDomain)
}

// awaitRelaying waits until this entry relays, and returns false if it doesn't
// within the timeout.
func (s *relayServer) awaitRelaying(ctx context.Context, stream *wire.Stream) bool {
	requestedAt := time.Now()
	for !s.control.isRelaying() {
		if ctx.Err() != nil || stream.Context().Err() != nil || time.Since(requestedAt) > relayStartTimeout {
			return false
		}
		time.Sleep(relayCheckInterval)
	}
	return true
}

// hasCompleteView reports whether this entry relays and its state is complete, or
// its warm-up is over, so that what is missing from it is taken not to exist. Before
// the registrations were read once, nothing is known to be missing. Any goroutine may
// call it.
func (c *control) hasCompleteView(now time.Time) bool {
	since := c.relayingSince.Load()
	if since == nil || c.freshness.age(now, metrics.ViewRegistrations) == neverConfirmed {
		return false
	}
	return now.Sub(*since) > relayWarmup || c.current().isComplete(now)
}

// isComplete reports whether backend servers are known and the statuses of all
// agents are valid.
func (v *view) isComplete(now time.Time) bool {
	for _, host := range v.hosts {
		if host.Role == keys.RoleAgent && !v.agents[host.ID].isFresh(now) {
			return false
		}
	}
	return len(v.servers) > 0
}

// sendUpdates sends updates until the subscriber disconnects or this entry stops
// relaying.
func (s *relayServer) sendUpdates(ctx context.Context, stream *wire.Stream, domain string) {
	interval := minSiteUpdateInterval
	if domain != "" {
		interval = minDomainUpdateInterval
	}
	updates := newSubscriberUpdates(s.control, domain)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	sentAt := time.Time{}
	for s.control.isRelaying() {
		now := time.Now()
		update := updates.next(now)
		if !isEmpty(update) || now.Sub(sentAt) >= maxUpdateInterval {
			if err := stream.Send(&wire.Frame{SiteUpdate: update}); err != nil {
				return
			}
			sentAt = now
		}
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// subscriberUpdates makes the updates for one subscriber. Each of them must be sent or the
// subscription ended, unless it is empty.
type subscriberUpdates struct {
	control *control
	domain  string
	cursor  *siteCursor
	// isComplete is set once the subscriber was sent the complete state.
	isComplete bool
}

func newSubscriberUpdates(c *control, domain string) *subscriberUpdates {
	return &subscriberUpdates{control: c, domain: domain, cursor: newSiteCursor(domain)}
}

// next returns the changes since the last update.
func (u *subscriberUpdates) next(now time.Time) *wire.SiteUpdate {
	// The age is taken before the view, so that it isn't that of a newer one.
	storeAge := u.control.freshness.age(now, metrics.ViewRegistrations)
	becomesComplete := !u.isComplete && u.control.hasCompleteView(now)
	if becomesComplete {
		// A complete update removes everything it doesn't list, so all is
		// sent again.
		u.isComplete = true
		u.cursor = newSiteCursor(u.domain)
	}
	update := u.cursor.next(u.control.current())
	update.Complete = becomesComplete
	update.StoreAgeMillis = storeAgeMillis(storeAge)
	return update
}

// storeAgeMillis converts the age of the store's data to its wire format.
func storeAgeMillis(age time.Duration) uint32 {
	if age < 0 {
		return math.MaxUint32
	}
	return uint32(min(age.Milliseconds(), math.MaxUint32))
}

// siteCursor is the state that one subscriber has received.
type siteCursor struct {
	// domain is the failure domain of the agents that the subscriber asked for;
	// empty for the full state of the site.
	domain        string
	agents        *directory.Cursor
	servers       map[string]wire.ServerUpdate
	entries       map[string]wire.EntryUpdate
	configuration int64
	// history is the revision of the history of versions.
	history int64
}

func newSiteCursor(domain string) *siteCursor {
	return &siteCursor{
		domain:  domain,
		agents:  directory.NewCursor(domain),
		servers: make(map[string]wire.ServerUpdate),
		entries: make(map[string]wire.EntryUpdate),
	}
}

// next returns the changes since the last update.
func (c *siteCursor) next(current *view) *wire.SiteUpdate {
	update := &wire.SiteUpdate{}
	update.Agents, update.RemovedAgents = c.agents.Next(current.records())
	if c.domain != "" {
		return update
	}
	update.Servers, update.RemovedServers = diffByID(c.servers, serversOf(current), sameServer)
	update.Entries, update.RemovedEntries = diffByID(c.entries, entriesOf(current), func(a, b wire.EntryUpdate) bool { return a == b })
	if current.history != nil && current.history.Revision != c.history {
		update.Software = historyUpdate(current.history)
		c.history = current.history.Revision
	}
	if current.table != nil {
		version := current.table.Configuration().Version
		if version != c.configuration {
			update.Configuration = version
		}
		c.configuration = version
	}
	return update
}

// isEmpty reports whether an update contains no change.
func isEmpty(u *wire.SiteUpdate) bool {
	return !u.Complete && u.Configuration == 0 && u.Software == nil && len(u.Agents)+len(u.RemovedAgents)+len(u.Servers)+len(u.RemovedServers)+
		len(u.Entries)+len(u.RemovedEntries) == 0
}

// diffByID returns the added or changed values and the IDs of the removed ones, and
// updates known.
func diffByID[T any](known, present map[string]T, same func(a, b T) bool) (updates []T, removed []string) {
	for _, id := range slices.Sorted(maps.Keys(present)) {
		before, ok := known[id]
		if !ok || !same(before, present[id]) {
			updates = append(updates, present[id])
			known[id] = present[id]
		}
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if _, ok := present[id]; !ok {
			removed = append(removed, id)
			delete(known, id)
		}
	}
	return updates, removed
}

// sameServer reports whether two updates of a backend server differ at most in
// heartbeats.
func sameServer(a, b wire.ServerUpdate) bool {
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

func serversOf(v *view) map[string]wire.ServerUpdate {
	servers := make(map[string]wire.ServerUpdate)
	for _, listed := range v.servers {
		for _, s := range listed {
			servers[s.ID] = serverUpdate(s.Backend)
		}
	}
	return servers
}

func entriesOf(v *view) map[string]wire.EntryUpdate {
	entries := make(map[string]wire.EntryUpdate)
	for id, host := range v.hosts {
		if host.Role == keys.RoleEntry {
			entries[id] = entryUpdate(&host)
		}
	}
	return entries
}
