package gateway

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentState is what is known of an agent and its runner, and on which stream it
// came. It is immutable.
type agentState struct {
	*directory.AgentRecord
	from *source
}

// leaderKnown is what is known of the leader's key.
type leaderKnown struct {
	// host is the leader's host ID; empty if there is none.
	host string
	// key is the revision of the key; zero if there is none.
	key int64
	// at is the revision at which this was so.
	at int64
}

// control owns the control state. Its methods run on the loop, but for current
// and changes.
type control struct {
	loop     *eventloop.Loop
	logger   *slog.Logger
	registry *backends.Registry
	table    *fleet.Table
	hosts    map[string]roster.Host
	agents   map[string]*agentState
	// informed tells that all agents that there are have been heard of, or had the
	// time.
	informed bool
	// agentsShared tells that a view holds agents.
	agentsShared bool
	placement    *packing.Placement
	leader       leaderKnown
	// engines holds what agents are told of each service with model runners.
	engines map[string]*wire.Engine
	// asOf is the store's revision up to which hosts and placement are known.
	asOf int64

	// relayingSince is when this entry began to relay what it knows to others; nil if
	// it doesn't.
	relayingSince atomic.Pointer[time.Time]
	// beliefs may be used by any goroutine.
	beliefs beliefs

	view atomic.Pointer[view]
	// statuses spaces views that differ in statuses only.
	statuses eventloop.Throttle
	// changed is closed and replaced when anything but statuses has changed.
	mu      sync.Mutex
	changed chan struct{}
}

func newControl(logger *slog.Logger) *control {
	c := &control{
		loop:     eventloop.New(),
		logger:   logger,
		registry: backends.NewRegistry(),
		hosts:    make(map[string]roster.Host),
		agents:   make(map[string]*agentState),
		changed:  make(chan struct{}),
	}
	c.publish()
	return c
}

// setRelaying notes whether this entry relays, and tells whether that has changed.
func (c *control) setRelaying(now time.Time, relays bool) bool {
	if relays == c.isRelaying() {
		return false
	}
	if relays {
		c.relayingSince.Store(&now)
	} else {
		c.relayingSince.Store(nil)
	}
	return true
}

// isRelaying tells whether this entry relays what it knows to others. Any goroutine
// may call it.
func (c *control) isRelaying() bool { return c.relayingSince.Load() != nil }

// current returns the newest view. Any goroutine may call it.
func (c *control) current() *view { return c.view.Load() }

// changes returns a channel that is closed when anything but statuses changes in
// the view. Any goroutine may call it.
func (c *control) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// publishStatuses makes changed statuses visible, at once or a moment after the
// view before, so that statuses that come together cost one view.
func (c *control) publishStatuses() { c.statuses.Do(c.loop, time.Now(), c.publishNow) }

func (c *control) publishNow() {
	c.statuses.Ran(time.Now())
	c.view.Store(newView(c))
}

// publish makes all changes visible.
func (c *control) publish() {
	c.publishNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// configured puts a configuration in force unless a newer one is.
func (c *control) configured(configuration *fleet.Configuration) {
	if c.table != nil && configuration.Version <= c.table.Configuration().Version {
		return
	}
	c.table = fleet.NewTable(configuration)
	c.engines = make(map[string]*wire.Engine)
	for _, service := range c.table.Engines() {
		c.engines[service.Name] = engineOf(configuration.Version, service.Engine)
	}
	c.publish()
	c.logger.Info("configuration in force", "belief", "configuration", "version", configuration.Version,
		"routes", len(configuration.Routes), "services", len(configuration.Services))
}

// registrations takes in changes of the registered backend servers.
func (c *control) registrations(change func(registry *backends.Registry) bool) {
	before := c.registry.Backends()
	if !change(c.registry) {
		return
	}
	c.publish()
	after := c.registry.Backends()
	c.logger.Info("backend servers changed", "belief", "registrations", "usable", len(after))
	c.logChanges(before, after)
}

// logChanges tells which backend servers came, went and changed. Both lists are
// ordered by ID.
func (c *control) logChanges(before, after []fleet.Backend) {
	compareIDs := func(b fleet.Backend, id string) int { return cmp.Compare(b.ID, id) }
	for i := range after {
		at, known := slices.BinarySearchFunc(before, after[i].ID, compareIDs)
		switch {
		case !known:
			c.logBackend("added", &after[i])
		case before[at].State != after[i].State || before[at].StartedAtMillis != after[i].StartedAtMillis || before[at].Address != after[i].Address:
			c.logBackend("changed", &after[i])
		}
	}
	for i := range before {
		if _, known := slices.BinarySearchFunc(after, before[i].ID, compareIDs); !known {
			c.logBackend("gone", &before[i])
		}
	}
}

func (c *control) logBackend(change string, b *fleet.Backend) {
	c.logger.Info("backend server", "belief", "backend:"+b.ID, "change", change, "service", b.Service, "address", b.Address,
		"state", b.State.String(), "born_ms", b.StartedAtMillis, "sequence", b.Sequence)
}

// storeUnstable notes that a call of the store failed.
func (c *control) storeUnstable(now time.Time) { c.registry.StoreUnstable(now) }

// expire drops the servers whose grace has ended.
func (c *control) expire(now time.Time) {
	c.registrations(func(registry *backends.Registry) bool { return registry.Expire(now) })
}

// siteChange is what the store holds of the site's own processes and decisions.
type siteChange struct {
	// complete tells that hosts, placement and leader are all there is, and
	// listsAgents that the hosts of agents are among them.
	complete    bool
	listsAgents bool
	asOf        int64
	hosts       []roster.Host
	gone        []string
	placement   *packing.Placement
	// leader is nil if nothing is said of it.
	leader *leaderKnown
}

// siteChanged takes in a change of the site's own processes and decisions.
func (c *control) siteChanged(change siteChange) {
	c.asOf = max(c.asOf, change.asOf)
	if change.complete {
		c.hosts = make(map[string]roster.Host)
	} else if len(change.hosts)+len(change.gone) > 0 {
		// Views share the map, so it is replaced.
		c.hosts = maps.Clone(c.hosts)
	}
	for _, host := range change.hosts {
		c.hosts[host.ID] = host
	}
	for _, id := range change.gone {
		delete(c.hosts, id)
	}
	c.forgetAgents(change)
	if change.placement != nil && (c.placement == nil || change.placement.Revision >= c.placement.Revision) {
		c.takePlacement(change.placement)
	}
	// Watches may bring what is older than what an election has shown.
	if change.leader != nil && change.leader.at >= c.leader.at {
		c.takeLeader(*change.leader)
	}
	c.publish()
}

func (c *control) takePlacement(placement *packing.Placement) {
	if c.placement == nil || placement.Revision > c.placement.Revision {
		c.logger.Info("placement in force", "belief", "placement", "revision", placement.Revision, "models", len(placement.Models))
	}
	c.placement = placement
}

func (c *control) takeLeader(leader leaderKnown) {
	if leader.host != c.leader.host {
		c.logger.Info("leader changed", "belief", "leader", "leader", leader.host, "revision", leader.at)
	}
	c.leader = leader
}
