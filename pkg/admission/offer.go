package admission

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Offer queues an item and returns nil, or refuses it. An item whose ID is already
// waiting or running is refused as invalid.
func (q *Queue) Offer(now time.Time, item Item, estimate Estimate) *Refusal {
	if q.has(item.ID) {
		return &Refusal{Reason: wire.ReasonInvalid, RetryAfter: minRetryAfter}
	}
	if q.Len() >= q.limits.MaxQueued {
		return q.refuseFull(q.tokens)
	}
	f := q.flow(item.Plan)
	f.weight = float64(max(item.Weight, 1))
	f.bucket.setRate(now, item.TokensPerSecond)
	if f.queued >= maxQueuedPlan(item) {
		return q.refuseFull(f.tokens)
	}
	q.recordReadyTime(now, item.Target, estimate)
	if refusal := q.checkDeadline(now, f, item, estimate); refusal != nil {
		q.releaseIfIdle(now, f)
		return refusal
	}
	q.enqueue(f, item)
	return nil
}

func (q *Queue) has(id string) bool {
	if _, ok := q.waiting[id]; ok {
		return true
	}
	_, ok := q.running[id]
	return ok
}

func maxQueuedPlan(item Item) int {
	if item.MaxQueuedPlan <= 0 {
		return DefaultMaxQueuedPlan
	}
	return item.MaxQueuedPlan
}

// refuseFull refuses an item and advises a retry once half of the work ahead is
// done.
func (q *Queue) refuseFull(tokens int64) *Refusal {
	drain := q.drainTime(float64(tokens) / 2)
	return &Refusal{Reason: wire.ReasonQueueFull, RetryAfter: clampRetryAfter(drain)}
}

// checkDeadline refuses an item that can't meet its deadline.
func (q *Queue) checkDeadline(now time.Time, f *flow, item Item, estimate Estimate) *Refusal {
	if item.Deadline.IsZero() {
		return q.checkStartBy(now, f, item, estimate)
	}
	budget := item.Deadline.Sub(now) - responseMargin
	need := q.rate.serviceTime(float64(item.cost()))
	limited := f.bucket.wait(now, float64(f.tokens))
	if limited > 0 && limited+need > budget {
		return &Refusal{Reason: wire.ReasonRate, RetryAfter: clampRetryAfter(limited)}
	}
	wait := q.expectedStart(now, f, item, estimate)
	if wait+need <= budget && budget > 0 {
		return q.checkStartBy(now, f, item, estimate)
	}
	return &Refusal{Reason: wire.ReasonDeadline, RetryAfter: clampRetryAfter(wait + need - budget)}
}

// checkStartBy refuses an item that is expected to start too late.
func (q *Queue) checkStartBy(now time.Time, f *flow, item Item, estimate Estimate) *Refusal {
	if item.StartBy.IsZero() {
		return nil
	}
	wait := q.expectedStart(now, f, item, estimate)
	if late := wait - item.StartBy.Sub(now); late > 0 {
		return &Refusal{Reason: wire.ReasonDeadline, RetryAfter: clampRetryAfter(late)}
	}
	return nil
}
