package routing

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RetryPercent is the number of retries allowed for each 100 requests.
	RetryPercent = 10
	// MinRetriesPerSecond is allowed in addition, so that an entry with little
	// traffic can retry.
	MinRetriesPerSecond = 1
	// maxSavedRetries limits the retries that accumulate while few are used.
	maxSavedRetries = 20

	// retryCost is the cost of one retry. A request adds RetryPercent to the budget.
	retryCost = 100
)

// RetryBudget limits the retries of an entry to a share of its requests, so that
// retries can't amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	// saved is the unused share, in units of 1/retryCost of a retry.
	saved   atomic.Int64
	minRate *rate.Limiter
}

// NewRetryBudget returns a budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{minRate: rate.NewLimiter(MinRetriesPerSecond, MinRetriesPerSecond)}
}

// Deposit counts one request.
func (b *RetryBudget) Deposit() {
	if b.saved.Add(RetryPercent) > maxSavedRetries*retryCost {
		b.saved.Add(-RetryPercent)
	}
}

// Withdraw takes one retry from the budget and reports whether it was available.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	if b.saved.Add(-retryCost) >= 0 {
		return true
	}
	b.saved.Add(retryCost)
	return b.minRate.AllowN(now, 1)
}
