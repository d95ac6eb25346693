package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minPoll and maxPoll limit the delay after which a waiting agent repeats its
	// request.
	minPoll = 25 * time.Millisecond
	maxPoll = time.Second
	// pollShare is the share of a load's expected wait after which its agent
	// repeats its request.
	pollShare = 0.5
	// extraLoads is the number of loads above those at full speed that may run,
	// so that the weight store isn't idle while the message with the next grant
	// is in transit.
	extraLoads = 1
	// requestTTL is how long a request counts as waiting without being repeated.
	requestTTL = 3 * maxPoll
	// minGrantTTL is the minimum time for which a grant counts as a running load
	// if its end isn't reported.
	minGrantTTL = 30 * time.Second
	// grantTTLFactor is that time in multiples of the mean load duration.
	grantTTLFactor = 4
	// initialLoad is the mean load duration assumed before any was reported.
	initialLoad = 5 * time.Second
	// loadSmoothing is the weight of a new observation in the mean load duration.
	loadSmoothing = 0.2
	// waitingBonus is how much earlier a load counts as requested for each
	// inference request that waits for it.
	waitingBonus = 500 * time.Millisecond
	// maxBonusWaiting limits the waiting requests that count for waitingBonus.
	maxBonusWaiting = 16
)

// Order is the order in which a Coordinator grants loads.
type Order uint8

// The orders.
const (
	// OrderArrival grants the earliest load request first.
	OrderArrival Order = iota
	// OrderDeadline grants the load with the earliest deadline first.
	OrderDeadline
	// OrderUrgent grants loads with a near deadline first, by deadline, and the
	// others as OrderWaiting does.
	OrderUrgent
	// OrderWaiting grants the earliest load request first, after moving each one
	// ahead by waitingBonus for each inference request that waits for it.
	OrderWaiting
)

// loadID identifies a load on a runner.
type loadID struct {
	runner string
	target engine.Target
}

// loadRequest is a waiting load.
type loadRequest struct {
	id        loadID
	firstSeen time.Time
	lastSeen  time.Time
	waiting   int
	deadline  time.Time
}

// Coordinator grants the loads of all agents. Use NewCoordinator.
type Coordinator struct {
	limits    StoreLimits
	order     Order
	requests  map[loadID]*loadRequest
	grants    map[loadID]time.Time
	nextStart time.Time
	meanLoad  time.Duration
}

// NewCoordinator returns a coordinator without state, with which a process starts
// when it becomes the coordinator.
func NewCoordinator(limits StoreLimits, order Order) *Coordinator {
	return &Coordinator{
		limits:   limits,
		order:    order,
		requests: map[loadID]*loadRequest{},
		grants:   map[loadID]time.Time{},
		meanLoad: initialLoad,
	}
}

// Request processes an agent's message. A response with a wait of zero grants the
// load; otherwise the agent repeats the request after the wait.
func (c *Coordinator) Request(now time.Time, m wire.LoadRequest) wire.LoadGrant {
	id := loadID{runner: m.Runner, target: engine.Target{Model: m.Model, Version: m.Version}}
	c.expire(now)
	if m.Done {
		c.loadDone(id, m)
		return wire.LoadGrant{}
	}
	if _, ok := c.grants[id]; ok {
		return wire.LoadGrant{}
	}
	r := c.updateRequest(now, id, m)
	position := c.position(now, r)
	free := c.limits.MaxConcurrent + extraLoads - len(c.grants)
	if position < free && !now.Before(c.nextStart) {
		c.grant(now, id)
		return wire.LoadGrant{}
	}
	retryDelay := c.retryDelay(now, position, free)
	return wire.LoadGrant{WaitMillis: uint32(retryDelay.Milliseconds()), Position: position}
}

// Waiting returns the number of waiting loads.
func (c *Coordinator) Waiting() int { return len(c.requests) }

// Running returns the number of loads that count as running.
func (c *Coordinator) Running() int { return len(c.grants) }

