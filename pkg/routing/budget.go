package routing

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// RetryPercent is how many retries are allowed for 100 requests.
	RetryPercent = 10
	// MinRetriesPerSecond is allowed beside the share, so that an entry with
	// little traffic can retry.
	MinRetriesPerSecond = 1
	// maxSavedRetries bounds the share that a quiet time saves up.
	maxSavedRetries = 20

	retryCost = 100
)

// RetryBudget bounds the retries of an entry to a share of its requests, so that
// retries can't multiply an overload. It is safe for concurrent use.
type RetryBudget struct {
	// saved is the unused share, in percent of a retry.
	saved   atomic.Int64
	minimum *rate.Limiter
}

// NewRetryBudget returns a budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{minimum: rate.NewLimiter(MinRetriesPerSecond, MinRetriesPerSecond)}
}

// Deposit notes one request.
func (b *RetryBudget) Deposit() {
	if b.saved.Add(RetryPercent) > maxSavedRetries*retryCost {
		b.saved.Add(-RetryPercent)
	}
}

// Withdraw takes one retry from the budget and tells whether it was there.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	if b.saved.Add(-retryCost) >= 0 {
		return true
	}
	b.saved.Add(retryCost)
	return b.minimum.AllowN(now, 1)
}
