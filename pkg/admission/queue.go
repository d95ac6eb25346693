package admission

import (
	"cmp"
	"slices"
	"time"
)

// running is an item that Next returned.
type running struct {
	item    Item
	weight  float64
	started time.Time
}

// Queue is a bounded fair queue over plans. Use New.
type Queue struct {
	limits  Limits
	flows   map[string]*flow
	waiting map[string]*queuedItem
	running map[string]running
	// expiry holds the waiting items that expire.
	expiry itemHeap
	// expired holds expired items until Expire returns them.
	expired []Item
	// readyAt holds the expected load time of the targets of waiting items.
	readyAt map[Target]time.Time
	tokens  int64
	seq     uint64
	// virtualTime is the start tag of the last item that Next returned.
	virtualTime float64
	rate        serviceRate
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	limits.Slots = max(limits.Slots, 1)
	return &Queue{
		limits:  limits,
		flows:   map[string]*flow{},
		waiting: map[string]*queuedItem{},
		running: map[string]running{},
		expiry:  itemHeap{before: (*queuedItem).expiresBefore, position: expiryPosition},
		readyAt: map[Target]time.Time{},
	}
}

// SetLimits changes the limits. Items that are already queued stay.
func (q *Queue) SetLimits(limits Limits) {
	limits.Slots = max(limits.Slots, 1)
	q.limits = limits
}

func (q *Queue) enqueue(f *flow, item Item) {
	q.seq++
	e := &queuedItem{item: item, seq: q.seq, expiryPosition: notInHeap}
	l := f.lanes[item.Target]
	if l == nil {
		l = newLane(f, item.Target)
		f.lanes[item.Target] = l
	}
	l.enqueue(e)
	f.queued++
	q.tokens += item.cost()
	q.waiting[item.ID] = e
	if e.latestStart = q.latestStart(item); !e.latestStart.IsZero() {
		q.expiry.add(e)
	}
}

// latestStart returns the time at which an item expires, or the zero time.
func (q *Queue) latestStart(item Item) time.Time {
	if item.Deadline.IsZero() {
		return item.StartBy
	}
	need := q.rate.serviceTime(float64(item.cost()))
	reserve := responseMargin + time.Duration(minServiceShare*float64(need))
	latest := item.Deadline.Add(-reserve)
	if !item.StartBy.IsZero() && item.StartBy.Before(latest) {
		return item.StartBy
	}
	return latest
}

// dequeue removes a waiting item from all data structures.
func (q *Queue) dequeue(e *queuedItem) {
	l := e.lane
	f := l.flow
	l.remove(e)
	if l.waiting.first() == nil {
		delete(f.lanes, l.target)
	}
	f.queued--
	q.tokens -= e.item.cost()
	delete(q.waiting, e.item.ID)
	q.expiry.remove(e)
}

// Next returns the item to run now, if a slot is free and an item can run. The item
// counts as running until Finish. ready reports whether a target is loaded.
func (q *Queue) Next(now time.Time, ready func(Target) bool) (Item, bool) {
	if len(q.running) >= q.limits.Slots {
		return Item{}, false
	}
	q.collectExpired(now)
	e := q.nextItem(now, ready)
	if e == nil {
		return Item{}, false
	}
	f := e.lane.flow
	q.dequeue(e)
	q.charge(now, f, e.item)
	return e.item, true
}

// collectExpired moves the expired items to the list for Expire.
func (q *Queue) collectExpired(now time.Time) {
	for e := q.expiry.first(); e != nil && e.latestStart.Before(now); e = q.expiry.first() {
		f := e.lane.flow
		q.dequeue(e)
		q.releaseIfIdle(now, f)
		q.expired = append(q.expired, e.item)
	}
}

// nextItem returns the first ready item of the plan with the lowest start tag.
func (q *Queue) nextItem(now time.Time, ready func(Target) bool) *queuedItem {
	var chosen *queuedItem
	var lowest float64
	for _, f := range q.flows {
		if f.queued == 0 || !f.bucket.allows(now) {
			continue
		}
		start := q.startTag(f)
		if chosen != nil && !startsBefore(start, f, lowest, chosen.lane.flow) {
			continue
		}
		if e := f.firstReady(ready); e != nil {
			chosen = e
			lowest = start
		}
	}
	return chosen
}

