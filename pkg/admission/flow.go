package admission

import (
	"math"
	"time"
)

// bucketBurst is the time over which a plan can accumulate unused rate.
const bucketBurst = time.Second

// flow is the queue state of one plan.
type flow struct {
	plan   string
	weight float64
	lanes  map[Target]*lane
	queued int
	tokens int64
	// running counts the plan's running items.
	running int
	// finish is the finish tag: the virtual time at which the plan's last charged
	// item ends.
	finish float64
	bucket bucket
}

// firstReady returns the first item in the plan's order whose target is ready.
func (f *flow) firstReady(ready func(Target) bool) *queuedItem {
	var first *queuedItem
	for _, l := range f.lanes {
		if !ready(l.target) {
			continue
		}
		if e := l.waiting.first(); first == nil || e.before(first) {
			first = e
		}
	}
	return first
}

// isIdle reports whether the plan has no waiting or running items.
func (f *flow) isIdle() bool {
	return f.queued == 0 && f.running == 0
}

// bucket is a token bucket that limits a plan's tokens per second. It admits a
// request while its level is positive, so the level can become negative by one
// request.
type bucket struct {
	rate    float64
	level   float64
	updated time.Time
}

func (b *bucket) setRate(now time.Time, tokensPerSecond int) {
	b.refill(now)
	rate := float64(tokensPerSecond)
	if b.rate == 0 && rate > 0 {
		b.level = rate * bucketBurst.Seconds()
	}
	b.rate = rate
	b.level = min(b.level, rate*bucketBurst.Seconds())
}

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	if b.rate == 0 || elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed*b.rate, b.rate*bucketBurst.Seconds())
}

func (b *bucket) allows(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	b.refill(now)
	return b.level > 0
}

func (b *bucket) charge(tokens float64) {
	if b.rate > 0 {
		b.level -= tokens
	}
}

// wait returns the time until the bucket admits a request after that many more
// tokens were charged.
func (b *bucket) wait(now time.Time, tokens float64) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.refill(now)
	missing := tokens - b.level
	if missing < 0 {
		return 0
	}
	return seconds(missing/b.rate) + time.Nanosecond
}

// isFull reports whether the bucket is equivalent to a new one and can be removed.
func (b *bucket) isFull(now time.Time) bool {
	b.refill(now)
	return b.rate == 0 || b.level >= b.rate*bucketBurst.Seconds()
}

func seconds(s float64) time.Duration {
	if s > float64(math.MaxInt64)/2/float64(time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
