package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// reconcileInterval is the maximum time between two reconciliations.
	reconcileInterval = 250 * time.Millisecond
	// listedTimeout is how long a new entry waits for its own registration to
	// appear in the host list, so that it doesn't assume to be the only entry.
	listedTimeout = time.Second
	// relayLossTimeout is how long an entry without updates from a relay waits
	// before it subscribes to the agents itself.
	relayLossTimeout = 400 * time.Millisecond
	// maxStoreAge is the maximum age of a relay's last read from the store at
	// which its state of the backend servers is used. A relay reads after
	// minRegistrationReadInterval at the latest, and reports it within maxUpdateInterval.
	maxStoreAge = 1700 * time.Millisecond
)

// follower keeps this entry's state of the site's agents up to date. A relay
// subscribes to the agents of its failure domain and to the relays of the other
// domains; any other entry subscribes to one relay.
type follower struct {
	self             string
	domain           string
	node             *wire.Node
	control          *control
	storeWatcher     *storeWatcher
	agentConnections *agentConnections
	logger           *slog.Logger
	topology         *directory.Topology
	// wake requests a reconciliation before the interval ends.
	wake chan struct{}

	// upstream is the relay that the entry subscribes to, domains the relays of
	// other failure domains that it subscribes to as a relay.
	upstream *upstream
	domains  map[string]*upstream
	// relayLostSince is when the entry lost its relay; zero if it has one.
	relayLostSince time.Time
	wait           sync.WaitGroup
}

func newFollower(self, domain string, node *wire.Node, c *control, s *storeWatcher, logger *slog.Logger) *follower {
	return &follower{
		self:             self,
		domain:           domain,
		node:             node,
		control:          c,
		storeWatcher:     s,
		agentConnections: &agentConnections{self: self, node: node, control: c, logger: logger, open: make(map[string]*agentConnection)},
		logger:           logger,
		topology:         directory.NewTopology(self),
		wake:             make(chan struct{}, 1),
		domains:          make(map[string]*upstream),
	}
}

