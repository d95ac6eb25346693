package modelengine

import (
	"context"
	"slices"
)

// slotQueue grants slots by priority, then by order of arrival.
type slotQueue struct {
	free    int
	running int
	waiting []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

// acquireSlot waits for a slot and returns false if ctx ends first.
func (s *Server) acquireSlot(ctx context.Context, priority int) bool {
	s.mu.Lock()
	w := &waiter{priority: priority, granted: make(chan struct{})}
	after := func(other *waiter) bool { return other.priority < priority }
	at := slices.IndexFunc(s.slots.waiting, after)
	if at < 0 {
		at = len(s.slots.waiting)
	}
	s.slots.waiting = slices.Insert(s.slots.waiting, at, w)
	s.slots.grant()
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		return s.leaveQueue(w)
	}
}

// leaveQueue removes a waiter from the queue. It returns true if the slot was
// granted meanwhile.
func (s *Server) leaveQueue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.slots.waiting, w)
	if at < 0 {
		return true
	}
	s.slots.waiting = slices.Delete(s.slots.waiting, at, at+1)
	return false
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.free++
	s.slots.running--
	s.slots.grant()
}

func (q *slotQueue) grant() {
	for q.free > 0 && len(q.waiting) > 0 {
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
		q.free--
		q.running++
	}
}
