package loading

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minPoll and maxPoll bound the wait after which a waiting agent asks again.
	minPoll = 25 * time.Millisecond
	maxPoll = time.Second
	// pollShare is the share of a load's expected wait after which its agent
	// asks again.
	pollShare = 0.5
	// overlap is the number of loads above those at full speed that may run, so
	// that the weight store isn't idle while the next start's message travels.
	overlap = 1
	// askTTL is how long a waiting load counts that isn't asked for again.
	askTTL = 3 * maxPoll
	// minGrantTTL is the least time for which a start counts as running when its
	// end isn't reported.
	minGrantTTL = 30 * time.Second
	// grantTTLLoads is that time in mean load durations.
	grantTTLLoads = 4
	// initialLoad is the mean load duration before any was reported.
	initialLoad = 5 * time.Second
	// loadSmoothing is the weight of a new observation in the mean duration.
	loadSmoothing = 0.2
	// waitingBonus is how much earlier a load counts as asked for, for each
	// request that waits for it.
	waitingBonus = 500 * time.Millisecond
	// maxBonusWaiting bounds the requests that count for waitingBonus.
	maxBonusWaiting = 16
)

// Order is the order in which a Coordinator hands out starts.
type Order uint8

// The orders.
const (
	// OrderArrival starts the load that was asked for first.
	OrderArrival Order = iota
	// OrderDeadline starts the load with the earliest deadline.
	OrderDeadline
	// OrderUrgent starts the loads first whose deadline is near, by deadline, and
	// the others as OrderWaiting does.
	OrderUrgent
	// OrderWaiting starts the load that was asked for first, after moving each
	// one ahead by the number of requests that wait for it.
	OrderWaiting
)

// loadID names a load at a runner.
type loadID struct {
	runner string
	target engine.Target
}

// ask is a waiting load.
type ask struct {
	id       loadID
	first    time.Time
	seen     time.Time
	waiting  int
	deadline time.Time
}

// Coordinator hands out the starts of all agents' loads. Use NewCoordinator.
type Coordinator struct {
	limits    StoreLimits
	order     Order
	asks      map[loadID]*ask
	grants    map[loadID]time.Time
	nextStart time.Time
	meanLoad  time.Duration
}

// NewCoordinator returns a coordinator without state. A process that becomes the
// coordinator starts with it.
func NewCoordinator(limits StoreLimits, order Order) *Coordinator {
	return &Coordinator{
		limits:   limits,
		order:    order,
		asks:     map[loadID]*ask{},
		grants:   map[loadID]time.Time{},
		meanLoad: initialLoad,
	}
}

// Request answers an agent's message. A slot with a wait of zero grants the start;
// otherwise the agent asks again after the wait.
func (c *Coordinator) Request(now time.Time, m wire.LoadRequest) wire.LoadGrant {
	id := loadID{runner: m.Runner, target: engine.Target{Model: m.Model, Version: m.Version}}
	c.expire(now)
	if m.Done {
		c.done(id, m)
		return wire.LoadGrant{}
	}
	if _, ok := c.grants[id]; ok {
		return wire.LoadGrant{}
	}
	a := c.note(now, id, m)
	position := c.position(now, a)
	free := c.limits.MaxConcurrent + overlap - len(c.grants)
	if position < free && !now.Before(c.nextStart) {
		c.grant(now, id)
		return wire.LoadGrant{}
	}
	wait := c.wait(now, position, free)
	return wire.LoadGrant{WaitMillis: uint32(wait.Milliseconds()), Position: position}
}

// Waiting returns the number of waiting loads.
func (c *Coordinator) Waiting() int { return len(c.asks) }

// Running returns the number of loads that count as running.
func (c *Coordinator) Running() int { return len(c.grants) }

func (c *Coordinator) done(id loadID, m wire.LoadRequest) {
	delete(c.asks, id)
	delete(c.grants, id)
	if m.TookMillis == 0 {
		return
	}
	took := time.Duration(m.TookMillis) * time.Millisecond
	c.meanLoad += time.Duration(loadSmoothing * float64(took-c.meanLoad))
}

func (c *Coordinator) note(now time.Time, id loadID, m wire.LoadRequest) *ask {
	a := c.asks[id]
	if a == nil {
		a = &ask{id: id, first: now}
		c.asks[id] = a
	}
	a.seen = now
	a.waiting = m.Waiting
	a.moveDeadline(now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond))
	return a
}

// moveDeadline takes in a deadline. Small delays are ignored: the time
// left of an overdue load is always zero, and loads whose deadlines move with
// each ask would stand behind each other for ever.
func (a *ask) moveDeadline(deadline time.Time) {
	if a.deadline.IsZero() || deadline.Before(a.deadline) || deadline.Sub(a.deadline) > askTTL {
		a.deadline = deadline
	}
}

func (c *Coordinator) grant(now time.Time, id loadID) {
	delete(c.asks, id)
	ttl := max(grantTTLLoads*c.meanLoad, minGrantTTL)
	c.grants[id] = now.Add(ttl)
	interval := durationOf(1 / c.limits.StartsPerSecond)
	c.nextStart = now.Add(interval)
}

// expire drops the loads of agents that fell silent.
func (c *Coordinator) expire(now time.Time) {
	for id, a := range c.asks {
		if now.Sub(a.seen) > askTTL {
			delete(c.asks, id)
		}
	}
	for id, until := range c.grants {
		if now.After(until) {
			delete(c.grants, id)
		}
	}
}

// key places an ask in the order. Lower ranks go first.
func (c *Coordinator) key(now time.Time, a *ask) (rank int, at time.Time) {
	waited := a.first.Add(-waitingBonus * time.Duration(min(a.waiting, maxBonusWaiting)))
	switch c.order {
	case OrderDeadline:
		return 0, a.deadline
	case OrderWaiting:
		return 0, waited
	case OrderUrgent:
		if a.deadline.Sub(now) < c.drainTime() {
			return 0, a.deadline
		}
		return 1, waited
	default:
		return 0, a.first
	}
}

// drainTime is the expected time until all waiting loads have ended.
func (c *Coordinator) drainTime() time.Duration {
	rounds := float64(len(c.asks))/float64(max(c.limits.MaxConcurrent, 1)) + 1
	return time.Duration(rounds * float64(c.meanLoad))
}

// position counts the loads that start before an ask.
func (c *Coordinator) position(now time.Time, a *ask) int {
	n := 0
	for _, other := range c.asks {
		if other != a && c.before(now, other, a) {
			n++
		}
	}
	return n
}

func (c *Coordinator) before(now time.Time, a, b *ask) bool {
	rankA, atA := c.key(now, a)
	rankB, atB := c.key(now, b)
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

// wait is when an agent at the position should ask again. Loads near the front
// ask often, so that a free place is taken at once.
func (c *Coordinator) wait(now time.Time, position, free int) time.Duration {
	expected := c.nextStart.Sub(now)
	if position >= free {
		rounds := float64(position-max(free, 0)) / float64(max(c.limits.MaxConcurrent, 1))
		expected = max(expected, time.Duration(pollShare*rounds*float64(c.meanLoad)))
	}
	return min(max(expected, minPoll), maxPoll)
}