func (c *Coordinator) loadDone(id loadID, m wire.LoadRequest) {
	delete(c.requests, id)
	delete(c.grants, id)
	if m.TookMillis == 0 {
		return
	}
	took := time.Duration(m.TookMillis) * time.Millisecond
	c.meanLoad += time.Duration(loadSmoothing * float64(took-c.meanLoad))
}

func (c *Coordinator) updateRequest(now time.Time, id loadID, m wire.LoadRequest) *loadRequest {
	r := c.requests[id]
	if r == nil {
		r = &loadRequest{id: id, firstSeen: now}
		c.requests[id] = r
	}
	r.lastSeen = now
	r.waiting = m.Waiting
	r.moveDeadline(now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond))
	return r
}

// moveDeadline updates the deadline. Small postponements are ignored: the remaining
// time of an overdue load is always reported as zero, and loads whose deadlines
// move with each request would be placed behind each other forever.
func (r *loadRequest) moveDeadline(deadline time.Time) {
	if r.deadline.IsZero() || deadline.Before(r.deadline) || deadline.Sub(r.deadline) > requestTTL {
		r.deadline = deadline
	}
}

func (c *Coordinator) grant(now time.Time, id loadID) {
	delete(c.requests, id)
	ttl := max(grantTTLFactor*c.meanLoad, minGrantTTL)
	c.grants[id] = now.Add(ttl)
	interval := durationOf(1 / c.limits.StartsPerSecond)
	c.nextStart = now.Add(interval)
}

// expire removes the loads of agents that have become unresponsive.
func (c *Coordinator) expire(now time.Time) {
	for id, r := range c.requests {
		if now.Sub(r.lastSeen) > requestTTL {
			delete(c.requests, id)
		}
	}
	for id, until := range c.grants {
		if now.After(until) {
			delete(c.grants, id)
		}
	}
}

// sortKey returns a request's position in the order: by rank, then by time.
func (c *Coordinator) sortKey(now time.Time, r *loadRequest) (rank int, at time.Time) {
	waited := r.firstSeen.Add(-waitingBonus * time.Duration(min(r.waiting, maxBonusWaiting)))
	switch c.order {
	case OrderDeadline:
		return 0, r.deadline
	case OrderWaiting:
		return 0, waited
	case OrderUrgent:
		if r.deadline.Sub(now) < c.expectedQueueTime() {
			return 0, r.deadline
		}
		return 1, waited
	default:
		return 0, r.firstSeen
	}
}

// expectedQueueTime returns the expected time until all waiting loads have ended.
func (c *Coordinator) expectedQueueTime() time.Duration {
	rounds := float64(len(c.requests))/float64(max(c.limits.MaxConcurrent, 1)) + 1
	return time.Duration(rounds * float64(c.meanLoad))
}

// position counts the waiting loads that start before a request.
func (c *Coordinator) position(now time.Time, r *loadRequest) int {
	n := 0
	for _, other := range c.requests {
		if other != r && c.before(now, other, r) {
			n++
		}
	}
	return n
}

func (c *Coordinator) before(now time.Time, a, b *loadRequest) bool {
	rankA, atA := c.sortKey(now, a)
	rankB, atB := c.sortKey(now, b)
	if rankA != rankB {
		return rankA < rankB
	}
	if !atA.Equal(atB) {
		return atA.Before(atB)
	}
	if a.id.runner != b.id.runner {
		return a.id.runner < b.id.runner
	}
	if a.id.target.Model != b.id.target.Model {
		return a.id.target.Model < b.id.target.Model
	}
	return a.id.target.Version < b.id.target.Version
}

// retryDelay returns when an agent at the position should repeat its request. Loads
// near the front repeat it often, so that free capacity is used without delay.
func (c *Coordinator) retryDelay(now time.Time, position, free int) time.Duration {
	expected := c.nextStart.Sub(now)
	if position >= free {
		rounds := float64(position-max(free, 0)) / float64(max(c.limits.MaxConcurrent, 1))
		expected = max(expected, time.Duration(pollShare*rounds*float64(c.meanLoad)))
	}
	return min(max(expected, minPoll), maxPoll)
}
