package admission

import "time"

// recordReadyTime records when a target is expected to be loaded.
func (q *Queue) recordReadyTime(now time.Time, target Target, estimate Estimate) {
	if estimate.ReadyIn <= 0 {
		delete(q.readyAt, target)
		return
	}
	q.readyAt[target] = now.Add(estimate.ReadyIn)
}

// drainTime returns the expected time in which all slots together complete the work.
func (q *Queue) drainTime(tokens float64) time.Duration {
	return q.rate.serviceTime(tokens) / time.Duration(q.limits.Slots)
}

// slotFreeIn returns the expected time until a slot is free.
func (q *Queue) slotFreeIn(now time.Time) time.Duration {
	if len(q.running) < q.limits.Slots {
		return 0
	}
	var first time.Duration
	found := false
	for _, r := range q.running {
		left := max(q.rate.serviceTime(float64(r.item.cost()))-now.Sub(r.started), 0)
		if !found || left < first {
			first = left
			found = true
		}
	}
	return first
}

// expectedStart returns the expected time until an item that is queued now starts.
//
// The work of the item's own plan that is ordered before it determines the virtual
// time at which the item starts; each other plan is served up to that virtual time.
// Lanes whose target will be loaded later than the item's target don't count. Work
// that is ready now is done while the item's target loads.
func (q *Queue) expectedStart(now time.Time, f *flow, item Item, estimate Estimate) time.Duration {
	key := workKey(item)
	readyBy := now.Add(estimate.ReadyIn)
	var same, other float64
	for target, l := range f.lanes {
		if target == item.Target {
			same += float64(l.work.upTo(key))
		} else if !q.readyAt[target].After(readyBy) {
			other += float64(l.work.upTo(key))
		}
	}
	other += q.otherPlansAhead(f, readyBy, same+other)
	wait := max(estimate.ReadyIn, q.slotFreeIn(now)+q.drainTime(other))
	return wait + q.drainTime(same)
}

// otherPlansAhead returns the work of the other plans that is served before the plan
// has received own more tokens.
func (q *Queue) otherPlansAhead(f *flow, readyBy time.Time, own float64) float64 {
	start := q.startTag(f) + own/f.weight
	var sum float64
	for _, g := range q.flows {
		if g == f || g.queued == 0 {
			continue
		}
		share := max(start-q.startTag(g), 0) * g.weight
		if share > 0 {
			sum += min(share, q.readyTokens(g, readyBy))
		}
	}
	return sum
}

func (q *Queue) readyTokens(f *flow, readyBy time.Time) float64 {
	var sum int64
	for target, l := range f.lanes {
		if !q.readyAt[target].After(readyBy) {
			sum += l.tokens
		}
	}
	return float64(sum)
}

// ExpectedWait returns the expected time until a request of the plan without a
// deadline would start if its target is loaded.
func (q *Queue) ExpectedWait(now time.Time, plan string, weight int) time.Duration {
	f := q.flows[plan]
	if f == nil {
		f = &flow{plan: plan, weight: float64(max(weight, 1))}
	}
	return q.expectedStart(now, f, Item{Plan: plan}, Estimate{})
}
