package admission

import (
	"container/heap"
	"time"
)

// queuedItem is a waiting item.
type queuedItem struct {
	item Item
	seq  uint64
	// latestStart is the time at which the item expires.
	latestStart time.Time
	lane        *lane
	laneIndex   int
	// expiryIndex is -1 for items without a deadline.
	expiryIndex int
}

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
	waiting laneHeap
	work    workIndex
	tokens  int64
}

func newLane(f *flow, t Target) *lane {
	return &lane{flow: f, target: t, work: workIndex{}}
}

func (l *lane) enqueue(e *queuedItem) {
	e.lane = l
	heap.Push(&l.waiting, e)
	l.add(e, e.item.cost())
}

func (l *lane) remove(e *queuedItem) {
	heap.Remove(&l.waiting, e.laneIndex)
	l.add(e, -e.item.cost())
	e.lane = nil
}

func (l *lane) add(e *queuedItem, tokens int64) {
	l.tokens += tokens
	l.flow.tokens += tokens
	l.work.add(workKey(e.item), tokens)
}

// laneHeap implements heap.Interface.
type laneHeap []*queuedItem

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].laneIndex = i
	h[j].laneIndex = j
}

func (h *laneHeap) Push(x any) {
	e := x.(*queuedItem)
	e.laneIndex = len(*h)
	*h = append(*h, e)
}

func (h *laneHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}

// expiryHeap orders waiting items by expiry time.
type expiryHeap []*queuedItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*queuedItem)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	e.expiryIndex = -1
	*h = old[:last]
	return e
}

// deadlineQuantum is the deadline resolution of a workIndex.
const deadlineQuantum = 16 * time.Millisecond

// deadlineBits is the number of deadline bits in a work key.
const deadlineBits = 40

// maxWorkKey is the largest key of a workIndex.
const maxWorkKey = uint64(MaxPriority+1) << deadlineBits

// workIndex is a sparse Fenwick tree that sums the tokens of all items up to a
// position in a plan's order, in time logarithmic in the size of the key space.
type workIndex map[uint64]int64

// workKey returns the position of an item in its plan's order, lowest first.
func workKey(i Item) uint64 {
	class := uint64(MaxPriority - clampPriority(i.Priority))
	last := uint64(1)<<deadlineBits - 1
	quanta := last
	if !i.Deadline.IsZero() {
		quanta = min(uint64(max(i.Deadline.UnixMilli(), 0))/uint64(deadlineQuantum.Milliseconds()), last)
	}
	return class<<deadlineBits | quanta + 1
}

func (w workIndex) add(key uint64, tokens int64) {
	for ; key <= maxWorkKey; key += key & -key {
		w[key] += tokens
		if w[key] == 0 {
			delete(w, key)
		}
	}
}

// upTo returns the sum of the tokens of all keys up to and including key.
func (w workIndex) upTo(key uint64) int64 {
	var sum int64
	for ; key > 0; key -= key & -key {
		sum += w[key]
	}
	return sum
}
