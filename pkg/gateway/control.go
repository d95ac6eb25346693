package gateway

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentState is the state of an agent and its runner, and the stream from which it
// was received. It is immutable.
type agentState struct {
	*directory.AgentRecord
	source *statusSource
}

// control owns the control state. Its methods run on the event loop unless stated
// otherwise.
type control struct {
	loop     *eventloop.Loop
	logger   *slog.Logger
	registry *backends.Registry
	table    *fleet.Table
	hosts    map[string]roster.Host
	agents   map[string]*agentState
	// agentsKnown is set once the statuses of all agents were received, or the wait
	// for them has timed out.
	agentsKnown bool
	// agentsShared is set if a view shares the map agents.
	agentsShared bool
	placement    *packing.Placement
	// history is nil before it is known.
	history *resumption.History
	leader  leaderState
	// engines holds the engine description sent to agents, by service.
	engines map[string]*wire.Engine
	// placementLost is set if the store doesn't have the active placement any more.
	placementLost bool
	// asOf is the store revision up to which hosts and placement are known.
	asOf int64

	// relayingSince is when this entry began to relay its state to other entries;
	// nil if it does not relay.
	relayingSince atomic.Pointer[time.Time]
	// reportedVersion is the newest version of the configuration that a relay has
	// reported.
	reportedVersion atomic.Int64
	// freshness may be used by any goroutine.
	freshness freshness

	view atomic.Pointer[view]
	// statusThrottle limits the rate of views that differ in statuses only.
	statusThrottle eventloop.Throttle
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
	// Before there is a configuration, no server takes an address from another one.
	c.registry.SetServices(time.Time{}, nil)
	c.publish()
	return c
}

// setRelaying sets whether this entry relays, and reports whether that has changed.
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

// isRelaying reports whether this entry relays its state to other entries. Any
// goroutine may call it.
func (c *control) isRelaying() bool { return c.relayingSince.Load() != nil }

// reportVersion records a version of the configuration that a relay has reported, and returns
// whether none as new was reported before. Any goroutine may call it.
func (c *control) reportVersion(version int64) bool {
	for {
		newest := c.reportedVersion.Load()
		if version <= newest {
			return false
		}
		if c.reportedVersion.CompareAndSwap(newest, version) {
			return true
		}
	}
}

// current returns the newest view. Any goroutine may call it.
func (c *control) current() *view { return c.view.Load() }

// changes returns a channel that is closed when anything but statuses changes in
// the view. Any goroutine may call it.
func (c *control) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// publishStatuses publishes changed statuses, immediately or after a minimum
// interval, so that statuses that arrive together need only one view.
func (c *control) publishStatuses() { c.statusThrottle.Do(c.loop, time.Now(), c.publishNow) }

func (c *control) publishNow() {
	c.statusThrottle.Ran(time.Now())
	c.view.Store(newView(c))
}

// publish publishes a new view and notifies the receivers of changes.
func (c *control) publish() {
	c.publishNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// applyConfiguration activates a configuration unless the active one is as new.
func (c *control) applyConfiguration(configuration *fleet.Configuration) {
	if c.table != nil && configuration.Version <= c.table.Configuration().Version {
		return
	}
	c.table = fleet.NewTable(configuration)
	c.engines = make(map[string]*wire.Engine)
	for _, service := range c.table.Engines() {
		c.engines[service.Name] = wireEngine(configuration.Version, service.Engine)
	}
	before := c.registry.Backends()
	c.registry.SetServices(time.Now(), configuration.ServiceNames())
	c.publish()
	c.logChanges(before, c.registry.Backends())
	c.logger.Info("configuration activated", "belief", "configuration", "version", configuration.Version,
		"routes", len(configuration.Routes), "services", len(configuration.Services), "organisations", len(configuration.Organisations))
}

// updateRegistry applies a change to the registered backend servers.
func (c *control) updateRegistry(change func(registry *backends.Registry) bool) {
	before := c.registry.Backends()
	changed := change(c.registry)
	c.logKept()
	if !changed {
		return
	}
	c.publish()
	after := c.registry.Backends()
	c.logger.Info("backend servers changed", "belief", "registrations", "usable", len(after))
	c.logChanges(before, after)
}

// logKept logs which backend servers stay usable for a time though their registrations are
// missing.
func (c *control) logKept() {
	for _, kept := range c.registry.TakeKept() {
		c.logger.Info("missing registration kept", "belief", "backend:"+kept.ID, "kept_ms", time.Until(kept.Until).Milliseconds(),
			"servers_age_ms", loggedAge(c.freshness.age(time.Now(), metrics.ViewRegistrations)))
	}
}

// logChanges logs which backend servers were added, removed and changed. Both lists
// are sorted by ID.
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
	c.logger.Info("backend server registration changed", "belief", "backend:"+b.ID, "change", change, "service", b.Service, "address", b.Address,
		"state", b.State.String(), "born_ms", b.StartedAtMillis, "sequence", b.Sequence)
}

// expireBackends removes the servers whose grace period has ended.
func (c *control) expireBackends(now time.Time) {
	c.updateRegistry(func(registry *backends.Registry) bool { return registry.Expire(now) })
}
