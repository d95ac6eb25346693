package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// firstUpdateTimeout limits the wait for the first update of a relay, which may
	// not know yet that it is one.
	firstUpdateTimeout = 2 * time.Second
	// relayOpenTimeout limits the opening of the stream.
	relayOpenTimeout = 500 * time.Millisecond
	// relayUpdateTimeout is the time without an update after which a relay is
	// abandoned.
	relayUpdateTimeout = 700 * time.Millisecond
)

// upstream is a subscription to a relay.
type upstream struct {
	host roster.Host
	// domain is the failure domain whose agents are requested; empty for the
	// relay's full state.
	domain   string
	follower *follower
	cancel   context.CancelFunc
	ended    chan struct{}
	source   statusSource
	// storeReadAt is when the relay last read from the store; nil before its first
	// update.
	storeReadAt atomic.Pointer[time.Time]
	// servers and entries are the relay's lists; they belong to the event loop.
	// serversKnown is set once that of the servers is complete.
	servers      relayedList[fleet.Backend]
	entries      relayedList[roster.Host]
	serversKnown atomic.Bool
}

// stop ends the subscription and returns nil. It may be called on nil.
func (u *upstream) stop() *upstream {
	if u != nil {
		u.cancel()
	}
	return nil
}

// hasEnded reports whether the subscription has ended.
func (u *upstream) hasEnded() bool {
	select {
	case <-u.ended:
		return true
	default:
		return false
	}
}

// hasUpdate reports whether the relay has sent an update. It may be called on nil.
func (u *upstream) hasUpdate() bool { return u != nil && u.source.receivedAt.Load() != nil }

// storeAge is the time since the relay last read from the store, or neverConfirmed.
func (u *upstream) storeAge(now time.Time) time.Duration {
	if !u.hasUpdate() {
		return neverConfirmed
	}
	return now.Sub(*u.storeReadAt.Load())
}

// replacesStore reports whether the relay's list of backend servers can take the place of
// this entry's own reads of the registrations, the last one of which was at a time: it is
// complete, at most maxStoreAge old, and not older than that read.
func (u *upstream) replacesStore(now, ownReadAt time.Time) bool {
	if !u.hasUpdate() || !u.serversKnown.Load() {
		return false
	}
	readAt := *u.storeReadAt.Load()
	return now.Sub(readAt) <= maxStoreAge && !readAt.Before(ownReadAt)
}

// run receives updates until ctx ends or the relay times out.
func (u *upstream) run(ctx context.Context) {
	f := u.follower
	defer f.requestReconcile()
	defer close(u.ended)
	err := u.follow(ctx)
	if ctx.Err() == nil {
		f.logger.Warn("relay connection lost", "belief", "relay", "relay", u.host.ID, "domain", u.domain, "heard", u.hasUpdate(), "error", err)
		f.node.Retire(u.host.ID)
	}
}

func (u *upstream) follow(ctx context.Context) error {
	f := u.follower
	openCtx, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	stream, err := f.node.Open(openCtx, u.host.ID, u.host.InternalAddress)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Frame{Follow: &wire.Follow{Entry: f.self, FailureDomain: u.domain}}); err != nil {
		return err
	}
	timeout := firstUpdateTimeout
	for {
		stream.SetReadDeadline(time.Now().Add(timeout))
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		if frame.SiteUpdate == nil {
			continue
		}
		timeout = relayUpdateTimeout
		u.applyUpdate(time.Now(), frame.SiteUpdate)
	}
}

// applyUpdate applies an update of the relay.
func (u *upstream) applyUpdate(now time.Time, update *wire.SiteUpdate) {
	f := u.follower
	first := !u.hasUpdate()
	age := time.Duration(update.StoreAgeMillis) * time.Millisecond
	storeReadAt := now.Add(-age)
	u.storeReadAt.Store(&storeReadAt)
	f.control.loop.Do(func() {
		f.control.applyRelayUpdate(now, &u.source, update, update.Complete && u.domain == "")
		if u.domain == "" {
			u.applySite(now, update)
		}
	})
	if u.domain == "" {
		f.storeWatcher.refreshConfiguration(update.Configuration)
	}
	if first {
		f.logger.Info("relay connected", "belief", "relay", "relay", u.host.ID, "domain", u.domain, "agents", len(update.Agents), "servers", len(update.Servers))
		f.requestReconcile()
	}
}

