package ratelimit

import "time"

// Limit is the rate limit that a response names. The zero value names none.
type Limit struct {
	Named bool
	// PerSecond is the number of requests a second, from all hosts together.
	PerSecond float64
}

// PerSecond returns a named limit.
func PerSecond(rate float64) Limit { return Limit{Named: true, PerSecond: rate} }

// isBelow reports whether the limit allows fewer requests than another one.
func (l Limit) isBelow(other Limit) bool {
	if !l.Named || !other.Named {
		return l.Named
	}
	return l.PerSecond < other.PerSecond
}

// Tighter returns the limit that allows fewer requests.
func Tighter(a, b Limit) Limit {
	if b.isBelow(a) {
		return b
	}
	return a
}

// Observation is what one response names.
type Observation struct {
	Limit Limit
	// SentAt is when the request was sent, or a time before, ReceivedAt when the
	// response was received, or a time after.
	SentAt     time.Time
	ReceivedAt time.Time
}

// Record is the limit of one incarnation of a backend server. The zero value is
// that of a server that has named none.
type Record struct {
	limit Limit
	// namedAt is when the limit was last named.
	namedAt time.Time
	// endedAsOf is when the last request was sent whose response ended a limit.
	endedAsOf time.Time
	// confirmedAt is when the last response arrived.
	confirmedAt time.Time
}

// Limit returns the limit in force.
func (r *Record) Limit() Limit { return r.limit }

// NamedAt returns when the limit was last named; zero if it never was.
func (r *Record) NamedAt() time.Time { return r.namedAt }

// ConfirmedAt returns when the last response arrived; zero if there was none.
func (r *Record) ConfirmedAt() time.Time { return r.confirmedAt }

// Observe applies what a response names.
func (r *Record) Observe(o Observation) {
	if o.ReceivedAt.After(r.confirmedAt) {
		r.confirmedAt = o.ReceivedAt
	}
	if o.Limit.Named {
		r.observeNamed(o)
	} else {
		r.observeNone(o)
	}
}

func (r *Record) observeNamed(o Observation) {
	if o.ReceivedAt.Before(r.endedAsOf) {
		// A request that was sent later has found that the limit has ended.
		return
	}
	if r.limit.Named && o.ReceivedAt.Before(r.namedAt) {
		// What another host knows is older.
		return
	}
	overtaken := o.SentAt.Before(r.namedAt)
	if r.limit.isBelow(o.Limit) && overtaken {
		return
	}
	r.limit = o.Limit
	if o.ReceivedAt.After(r.namedAt) {
		r.namedAt = o.ReceivedAt
	}
}

func (r *Record) observeNone(o Observation) {
	if o.SentAt.Before(r.namedAt) {
		return
	}
	r.limit = Limit{}
	if o.SentAt.After(r.endedAsOf) {
		r.endedAsOf = o.SentAt
	}
}
