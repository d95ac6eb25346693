package attempt

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets of the sliding window.
	windowBuckets = 20
	// budgetSafetyFactor is the part of the bound that is used. The rest allows for
	// requests that other processes count in a different window.
	budgetSafetyFactor = 0.8
)

// BudgetLimits bounds the retries to a service by all entries together.
type BudgetLimits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget limits this entry's retries in any window to its share of the bound for
// all entries. It is safe for concurrent use. Use NewBudget.
type Budget struct {
	// start is the origin of the bucket numbers. Only time differences are used,
	// as the wall clock may jump.
	start time.Time

	mu     sync.Mutex
	limits BudgetLimits
	// entries is the number of entries that share the slack; zero if it is unknown.
	entries  int
	services map[string]*window
}

// window counts requests and retries in time buckets.
type window struct {
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewBudget returns a budget without a share of the slack, which SetEntries gives
// it.
func NewBudget(now time.Time, limits BudgetLimits) *Budget {
	return &Budget{limits: limits, start: now, services: make(map[string]*window)}
}

// SetLimits changes the limits.
func (b *Budget) SetLimits(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// SetEntries changes the number of entries that share the bound.
func (b *Budget) SetEntries(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(entries, 1)
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.bucket%windowBuckets]++
}

// Withdraw takes one retry from the budget and reports whether it was available.
func (b *Budget) Withdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	allowed := budgetSafetyFactor * (b.limits.Ratio*float64(sum(&w.requests)) + b.slackShare())
	if float64(sum(&w.retries)+1) > allowed {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// slackShare is this entry's share of the slack.
func (b *Budget) slackShare() float64 {
	if b.entries == 0 {
		return 0
	}
	return b.limits.Slack / float64(b.entries)
}

// window returns a service's window, advanced to the current bucket.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	// The current bucket is incomplete and doesn't count towards the length.
	length := max(b.limits.Window/(windowBuckets-1), time.Millisecond)
	bucket := int64(now.Sub(b.start) / length)
	for w.bucket < bucket {
		if bucket-w.bucket > windowBuckets {
			w.bucket = bucket - windowBuckets
		}
		w.bucket++
		w.requests[w.bucket%windowBuckets] = 0
		w.retries[w.bucket%windowBuckets] = 0
	}
	return w
}

func sum(counts *[windowBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
