package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// domainPause is the least time between two updates to another relay, sitePause
	// to an entry that follows.
	domainPause = 50 * time.Millisecond
	sitePause   = 100 * time.Millisecond
	// updateInterval is the longest time between two updates.
	updateInterval = 200 * time.Millisecond
	// relayPatience is how long an entry that is asked to relay, and doesn't, waits
	// for seeing that it should.
	relayPatience = 1500 * time.Millisecond
	// relaySettle is how long a new relay waits for the agents before it tells that
	// there are no others.
	relaySettle = 800 * time.Millisecond
	// relayCheck is the time between two looks whether this entry relays.
	relayCheck = 50 * time.Millisecond
)

// relayServer answers the entries that follow this one.
type relayServer struct {
	control *control
}

var _ wire.Handler = (*relayServer)(nil)

// ServeStream implements wire.Handler.
func (s *relayServer) ServeStream(ctx context.Context, peer wire.Peer, stream *wire.Stream) {
	defer stream.Cancel()
	frame, err := stream.ReceiveFirst()
	if err != nil {
		return
	}
	if frame.Follow == nil || peer.Role != keys.RoleEntry {
		s.control.logger.Warn("unexpected frame", "peer", peer.Host)
		return
	}
	if !s.awaitRelaying(ctx, stream) {
		return
	}
	s.control.logger.Info("entry follows", "entry", frame.Follow.Entry, "domain", frame.Follow.FailureDomain)
	s.serve(ctx, stream, frame.Follow.FailureDomain)
	s.control.logger.Info("entry left", "entry", frame.Follow.Entry, "domain", frame.Follow.FailureDomain)
}

// awaitRelaying waits until this entry relays, and returns false if it doesn't come
// to that.
func (s *relayServer) awaitRelaying(ctx context.Context, stream *wire.Stream) bool {
	asked := time.Now()
	for !s.control.isRelaying() {
		if ctx.Err() != nil || stream.Context().Err() != nil || time.Since(asked) > relayPatience {
			return false
		}
		time.Sleep(relayCheck)
	}
	return true
}

// isSettled tells whether this entry relays and knows the site well enough to say
// what isn't there. Any goroutine may call it.
func (c *control) isSettled(now time.Time) bool {
	since := c.relayingSince.Load()
	return since != nil && (now.Sub(*since) > relaySettle || c.current().isComplete(now))
}

// isComplete tells whether backend servers are known and all agents of the site are
// heard.
func (v *view) isComplete(now time.Time) bool {
	for _, host := range v.hosts {
		if host.Role == keys.RoleAgent && !v.agents[host.ID].hears(now) {
			return false
		}
	}
	return len(v.servers) > 0
}

// serve sends updates until the follower leaves or this entry stops to relay.
func (s *relayServer) serve(ctx context.Context, stream *wire.Stream, domain string) {
	pause := sitePause
	if domain != "" {
		pause = domainPause
	}
	cursor := newSiteCursor(domain)
	isSettled := false
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	sentAt := time.Time{}
	for s.control.isRelaying() {
		now := time.Now()
		becomesSettled := !isSettled && s.control.isSettled(now)
		if becomesSettled {
			// From now on what isn't named is gone, so all is named once more.
			isSettled = true
			cursor = newSiteCursor(domain)
		}
		update := cursor.next(s.control.current())
		update.Complete = becomesSettled
		if !isEmpty(update) || now.Sub(sentAt) >= updateInterval {
			update.StoreAgeMillis = storeAgeMillis(s.control.beliefs.age(now, metrics.ViewRegistrations))
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

// storeAgeMillis is the age of what is known from the store as followers get it.
func storeAgeMillis(age time.Duration) uint32 {
	if age < 0 {
		return math.MaxUint32
	}
	return uint32(min(age.Milliseconds(), math.MaxUint32))
}

// siteCursor is what one follower knows of the site.
type siteCursor struct {
	// domain is that of the agents that the follower asked for; empty for all that
	// an entry needs to know.
	domain        string
	agents        *directory.Cursor
	servers       map[string]wire.ServerUpdate
	entries       map[string]wire.EntryUpdate
	configuration int64
}

func newSiteCursor(domain string) *siteCursor {
	return &siteCursor{
		domain:  domain,
		agents:  directory.NewCursor(domain),
		servers: make(map[string]wire.ServerUpdate),
		entries: make(map[string]wire.EntryUpdate),
	}
}

// next returns what the follower must be told.
func (c *siteCursor) next(current *view) *wire.SiteUpdate {
	update := &wire.SiteUpdate{}
	update.Agents, update.RemovedAgents = c.agents.Next(current.rows())
	if c.domain != "" {
		return update
	}
	update.Servers, update.RemovedServers = changes(c.servers, serversOf(current), sameServer)
	update.Entries, update.RemovedEntries = changes(c.entries, entriesOf(current), func(a, b wire.EntryUpdate) bool { return a == b })
	if current.table != nil {
		version := current.table.Configuration().Version
		if version != c.configuration {
			update.Configuration = version
		}
		c.configuration = version
	}
	return update
}

// isEmpty tells whether an update brings no news.
func isEmpty(u *wire.SiteUpdate) bool {
	return !u.Complete && u.Configuration == 0 && len(u.Agents)+len(u.RemovedAgents)+len(u.Servers)+len(u.RemovedServers)+
		len(u.Entries)+len(u.RemovedEntries) == 0
}

// changes returns what is new or differs from what is known, and what is gone, and
// brings known up to date.
func changes[T any](known, present map[string]T, same func(a, b T) bool) (updates []T, gone []string) {
	for _, id := range slices.Sorted(maps.Keys(present)) {
		before, ok := known[id]
		if !ok || !same(before, present[id]) {
			updates = append(updates, present[id])
			known[id] = present[id]
		}
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if _, ok := present[id]; !ok {
			gone = append(gone, id)
			delete(known, id)
		}
	}
	return updates, gone
}

// sameServer tells whether two updates of a backend server differ in heartbeats
// only.
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

func serverUpdate(b *fleet.Backend) wire.ServerUpdate {
	return wire.ServerUpdate{
		ID:              b.ID,
		Service:         b.Service,
		Address:         b.Address,
		FailureDomain:   b.FailureDomain,
		Slots:           b.Slots,
		Draining:        b.State == fleet.BackendDraining,
		ColdMillis:      uint32(b.WarmupRemaining.Milliseconds()),
		StartedAtMillis: b.StartedAtMillis,
		Sequence:        b.Sequence,
	}
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

func entryUpdate(host *roster.Host) wire.EntryUpdate {
	return wire.EntryUpdate{
		Host:          host.ID,
		Inner:         host.InternalAddress,
		FailureDomain: host.FailureDomain,
		Processor:     host.CPUShare,
		Revision:      host.Revision,
	}
}
