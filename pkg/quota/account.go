package quota

import (
	"sync"
	"time"
)

const (
	// creditLifetime is how long credit may be used.
	creditLifetime = time.Second
	// renewInterval is how often an entry with a share reports.
	renewInterval = 500 * time.Millisecond
	// idleInterval is how often an entry without a share reports.
	idleInterval = 10 * time.Second
	// shareMargin is how much earlier than its owner an entry ends the use of a share.
	shareMargin = time.Second
	// aloneBurst is what an entry may use at once without credit, as the time in
	// which its share yields it.
	aloneBurst = 500 * time.Millisecond
	// frequentPerSecond is the rate of requests from which on an entry has a share.
	frequentPerSecond = 1
	// maxRefusedTime is how long an entry refuses by itself after a refusal.
	maxRefusedTime = 100 * time.Millisecond
	// aloneReturnDelay is the retry-after time when nobody issues credit.
	aloneReturnDelay = 500 * time.Millisecond
)

// Outcome is the result of an attempt to charge a request.
type Outcome uint8

// The outcomes.
const (
	// Charged: the request may run.
	Charged Outcome = iota
	// NeedsCredit: the owner decides.
	NeedsCredit
	// Refused: the request is over the quota.
	Refused
)

// Account is one entry's credit of one organisation. It is safe for concurrent use.
// The zero value has none.
type Account struct {
	mu     sync.Mutex
	credit float64
	// creditEnds is when the credit can't be used any more.
	creditEnds time.Time
	// returned is credit that wasn't used and that the owner doesn't know of.
	returned float64
	demand   rateEstimator
	requests rateEstimator
	share    float64
	// respondedAt is when the owner, or its substitute, last responded.
	respondedAt time.Time
	// reportedAt is when the entry last reported without a request.
	reportedAt time.Time
	// grant is the last response.
	grant Grant
	// refusedCost and above is refused until refusedUntil.
	refusedCost  float64
	refusedUntil time.Time
	// aheadAskedAt is when credit ahead of need was last requested, zero if not since
	// the last response.
	aheadAskedAt time.Time
	alone        bucket
	usedAt       time.Time
}

// Take charges a request, if there is credit.
func (a *Account) Take(now time.Time, cost float64) (Outcome, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usedAt = now
	a.demand.add(now, cost)
	a.requests.add(now, 1)
	a.expire(now)
	if a.credit >= cost {
		a.credit -= cost
		return Charged, 0
	}
	if now.Before(a.refusedUntil) && cost >= a.refusedCost {
		rate := max(a.share, 0.01) * a.grant.PerSecond
		return Refused, max(a.alone.returnAfter(now, cost, rate), a.refusedUntil.Sub(now))
	}
	return NeedsCredit, 0
}

// Request returns the request for credit for a cost; zero reports only.
func (a *Account) Request(now time.Time, cost float64) Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	r := Request{
		Cost:     cost,
		Demand:   a.demand.rate(now),
		Frequent: a.requests.rate(now) >= frequentPerSecond,
		Share:    a.shareAt(now),
		Returned: a.returned,
	}
	if cost == 0 {
		a.reportedAt = now
	}
	if cost > 0 && now.Sub(a.aheadAskedAt) > creditLifetime {
		r.Ahead = r.Demand * creditLifetime.Seconds()
		a.aheadAskedAt = now
	}
	a.returned = 0
	return r
}

// Apply applies the response to the request for a cost. It returns Charged or Refused.
func (a *Account) Apply(now time.Time, cost float64, g Grant) (Outcome, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.respondedAt, a.share, a.grant = now, g.Share, g
	a.aheadAskedAt = time.Time{}
	if g.Credit < cost {
		a.refusedCost = cost
		a.refusedUntil = now.Add(min(g.RetryAfter, maxRefusedTime))
		return Refused, g.RetryAfter
	}
	a.deposit(now, g.Credit-cost)
	return Charged, 0
}

// TakeAlone charges a request when nobody issues credit.
func (a *Account) TakeAlone(now time.Time, limit Limit, cost float64) (Outcome, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	perSecond := a.shareAt(now) * limit.PerSecond
	if perSecond <= 0 {
		return Refused, aloneReturnDelay
	}
	from := a.alone.refilledAt
	if from.Before(a.respondedAt) {
		from, a.alone.units = a.respondedAt, 0
	}
	a.alone.refilledAt = now
	a.alone.add(perSecond*now.Sub(from).Seconds(), max(perSecond*aloneBurst.Seconds(), min(cost, perSecond)))
	if a.alone.take(cost) {
		return Charged, 0
	}
	return Refused, max(a.alone.returnAfter(now, cost, perSecond), aloneReturnDelay)
}

// GiveBack returns the charge of a request that has not run.
func (a *Account) GiveBack(now time.Time, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.deposit(now, cost)
	a.refusedUntil = time.Time{}
}

// IsReportDue reports whether the owner has to be told that this entry is there: often
// while it has a share, otherwise to keep the connection for the next request.
func (a *Account) IsReportDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	interval := idleInterval
	if a.shareAt(now) > 0 {
		interval = renewInterval
	}
	return now.Sub(a.respondedAt) >= interval && now.Sub(a.reportedAt) >= renewInterval
}

// State is what an account holds, for logs and dumps.
type State struct {
	Credit float64
	// Share is the part of the rate that the entry may use without credit.
	Share float64
	// Left and PerSecond are what the owner last reported, Age is the time since then;
	// it is negative if it never did.
	Left      float64
	PerSecond float64
	Age       time.Duration
	// Demand is what callers ask, in units a second.
	Demand float64
}

// State returns what the account holds.
func (a *Account) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	s := State{Credit: a.credit, Share: a.shareAt(now), Left: a.grant.Left, PerSecond: a.grant.PerSecond, Age: -time.Millisecond, Demand: a.demand.rate(now)}
	if !a.respondedAt.IsZero() {
		s.Age = now.Sub(a.respondedAt)
	}
	return s
}

// UsedAt returns when a request was last charged or refused.
func (a *Account) UsedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usedAt
}

func (a *Account) shareAt(now time.Time) float64 {
	if now.Sub(a.respondedAt) > shareLifetime-shareMargin {
		return 0
	}
	return a.share
}

func (a *Account) deposit(now time.Time, units float64) {
	if units > 0 {
		a.credit += units
		a.creditEnds = now.Add(creditLifetime)
	}
}

func (a *Account) expire(now time.Time) {
	if a.credit > 0 && now.After(a.creditEnds) {
		a.returned += a.credit
		a.credit = 0
	}
}
