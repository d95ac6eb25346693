package main

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
)

// queue is the interface of the compared queues.
type queue interface {
	// offer adds a request, or returns false if the request is refused.
	offer(now time.Time, item admission.Item) bool
	next(now time.Time) (admission.Item, bool)
	finish(now time.Time, id string, used int64, took time.Duration)
	// expire removes and returns the requests whose deadline has passed.
	expire(now time.Time) []admission.Item
	// nextExpiry returns the time of the next expiry, or the zero time.
	nextExpiry() time.Time
}

// fairQueue is the product's queue.
type fairQueue struct{ *admission.Queue }

func newFairQueue() queue {
	return fairQueue{admission.New(admission.Limits{MaxQueued: maxQueued, Slots: slots})}
}

func (q fairQueue) offer(now time.Time, item admission.Item) bool {
	return q.Offer(now, item, admission.Estimate{}) == nil
}

func (q fairQueue) next(now time.Time) (admission.Item, bool) {
	return q.Next(now, func(admission.Target) bool { return true })
}

func (q fairQueue) finish(now time.Time, id string, used int64, took time.Duration) {
	q.Finish(now, id, used, took)
}

func (q fairQueue) expire(now time.Time) []admission.Item { return q.Expire(now) }

func (q fairQueue) nextExpiry() time.Time { return q.NextExpiry() }

// singlePlanQueue assigns all requests to one plan of the product's queue, which
// leaves priorities and deadlines but no fairness.
type singlePlanQueue struct{ queue }

func newSinglePlanQueue() queue { return singlePlanQueue{newFairQueue()} }

func (q singlePlanQueue) offer(now time.Time, item admission.Item) bool {
	item.Plan, item.Weight = "all", 1
	return q.queue.offer(now, item)
}

// fifo runs requests in the order of their arrival.
type fifo struct {
	waiting []admission.Item
	running int
}

func newFIFO() queue { return &fifo{} }

func (q *fifo) offer(_ time.Time, item admission.Item) bool {
	if len(q.waiting) >= maxQueued {
		return false
	}
	q.waiting = append(q.waiting, item)
	return true
}

func (q *fifo) next(time.Time) (admission.Item, bool) {
	if len(q.waiting) == 0 || q.running >= slots {
		return admission.Item{}, false
	}
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running++
	return first, true
}

func (q *fifo) finish(time.Time, string, int64, time.Duration) { q.running-- }

func (q *fifo) expire(now time.Time) []admission.Item {
	var remaining, expired []admission.Item
	for _, item := range q.waiting {
		if now.Before(item.Deadline) {
			remaining = append(remaining, item)
		} else {
			expired = append(expired, item)
		}
	}
	q.waiting = remaining
	return expired
}

func (q *fifo) nextExpiry() time.Time {
	var first time.Time
	for _, item := range q.waiting {
		if first.IsZero() || item.Deadline.Before(first) {
			first = item.Deadline
		}
	}
	return first
}
