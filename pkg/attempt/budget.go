package attempt

import (
	"sync"
	"time"
)

const (
	// budgetSteps is the resolution of the sliding window.
	budgetSteps = 20
	// budgetShare is the part of the bound that is used. The rest covers the
	// requests that another process's window counts differently.
	budgetShare = 0.8
)

// BudgetLimits bound the repeated sends to a service from all entries together.
type BudgetLimits struct {
	// Ratio is the number of repeated sends for each request.
	Ratio float64
	// Slack is allowed beside the ratio in each window.
	Slack float64
	// Window is the span in which both are counted.
	Window time.Duration
}

// Budget bounds this entry's repeated sends in any span of the window to its
// share of what all entries are allowed. It is safe for concurrent use. Use
// NewBudget.
type Budget struct {
	// start is the time from which steps count. Only differences of times are
	// used, as the time of day may jump.
	start time.Time

	mu       sync.Mutex
	limits   BudgetLimits
	entries  int
	services map[string]*window
}

// window counts by steps of time.
type window struct {
	step     int64
	requests [budgetSteps]int
	repeats  [budgetSteps]int
}

// NewBudget returns a budget. The number of entries that share it is taken to
// be the given one until SetEntries tells another.
func NewBudget(now time.Time, limits BudgetLimits, entries int) *Budget {
	return &Budget{limits: limits, start: now, entries: max(entries, 1), services: make(map[string]*window)}
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

// Request notes a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.step%budgetSteps]++
}

// Withdraw takes one repeated send from the budget and tells whether it was
// there.
func (b *Budget) Withdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	slack := b.limits.Slack / float64(b.entries)
	allowed := budgetShare * (b.limits.Ratio*float64(sum(&w.requests)) + slack)
	if float64(sum(&w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.step%budgetSteps]++
	return true
}

// window returns a service's window, moved on to the present step.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	// The step that has just begun doesn't count as a whole one.
	length := max(b.limits.Window/(budgetSteps-1), time.Millisecond)
	step := int64(now.Sub(b.start) / length)
	for w.step < step {
		if step-w.step > budgetSteps {
			w.step = step - budgetSteps
		}
		w.step++
		w.requests[w.step%budgetSteps] = 0
		w.repeats[w.step%budgetSteps] = 0
	}
	return w
}

func sum(counts *[budgetSteps]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
