package admission

import "time"

// queuedItem is a waiting item.
type queuedItem struct {
	item Item
	seq  uint64
	// latestStart is the time at which the item expires.
	latestStart time.Time
	lane        *lane
	// lanePosition and expiryPosition are the positions in the heaps of the lane and
	// of the queue's expiring items.
	lanePosition   int
	expiryPosition int
}

func lanePosition(e *queuedItem) *int   { return &e.lanePosition }
func expiryPosition(e *queuedItem) *int { return &e.expiryPosition }

// expiresBefore reports whether the item expires before another one.
func (e *queuedItem) expiresBefore(o *queuedItem) bool { return e.latestStart.Before(o.latestStart) }

// before reports whether the item precedes another one of the same plan.
func (e *queuedItem) before(o *queuedItem) bool {
	if p, q := clampPriority(e.item.Priority), clampPriority(o.item.Priority); p != q {
		return p > q
	}
	if e.item.Deadline.Equal(o.item.Deadline) {
		return e.seq < o.seq
	}
	if e.item.Deadline.IsZero() || o.item.Deadline.IsZero() {
		return o.item.Deadline.IsZero()
	}
	return e.item.Deadline.Before(o.item.Deadline)
}

func clampPriority(p int) int {
	return min(max(p, 0), MaxPriority)
}

// lane is the queue of one plan's items for one target.
type lane struct {
	flow    *flow
	target  Target
	waiting itemHeap
	work    workIndex
	tokens  int64
}

func newLane(f *flow, t Target) *lane {
	return &lane{
		flow:    f,
		target:  t,
		waiting: itemHeap{before: (*queuedItem).before, position: lanePosition},
		work:    workIndex{},
	}
}

func (l *lane) enqueue(e *queuedItem) {
	e.lane = l
	l.waiting.add(e)
	l.addWork(e, e.item.cost())
}

func (l *lane) remove(e *queuedItem) {
	l.waiting.remove(e)
	l.addWork(e, -e.item.cost())
	e.lane = nil
}

// addWork adds tokens of work at an item's position; they are negative if it is
// removed.
func (l *lane) addWork(e *queuedItem, tokens int64) {
	l.tokens += tokens
	l.flow.tokens += tokens
	l.work.add(workKey(e.item), tokens)
}