// applySite applies the relay's updates on entries and backend servers.
func (u *upstream) applySite(now time.Time, update *wire.SiteUpdate) {
	c := u.follower.control
	u.applyEntries(update)
	if update.Software != nil {
		c.applySiteChange(siteChange{history: historyOf(update.Software)})
	}
	u.applyServers(now, update)
}

// applyEntries records and applies the relay's update on entries. This entry's own reads, if
// it still makes any, may be newer or older.
func (u *upstream) applyEntries(update *wire.SiteUpdate) {
	entries := make([]roster.Host, 0, len(update.Entries))
	for i := range update.Entries {
		entries = append(entries, entryOf(&update.Entries[i]))
	}
	u.entries.record(update.Complete, entries, func(h *roster.Host) string { return h.ID }, update.RemovedEntries)
	if len(entries)+len(update.RemovedEntries) > 0 {
		u.follower.control.applySiteChange(siteChange{complete: update.Complete, hosts: entries, removed: update.RemovedEntries})
	}
}

// applyServers records the relay's update on backend servers, and applies it unless this entry
// reads the registrations itself.
func (u *upstream) applyServers(now time.Time, update *wire.SiteUpdate) {
	f := u.follower
	servers := make([]fleet.Backend, 0, len(update.Servers))
	for i := range update.Servers {
		servers = append(servers, backendOf(&update.Servers[i]))
	}
	u.servers.record(update.Complete, servers, func(b *fleet.Backend) string { return b.ID }, update.RemovedServers)
	u.serversKnown.Store(u.servers.complete)
	isChange := len(servers)+len(update.RemovedServers) > 0 || update.Complete
	if f.storeWatcher.registrations.isOn() {
		if isChange {
			f.logger.Info("relay's update of backend servers recorded, not used", "belief", "registrations", "relay", u.host.ID,
				"changed", len(servers), "removed", len(update.RemovedServers), "complete", update.Complete, "store_age_ms", update.StoreAgeMillis)
		}
		return
	}
	u.confirmRegistrations(now)
	if isChange {
		f.control.updateRegistry(func(registry *backends.Registry) bool {
			return applyRelayedServers(now, registry, update.Complete, servers, update.RemovedServers)
		})
	}
}

// takeOverServers has the relay's list take the place of what this entry has read itself. It
// runs on the event loop.
func (u *upstream) takeOverServers(now time.Time) {
	f := u.follower
	listed := u.servers.list()
	f.logger.Info("relay's backend servers taken over", "belief", "registrations", "relay", u.host.ID, "servers", len(listed),
		"store_age_ms", u.storeAge(now).Milliseconds())
	u.confirmRegistrations(now)
	f.control.updateRegistry(func(registry *backends.Registry) bool { return registry.Adopt(now, listed) })
}

// takeOverEntries does the same for the list of entries. The agents that this entry has read
// are kept.
func (u *upstream) takeOverEntries() {
	c := u.follower.control
	change := siteChange{hosts: u.entries.list()}
	if u.entries.complete {
		change.removed = unlistedEntries(c.hosts, u.entries.byID)
	}
	c.logger.Info("relay's entries taken over", "belief", "site", "relay", u.host.ID, "entries", len(change.hosts),
		"removed", len(change.removed), "complete", u.entries.complete)
	c.applySiteChange(change)
}

// unlistedEntries returns the IDs of the entries among hosts that aren't listed.
func unlistedEntries(hosts, listed map[string]roster.Host) []string {
	var unlisted []string
	for id, host := range hosts {
		if _, ok := listed[id]; !ok && host.Role == keys.RoleEntry {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted
}

// confirmRegistrations records when the registrations that are used were read, by the relay.
func (u *upstream) confirmRegistrations(now time.Time) {
	readAt := u.storeReadAt.Load()
	if readAt == nil {
		return
	}
	if now.Sub(*readAt) <= maxStoreAge {
		u.follower.control.registry.RelayRead(*readAt)
	}
	u.follower.control.freshness.confirm(*readAt, metrics.ViewRegistrations, 0)
}

// applyRelayedServers applies a relay's changes of backend servers, or its complete list. The
// relay decides which of them have expired, also during an outage of the store.
func applyRelayedServers(now time.Time, registry *backends.Registry, complete bool, servers []fleet.Backend, removed []string) bool {
	if complete {
		return registry.Adopt(now, servers)
	}
	changed := false
	for _, backend := range servers {
		changed = registry.Put(now, backend) || changed
	}
	for _, id := range removed {
		changed = registry.Drop(now, id) || changed
	}
	return changed
}
