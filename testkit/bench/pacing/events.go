package main

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// clock is virtual time and its pending events.
type clock struct {
	now     time.Time
	seq     int
	pending eventHeap
}

func (c *clock) at(when time.Time, do func()) {
	c.seq++
	heap.Push(&c.pending, event{at: when, seq: c.seq, do: do})
}

func (c *clock) after(d time.Duration, do func()) {
	c.at(c.now.Add(d), do)
}

// run calls the events in order until the end.
func (c *clock) run(end time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(end) {
		e := heap.Pop(&c.pending).(event)
		if e.at.After(c.now) {
			c.now = e.at
		}
		e.do()
	}
	c.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