// run reconciles until ctx ends.
func (f *follower) run(ctx context.Context) {
	defer f.agentConnections.wait.Wait()
	defer f.wait.Wait()
	timer := time.NewTimer(reconcileInterval)
	defer timer.Stop()
	started := time.Now()
	for {
		changed := f.control.changes()
		_, isListed := f.control.current().hosts[f.self]
		if now := time.Now(); isListed || now.Sub(started) > listedTimeout {
			f.reconcile(ctx, now)
		}
		timer.Reset(f.untilReconcile(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C:
		case <-f.wake:
		}
	}
}

// untilReconcile is the time until the next reconciliation, at the latest when the relay's
// state of the backend servers becomes too old.
func (f *follower) untilReconcile(now time.Time) time.Duration {
	if !f.upstream.hasUpdate() {
		return reconcileInterval
	}
	left := maxStoreAge - f.upstream.storeAge(now)
	if left < 0 {
		return reconcileInterval
	}
	return min(reconcileInterval, left+time.Millisecond)
}

// reconcile starts and stops subscriptions according to the topology.
func (f *follower) reconcile(ctx context.Context, now time.Time) {
	f.removeEnded(now)
	f.control.loop.Post(func() { f.control.expireAgents(time.Now()) })
	hosts := f.control.current().hosts
	assignment := f.topology.Assign(now, hosts, f.domain)
	if assignment.Relay {
		f.upstream = f.upstream.stop()
	} else {
		f.upstream = f.replaceUpstream(ctx, f.upstream, hosts[assignment.Upstream], "")
	}
	relayLost := f.checkRelayLost(now)
	relays := assignment.Relay || relayLost
	if f.control.setRelaying(now, relays) {
		f.logger.Info("relay role changed", "belief", "relay", "relays", relays, "upstream", assignment.Upstream, "upstream_lost", relayLost)
	}
	if relays {
		f.followDirectly(ctx, assignment, hosts)
		return
	}
	f.followRelay(ctx, now)
}

// checkRelayLost reports whether no update has arrived from the relay for longer
// than relayLossTimeout.
func (f *follower) checkRelayLost(now time.Time) bool {
	if f.upstream.hasUpdate() {
		f.relayLostSince = time.Time{}
		return false
	}
	if f.relayLostSince.IsZero() {
		f.relayLostSince = now
	}
	return now.Sub(f.relayLostSince) >= relayLossTimeout
}

// followDirectly subscribes to agents and other relays, and reads the store.
func (f *follower) followDirectly(ctx context.Context, assignment directory.Assignment, hosts map[string]roster.Host) {
	f.storeWatcher.setReadRegistrations(true)
	f.storeWatcher.site.set(true)
	f.agentConnections.follow(ctx, f.agentsToFollow(assignment, hosts))
	for domain, host := range assignment.RemoteRelays {
		f.domains[domain] = f.replaceUpstream(ctx, f.domains[domain], hosts[host], domain)
	}
	for domain, subscription := range f.domains {
		if _, ok := assignment.RemoteRelays[domain]; !ok || subscription == nil {
			subscription.stop()
			delete(f.domains, domain)
		}
	}
}

// followRelay stops the entry's own subscriptions and store reads once the relay
// sends updates.
func (f *follower) followRelay(ctx context.Context, now time.Time) {
	f.chooseRegistrationSource(now)
	if !f.upstream.hasUpdate() {
		return
	}
	if f.storeWatcher.site.set(false) {
		f.control.loop.Do(f.upstream.takeOverEntries)
	}
	f.agentConnections.follow(ctx, nil)
	for domain, subscription := range f.domains {
		subscription.stop()
		delete(f.domains, domain)
	}
}

// chooseRegistrationSource has this entry read the registrations itself, or use the relay's
// list of them as a whole.
func (f *follower) chooseRegistrationSource(now time.Time) {
	if !f.upstream.replacesStore(now, f.storeWatcher.registrationsReadAt()) {
		f.storeWatcher.setReadRegistrations(true)
		return
	}
	if f.storeWatcher.setReadRegistrations(false) {
		f.control.loop.Do(func() { f.upstream.takeOverServers(now) })
	}
}

// agentsToFollow returns the agents that a relay subscribes to itself: those of its
// own failure domain, of domains without a relay, and, to avoid a gap, those it is
// subscribed to in domains whose relay has not sent an update yet.
func (f *follower) agentsToFollow(assignment directory.Assignment, hosts map[string]roster.Host) map[string]roster.Host {
	agents := make(map[string]roster.Host)
	for id, host := range hosts {
		if host.Role != keys.RoleAgent {
			continue
		}
		isOwn := host.FailureDomain == f.domain || assignment.RemoteRelays[host.FailureDomain] == ""
		if isOwn || (f.agentConnections.open[id] != nil && !f.domains[host.FailureDomain].hasUpdate()) {
			agents[id] = host
		}
	}
	return agents
}

// replaceUpstream subscribes to a host instead of the previous one, unless that is
// the same host or sends updates.
func (f *follower) replaceUpstream(ctx context.Context, before *upstream, host roster.Host, domain string) *upstream {
	if before.hasUpdate() || (before != nil && before.host.ID == host.ID && before.host.Revision == host.Revision) {
		return before
	}
	before.stop()
	if host.ID == "" {
		return nil
	}
	followCtx, cancel := context.WithCancel(ctx)
	next := &upstream{host: host, domain: domain, follower: f, cancel: cancel, ended: make(chan struct{})}
	f.wait.Go(func() { next.run(followCtx) })
	return next
}

// removeEnded removes the subscriptions to relays that have ended.
func (f *follower) removeEnded(now time.Time) {
	f.upstream = f.checkEnded(now, f.upstream)
	for domain, subscription := range f.domains {
		if f.checkEnded(now, subscription) == nil {
			delete(f.domains, domain)
		}
	}
}

// checkEnded returns nil if the subscription to a relay has ended.
func (f *follower) checkEnded(now time.Time, u *upstream) *upstream {
	if u == nil {
		return nil
	}
	if !u.hasEnded() {
		if u.hasUpdate() {
			f.topology.Followed(u.host.ID)
		}
		return u
	}
	f.topology.Failed(now, u.host.ID)
	return nil
}

// requestReconcile requests a reconciliation.
func (f *follower) requestReconcile() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
