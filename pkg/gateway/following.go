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
	// followCheck is the time between two looks at what the entry follows.
	followCheck = 250 * time.Millisecond
	// listedPatience is how long a new entry waits until it stands in the site's list
	// itself, so that it doesn't take itself for the only one.
	listedPatience = time.Second
	// orphanPatience is how long an entry that hears no relay waits for one before it
	// informs itself meanwhile.
	orphanPatience = 400 * time.Millisecond
	// maxStoreAge is how long ago a relay may have heard from the store for its word
	// on backend servers to be enough.
	maxStoreAge = 2 * time.Second
)

// following keeps this entry informed of the site's agents: as a relay it follows
// the agents of its failure domain and the relays of the others, else it follows a
// relay.
type following struct {
	self     string
	domain   string
	node     *wire.Node
	control  *control
	sources  *sources
	links    *links
	logger   *slog.Logger
	topology *directory.Topology
	// wake asks for a look before the next check.
	wake chan struct{}

	// upstream is the relay that the entry follows, domains the relays that it
	// follows as one, by failure domain.
	upstream *upstream
	domains  map[string]*upstream
	// orphanSince is since when the entry hears no relay.
	orphanSince time.Time
	wait        sync.WaitGroup
}

func newFollowing(self, domain string, node *wire.Node, c *control, s *sources, logger *slog.Logger) *following {
	return &following{
		self:     self,
		domain:   domain,
		node:     node,
		control:  c,
		sources:  s,
		links:    &links{self: self, node: node, control: c, logger: logger, open: make(map[string]*link)},
		logger:   logger,
		topology: directory.NewTopology(self),
		wake:     make(chan struct{}, 1),
		domains:  make(map[string]*upstream),
	}
}

// run follows until ctx ends.
func (f *following) run(ctx context.Context) {
	defer f.links.wait.Wait()
	defer f.wait.Wait()
	ticker := time.NewTicker(followCheck)
	defer ticker.Stop()
	started := time.Now()
	for {
		changed := f.control.changes()
		_, isListed := f.control.current().hosts[f.self]
		if now := time.Now(); isListed || now.Sub(started) > listedPatience {
			f.reconcile(ctx, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// reconcile starts and ends what the entry follows.
func (f *following) reconcile(ctx context.Context, now time.Time) {
	f.noteEnded(now)
	f.control.loop.Post(func() { f.control.expireAgents(time.Now()) })
	hosts := f.control.current().hosts
	plan := f.topology.Assign(now, hosts, f.domain)
	if plan.Relay {
		f.upstream = f.upstream.end()
	} else {
		f.upstream = f.replace(ctx, f.upstream, hosts[plan.Upstream], "")
	}
	isOrphan := f.noteOrphan(now)
	informsItself := plan.Relay || isOrphan
	if f.control.setRelaying(now, informsItself) {
		f.logger.Info("relay", "belief", "relay", "relays", informsItself, "upstream", plan.Upstream, "upstream_lost", isOrphan)
	}
	if informsItself {
		f.informItself(ctx, plan, hosts)
		return
	}
	f.beInformed(ctx, now)
}

// noteOrphan tells whether no relay that the entry should follow has been heard for
// a while.
func (f *following) noteOrphan(now time.Time) bool {
	if f.upstream.isHeard() {
		f.orphanSince = time.Time{}
		return false
	}
	if f.orphanSince.IsZero() {
		f.orphanSince = now
	}
	return now.Sub(f.orphanSince) >= orphanPatience
}

// informItself follows agents, other relays and the store.
func (f *following) informItself(ctx context.Context, plan directory.Assignment, hosts map[string]roster.Host) {
	f.sources.readRegistrations(true)
	f.sources.site.set(true)
	f.links.follow(ctx, f.agentsToFollow(plan, hosts))
	for domain, host := range plan.RemoteRelays {
		f.domains[domain] = f.replace(ctx, f.domains[domain], hosts[host], domain)
	}
	for domain, followed := range f.domains {
		if _, ok := plan.RemoteRelays[domain]; !ok || followed == nil {
			followed.end()
			delete(f.domains, domain)
		}
	}
}

// beInformed leaves to the relay what the entry has done itself, once it hears the
// relay.
func (f *following) beInformed(ctx context.Context, now time.Time) {
	age := f.upstream.storeAge(now)
	f.sources.readRegistrations(age < 0 || age > maxStoreAge)
	if !f.upstream.isHeard() {
		return
	}
	f.sources.site.set(false)
	f.links.follow(ctx, nil)
	for domain, followed := range f.domains {
		followed.end()
		delete(f.domains, domain)
	}
}

// agentsToFollow are the agents that a relay follows itself: those of its own
// failure domain, of domains without a relay, and of domains whose relay isn't heard
// yet if it has followed them until now.
func (f *following) agentsToFollow(plan directory.Assignment, hosts map[string]roster.Host) map[string]roster.Host {
	agents := make(map[string]roster.Host)
	for id, host := range hosts {
		if host.Role != keys.RoleAgent {
			continue
		}
		isOwn := host.FailureDomain == f.domain || plan.RemoteRelays[host.FailureDomain] == ""
		if isOwn || (f.links.open[id] != nil && !f.domains[host.FailureDomain].isHeard()) {
			agents[id] = host
		}
	}
	return agents
}

// replace follows a host instead of the one before, unless that is the same or is
// heard.
func (f *following) replace(ctx context.Context, before *upstream, host roster.Host, domain string) *upstream {
	if before.isHeard() || (before != nil && before.host.ID == host.ID && before.host.Revision == host.Revision) {
		return before
	}
	before.end()
	if host.ID == "" {
		return nil
	}
	followCtx, cancel := context.WithCancel(ctx)
	next := &upstream{host: host, domain: domain, following: f, cancel: cancel, ended: make(chan struct{})}
	f.wait.Go(func() { next.run(followCtx) })
	return next
}

// noteEnded takes in which relays could not be followed, or no longer.
func (f *following) noteEnded(now time.Time) {
	f.upstream = f.noteEndOf(now, f.upstream)
	for domain, followed := range f.domains {
		if f.noteEndOf(now, followed) == nil {
			delete(f.domains, domain)
		}
	}
}

// noteEndOf returns nil if a relay is followed no longer.
func (f *following) noteEndOf(now time.Time, u *upstream) *upstream {
	if u == nil {
		return nil
	}
	if !u.hasEnded() {
		if u.isHeard() {
			f.topology.Followed(u.host.ID)
		}
		return u
	}
	f.topology.Failed(now, u.host.ID)
	return nil
}

// lookAgain asks for a look at what the entry follows.
func (f *following) lookAgain() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
