package admission

import "container/heap"

// notInHeap is the position of an item that isn't in a heap.
const notInHeap = -1

// itemHeap is a heap of waiting items. Each item stores its position in the heap, so
// that it can be removed before its turn. Its exported methods are those of
// heap.Interface.
type itemHeap struct {
	items []*queuedItem
	// before is the order of the items.
	before func(a, b *queuedItem) bool
	// position returns where an item stores its position in this heap.
	position func(*queuedItem) *int
}

// first returns the first item, or nil if the heap is empty.
func (h *itemHeap) first() *queuedItem {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *itemHeap) add(e *queuedItem) { heap.Push(h, e) }

// remove removes an item, unless it isn't in the heap.
func (h *itemHeap) remove(e *queuedItem) {
	if position := *h.position(e); position != notInHeap {
		heap.Remove(h, position)
	}
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

func (h *itemHeap) Push(x any) {
	e := x.(*queuedItem)
	*h.position(e) = len(h.items)
	h.items = append(h.items, e)
}

func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.position(e) = notInHeap
	return e
}
