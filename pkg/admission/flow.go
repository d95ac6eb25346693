package admission

import (
	"math"
	"time"
)

// bucketBurst is how much unused rate a plan may save up.
const bucketBurst = time.Second

// flow is the state of one plan.
type flow struct {
	plan   string
	weight float64
	lanes  map[Target]*lane
	queued int
	tokens int64
	// running counts the plan's running items.
	running int
	// finish is the virtual time at which the plan's last charge ends.
	finish float64
	bucket bucket
}

// best returns the first item in the plan's order whose target is ready.
func (f *flow) best(ready func(Target) bool) *entry {
	var first *entry
	for _, l := range f.lanes {
		if !ready(l.target) {
			continue
		}
		if e := l.entries[0]; first == nil || e.before(first) {
			first = e
		}
	}
	return first
}

// idle tells whether nothing of the plan waits or runs.
func (f *flow) idle() bool {
	return f.queued == 0 && f.running == 0
}

// bucket limits a plan's tokens per second. It starts a request while its level
// is above zero and may go into debt by the size of one request.
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

// wait is the time until the bucket allows a request after tokens more.
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

// full tells whether forgetting the bucket changes nothing.
func (b *bucket) full(now time.Time) bool {
	b.refill(now)
	return b.rate == 0 || b.level >= b.rate*bucketBurst.Seconds()
}

func seconds(s float64) time.Duration {
	if s > float64(math.MaxInt64)/2/float64(time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
