package entry

import (
	"log/slog"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/eventloop"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxPublishDelay bounds the time until routing uses a status that was received
// with a response.
const maxPublishDelay = 20 * time.Millisecond

// routingView is the immutable state that request handling reads.
type routingView struct {
	members *membership.Snapshot
	table   *routing.Table
	// index is nil before the first lists.
	index *lists.Index
}

// controlState holds the entry's control state. Its methods run on the loop, except
// current, activateLists and rejectUnreadable, which any goroutine may call; the
// register is safe for concurrent use.
type controlState struct {
	loop        *eventloop.Loop
	logger      *slog.Logger
	members     *membership.View
	register    *lists.Register
	coordinator *loading.Coordinator
	syncState   *syncState
	// membersChanged is set if members have changed since the last publication,
	// publishScheduled whether the next publication is scheduled.
	membersChanged   bool
	publishScheduled bool
	published        atomic.Pointer[routingView]
	// listsChanged is called after new lists have become active.
	listsChanged func()
}

func newControlState(limits loading.StoreLimits, logger *slog.Logger) *controlState {
	c := &controlState{
		loop:         eventloop.New(),
		logger:       logger,
		members:      membership.NewView(),
		register:     lists.NewRegister(),
		coordinator:  loading.NewCoordinator(limits, loading.OrderUrgent),
		syncState:    newSyncState(),
		listsChanged: func() {},
	}
	members := c.members.Snapshot()
	c.published.Store(&routingView{members: members, table: routing.NewTable(members, nil)})
	return c
}

// current returns the most recently published view.
func (c *controlState) current() *routingView { return c.published.Load() }

// publishMembers publishes changed members, with the same placements.
func (c *controlState) publishMembers() {
	if !c.membersChanged {
		return
	}
	c.membersChanged = false
	next := *c.current()
	next.members = c.members.Snapshot()
	next.table = next.table.WithMembers(next.members)
	c.published.Store(&next)
}

func (c *controlState) publishPlacements() {
	next := *c.current()
	next.members = c.members.Snapshot()
	next.table = routing.NewTable(next.members, c.syncState.allPlacements())
	c.membersChanged = false
	c.published.Store(&next)
}

// hostsListed applies a host list that this entry has read.
func (c *controlState) hostsListed(now time.Time, hosts []hostlist.Host) {
	c.members.HostsListed(now, hosts)
	c.membersChanged = true
	c.publishMembers()
}

// hostsRelayed applies a relayed host list, which may be old.
func (c *controlState) hostsRelayed(now time.Time, hosts []hostlist.Host) {
	c.members.HostsRelayed(now, hosts)
	c.membersChanged = true
	c.publishMembers()
}

// statusReceived applies a status that an agent reported. A new incarnation or a
// change of Leaving is published at once, a change of load within maxPublishDelay.
func (c *controlState) statusReceived(now time.Time, status *wire.Status) {
	before, known := c.current().members.Agent(status.Runner)
	if !c.members.StatusReceived(now, *status) {
		return
	}
	c.schedulePublish()
	sameIncarnation := known && before.Status.Incarnation == status.Incarnation
	if !sameIncarnation || before.Leaving() != status.Leaving {
		c.publishMembers()
	}
}

func (c *controlState) callFailed(now time.Time, host string) {
	c.members.CallFailed(now, host)
	c.membersChanged = true
	c.publishMembers()
}

func (c *controlState) callSucceeded(now time.Time, host string) {
	c.members.CallSucceeded(now, host)
	c.schedulePublish()
}

// schedulePublish publishes changed members within maxPublishDelay.
func (c *controlState) schedulePublish() {
	c.membersChanged = true
	if c.publishScheduled {
		return
	}
	c.publishScheduled = true
	time.AfterFunc(maxPublishDelay, func() {
		c.loop.Post(func() {
			c.publishScheduled = false
			c.publishMembers()
		})
	})
}

// placementsRead applies placements that were read up to a revision.
func (c *controlState) placementsRead(now time.Time, revision int64, placements []wire.Placement) {
	changed := c.syncState.setPlacements(now, revision, placements)
	if len(changed) == 0 {
		return
	}
	c.members.HostsPermitted(now, permittedHosts(changed))
	c.publishPlacements()
}

func permittedHosts(placements []wire.Placement) []string {
	var hosts []string
	for _, placement := range placements {
		for _, permit := range placement.Permits {
			hosts = append(hosts, permit.Runner)
		}
	}
	return hosts
}

// activateLists activates newer lists. It is called off the loop, since checking
// and indexing large lists takes tens of milliseconds.
func (c *controlState) activateLists(snapshot lists.Snapshot) {
	if snapshot.Revision == 0 || !c.register.Offer(snapshot) {
		c.logRejected(snapshot.Revision)
		return
	}
	if _, err := c.syncState.setLists(snapshot); err != nil {
		c.logger.Error("encoding lists for relay failed", "revision", snapshot.Revision, "error", err)
	}
	c.loop.Do(c.publishLists)
	c.logger.Info("lists activated", "revision", snapshot.Revision,
		"plans", len(snapshot.Plans.Plans), "models", len(snapshot.Allowances.Models))
	c.listsChanged()
}

func (c *controlState) publishLists() {
	next := *c.current()
	next.index = c.register.Current()
	c.published.Store(&next)
}

// rejectUnreadable records a stored revision that can't be decoded.
func (c *controlState) rejectUnreadable(revision int64, reason error) {
	c.register.Reject(revision, reason)
	c.logRejected(revision)
}

func (c *controlState) logRejected(revision int64) {
	rejected := c.register.Rejected()
	if rejected != nil && rejected.Revision == revision {
		c.logger.Error("lists rejected, the previous revision stays active",
			"revision", revision, "in_force", c.register.Revision(), "reason", rejected.Reason)
	}
}
