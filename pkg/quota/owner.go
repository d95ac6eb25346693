package quota

import (
	"sync"
	"time"
)

const (
	// awayAfter is how long an entry that was told a share may not report before its
	// share is kept back. Entries with a share report every renewInterval.
	awayAfter = time.Second
	// shareLifetime is how long a share is kept back, and may be used, at most.
	shareLifetime = 15 * time.Second
	// settleTime is how long an owner that has just begun issues settlingRate of the
	// rate, as its predecessor may issue credit to entries that don't know yet.
	settleTime   = time.Second
	settlingRate = 0.5
	// maxAhead limits the credit that entries hold ahead of need, all together, to what
	// the rate yields in this time.
	maxAhead = 100 * time.Millisecond
	// maxPartAhead is the part of what is left that is issued ahead of need at most.
	maxPartAhead = 0.25
	// ownedRetention is how long the state of an organisation is kept without requests.
	ownedRetention = 10 * time.Minute
)

// Request is an entry's request for credit.
type Request struct {
	Organisation string
	// Entry and Incarnation identify the asking process.
	Entry       string
	Incarnation int64
	// Cost is needed now; zero in a report without a request. Ahead is wanted in addition.
	Cost  float64
	Ahead float64
	// Demand is what callers recently asked of the entry, in units a second.
	Demand float64
	// Frequent is set if the entry has enough requests of the organisation for a share.
	Frequent bool
	// Share is the part of the rate that the entry may use without credit.
	Share float64
	// Returned is credit that wasn't used.
	Returned float64
	// Entries is the number of entries.
	Entries int
	// Substitute is set if the owner doesn't respond to the entry.
	Substitute bool
}

// Grant is the response to a Request.
type Grant struct {
	// Credit is at least the request's cost, or zero if it is refused.
	Credit float64
	// Share is the part of the rate that the entry may use while nobody issues credit.
	Share float64
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
	// Left is what is left of the bucket, PerSecond the rate at which it is refilled.
	Left      float64
	PerSecond float64
}

// Owner issues the credit of the organisations whose quotas an entry owns. It is safe
// for concurrent use. Use NewOwner.
type Owner struct {
	mu            sync.Mutex
	organisations map[string]*owned
}

// NewOwner returns an owner that has issued nothing.
func NewOwner() *Owner { return &Owner{organisations: make(map[string]*owned)} }

// Own begins to fill the bucket of an organisation, if it doesn't yet. It is called
// when an entry finds that it owns the quota, so that the first requests find credit.
func (o *Owner) Own(now time.Time, organisation string, limit Limit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at(now, organisation).refill(now, limit)
}

// Decide issues credit or refuses it.
func (o *Owner) Decide(now time.Time, limit Limit, r Request) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.at(now, r.Organisation)
	s.usedAt = now
	s.refill(now, limit)
	s.record(now, limit, r)
	s.bucket.add(min(r.Returned, s.held(limit)), limit.Capacity)
	share := s.share(now, limit, r)
	s.entries[r.Entry].told = share
	perSecond := limit.PerSecond * s.available(now, limit)
	grant := Grant{Share: share, PerSecond: perSecond}
	if s.bucket.take(r.Cost) {
		ahead := min(r.Ahead, s.held(limit)*share, maxPartAhead*s.bucket.units)
		s.bucket.take(ahead)
		grant.Credit = r.Cost + ahead
	} else {
		grant.RetryAfter = s.bucket.returnAfter(now, r.Cost, perSecond)
	}
	grant.Left = s.bucket.units
	return grant
}

// Count returns the number of organisations for which credit was issued lately.
func (o *Owner) Count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.organisations)
}

// Sweep removes the organisations without recent requests for which keep is false.
func (o *Owner) Sweep(now time.Time, keep func(organisation string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, s := range o.organisations {
		if now.Sub(s.usedAt) > ownedRetention && !keep(name) {
			delete(o.organisations, name)
		}
	}
}

func (o *Owner) at(now time.Time, organisation string) *owned {
	s := o.organisations[organisation]
	if s == nil {
		s = &owned{bucket: bucket{refilledAt: now}, since: now, usedAt: now, entries: make(map[string]*entryRecord)}
		o.organisations[organisation] = s
	}
	return s
}