// startsBefore orders plans by start tag, and equal tags by plan name.
func startsBefore(start float64, f *flow, other float64, g *flow) bool {
	if start != other {
		return start < other
	}
	return f.plan < g.plan
}

// startTag returns the virtual time at which the plan's next item starts. A plan
// accumulates no credit while it has nothing to run.
func (q *Queue) startTag(f *flow) float64 {
	return max(q.virtualTime, f.finish)
}

func (q *Queue) charge(now time.Time, f *flow, item Item) {
	start := q.startTag(f)
	cost := float64(item.cost())
	q.virtualTime = start
	f.finish = start + cost/f.weight
	f.bucket.charge(cost)
	f.running++
	q.running[item.ID] = running{item: item, weight: f.weight, started: now}
}

// Finish ends a running item and corrects its plan's charge to the tokens that were
// actually used. tokens and took are zero for an item that did not run; its charge
// is then refunded in full. Finish has no effect for an unknown item.
func (q *Queue) Finish(now time.Time, id string, tokens int64, took time.Duration) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	f := q.flow(r.item.Plan)
	f.running--
	correction := float64(tokens - r.item.cost())
	f.finish += correction / r.weight
	f.bucket.charge(correction)
	q.rate.observe(r.item.cost(), took)
	q.releaseIfIdle(now, f)
}

// Remove removes a waiting item, for example because its caller disconnected. It
// reports whether the item was waiting.
func (q *Queue) Remove(now time.Time, id string) bool {
	e, ok := q.waiting[id]
	if !ok {
		return false
	}
	f := e.lane.flow
	q.dequeue(e)
	q.releaseIfIdle(now, f)
	return true
}

// Expire removes and returns the items that can no longer meet their deadline. The
// caller must send each its final response; none of them ran.
func (q *Queue) Expire(now time.Time) []Item {
	q.collectExpired(now)
	items := q.expired
	q.expired = nil
	return items
}

// NextExpiry returns when the next item expires, or the zero time.
func (q *Queue) NextExpiry() time.Time {
	first := q.expiry.first()
	if first == nil {
		return time.Time{}
	}
	return first.latestStart.Add(time.Nanosecond)
}

// FailTarget removes and returns the items that wait for a target that can't be
// loaded. None of them ran.
func (q *Queue) FailTarget(now time.Time, target Target) []Item {
	var failed []*queuedItem
	for _, f := range q.flows {
		if l := f.lanes[target]; l != nil {
			failed = append(failed, l.waiting.items...)
		}
	}
	slices.SortFunc(failed, func(a, b *queuedItem) int { return cmp.Compare(a.seq, b.seq) })
	items := make([]Item, 0, len(failed))
	for _, e := range failed {
		f := e.lane.flow
		q.dequeue(e)
		q.releaseIfIdle(now, f)
		items = append(items, e.item)
	}
	delete(q.readyAt, target)
	return items
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// QueuedTokens returns the estimated work of the waiting items in tokens.
func (q *Queue) QueuedTokens() int64 { return q.tokens }

// flow returns the state of a plan and creates it if necessary.
func (q *Queue) flow(plan string) *flow {
	f := q.flows[plan]
	if f == nil {
		f = &flow{plan: plan, weight: 1, lanes: map[Target]*lane{}}
		q.flows[plan] = f
	}
	return f
}

// releaseIfIdle removes the state of an idle plan that equals that of a new plan.
func (q *Queue) releaseIfIdle(now time.Time, f *flow) {
	if f.isIdle() && f.finish <= q.virtualTime && f.bucket.isFull(now) {
		delete(q.flows, f.plan)
	}
	if len(q.running) == 0 && len(q.waiting) == 0 {
		q.reset(now)
	}
}

// reset restarts virtual time after everything has run.
func (q *Queue) reset(now time.Time) {
	q.virtualTime = 0
	clear(q.readyAt)
	for plan, f := range q.flows {
		f.finish = 0
		if f.bucket.isFull(now) {
			delete(q.flows, plan)
		}
	}
}
