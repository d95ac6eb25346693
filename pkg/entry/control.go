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

// publishInterval is the longest time for which a status learnt from an answer
// stays unseen by routing.
const publishInterval = 20 * time.Millisecond

// view is what request traffic reads.
type view struct {
	members *membership.Snapshot
	table   *routing.Table
	// index is nil before the first lists.
	index *lists.Index
}

// control owns the entry's control state. Its methods run on the loop, but for
// current, offerLists and listsUnreadable, which any goroutine may call; the
// register is safe for concurrent use.
type control struct {
	loop        *eventloop.Loop
	logger      *slog.Logger
	members     *membership.View
	register    *lists.Register
	coordinator *loading.Coordinator
	feed        *feed
	// dirty tells that members have changed since the last publication, and
	// scheduled that the next one is on its way.
	dirty     bool
	scheduled bool
	published atomic.Pointer[view]
	// listsChanged is called after new lists are in force.
	listsChanged func()
}

func newControl(limits loading.StoreLimits, logger *slog.Logger) *control {
	c := &control{
		loop:         eventloop.New(),
		logger:       logger,
		members:      membership.NewView(),
		register:     lists.NewRegister(),
		coordinator:  loading.NewCoordinator(limits, loading.OrderUrgent),
		feed:         newFeed(),
		listsChanged: func() {},
	}
	members := c.members.Snapshot()
	c.published.Store(&view{members: members, table: routing.NewTable(members, nil)})
	return c
}

// current returns the newest view.
func (c *control) current() *view { return c.published.Load() }

// publishMembers makes changed members visible, with the same placements.
func (c *control) publishMembers() {
	if !c.dirty {
		return
	}
	c.dirty = false
	next := *c.current()
	next.members = c.members.Snapshot()
	next.table = next.table.WithMembers(next.members)
	c.published.Store(&next)
}

func (c *control) publishPlacements() {
	next := *c.current()
	next.members = c.members.Snapshot()
	next.table = routing.NewTable(next.members, c.feed.allPlacements())
	c.dirty = false
	c.published.Store(&next)
}

// hostsListed takes in a reading of the host list by this entry.
func (c *control) hostsListed(now time.Time, hosts []hostlist.Host) {
	c.members.HostsListed(now, hosts)
	c.dirty = true
	c.publishMembers()
}

// hostsRelayed takes in a host list that may be old.
func (c *control) hostsRelayed(now time.Time, hosts []hostlist.Host) {
	c.members.HostsRelayed(now, hosts)
	c.dirty = true
	c.publishMembers()
}

// statusReceived takes in what an agent says of itself. A change of its
// willingness is published at once, a change of its load within publishInterval.
func (c *control) statusReceived(now time.Time, status *wire.Status) {
	before, known := c.current().members.Agent(status.Runner)
	if !c.members.StatusReceived(now, *status) {
		return
	}
	c.publishSoon()
	sameIncarnation := known && before.Status.Incarnation == status.Incarnation
	if !sameIncarnation || before.Leaving() != status.Leaving {
		c.publishMembers()
	}
}

func (c *control) callFailed(now time.Time, host string) {
	c.members.CallFailed(now, host)
	c.dirty = true
	c.publishMembers()
}

func (c *control) callSucceeded(now time.Time, host string) {
	c.members.CallSucceeded(now, host)
	c.publishSoon()
}

// publishSoon makes changed members visible within publishInterval.
func (c *control) publishSoon() {
	c.dirty = true
	if c.scheduled {
		return
	}
	c.scheduled = true
	time.AfterFunc(publishInterval, func() {
		c.loop.Post(func() {
			c.scheduled = false
			c.publishMembers()
		})
	})
}

// placementsRead takes in placements that were read up to a revision.
func (c *control) placementsRead(now time.Time, revision int64, placements []wire.Placement) {
	news := c.feed.setPlacements(now, revision, placements)
	if len(news) == 0 {
		return
	}
	c.members.HostsPermitted(now, namedHosts(news))
	c.publishPlacements()
}

func namedHosts(placements []wire.Placement) []string {
	var hosts []string
	for _, placement := range placements {
		for _, permit := range placement.Permits {
			hosts = append(hosts, permit.Runner)
		}
	}
	return hosts
}

// offerLists puts newer lists in force. It is called off the loop, since the
// check and the index of large lists take tens of milliseconds.
func (c *control) offerLists(snapshot lists.Snapshot) {
	if snapshot.Revision == 0 || !c.register.Offer(snapshot) {
		c.logRejected(snapshot.Revision)
		return
	}
	if _, err := c.feed.setLists(snapshot); err != nil {
		c.logger.Error("lists can't be relayed", "revision", snapshot.Revision, "error", err)
	}
	c.loop.Do(c.publishLists)
	c.logger.Info("lists in force", "revision", snapshot.Revision,
		"plans", len(snapshot.Plans.Plans), "models", len(snapshot.Allowances.Models))
	c.listsChanged()
}

func (c *control) publishLists() {
	next := *c.current()
	next.index = c.register.Current()
	c.published.Store(&next)
}

// listsUnreadable records a stored revision that makes no sense.
func (c *control) listsUnreadable(revision int64, reason error) {
	c.register.Reject(revision, reason)
	c.logRejected(revision)
}

func (c *control) logRejected(revision int64) {
	rejected := c.register.Rejected()
	if rejected != nil && rejected.Revision == revision {
		c.logger.Error("lists rejected, the last good revision stays in force",
			"revision", revision, "in_force", c.register.Revision(), "reason", rejected.Reason)
	}
}
