package ratelimit

import "time"

const (
	// minPerSecond is the rate of requests to a server that names a lower limit, or
	// zero. Without requests nobody would know when the limit ends.
	minPerSecond = 0.2
	// minBurst and maxBurst limit the number of tokens that can be taken at once
	// after a pause.
	minBurst = 1
	maxBurst = 2
	// maxReturnDelay limits the times at which refused requests are told to return.
	// A server whose limit has ended isn't used by a host for as long.
	maxReturnDelay = 4 * time.Second
)

// Bucket is a token bucket for the requests to one backend server. The zero value
// is empty. All methods take the limit in force; without a limit, every request gets
// a token.
type Bucket struct {
	// tokens are left at refilledAt.
	tokens     float64
	refilledAt time.Time
	// nextReturn is when the next refused request is told to return.
	nextReturn time.Time
}

// Take takes a token and reports whether there was one.
func (b *Bucket) Take(now time.Time, limit Limit) bool {
	b.refill(now, limit)
	if !limit.Named {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time until a token is left for a request that has others ahead
// of it.
func (b *Bucket) Wait(now time.Time, limit Limit, ahead int) time.Duration {
	b.refill(now, limit)
	if !limit.Named {
		return 0
	}
	missing := float64(ahead) + 1 - b.tokens
	return max(intervals(missing, limit), 0)
}

// ReturnAfter returns the retry-after time of a refused request. Consecutive times
// are one token apart, so that requests that were refused together don't return
// together.
func (b *Bucket) ReturnAfter(now time.Time, limit Limit) time.Duration {
	next := b.nextReturn
	if next.Before(now) || next.Sub(now) > maxReturnDelay {
		next = now
	}
	b.nextReturn = next.Add(intervals(1, limit))
	return b.nextReturn.Sub(now)
}

// refill adds the tokens since the last call.
func (b *Bucket) refill(now time.Time, limit Limit) {
	elapsed := now.Sub(b.refilledAt)
	isNew := b.refilledAt.IsZero()
	b.refilledAt = now
	if !limit.Named || isNew {
		b.tokens = 0
		return
	}
	rate := limit.Rate()
	burst := min(max(rate, minBurst), maxBurst)
	b.tokens = min(b.tokens+rate*max(elapsed.Seconds(), 0), burst)
}

// Rate is the number of tokens per second. It is more than zero even if the server
// takes no requests.
func (l Limit) Rate() float64 { return max(l.PerSecond, minPerSecond) }

// Scaled returns the limit for a part of the requests.
func (l Limit) Scaled(share float64) Limit {
	l.PerSecond *= share
	return l
}

// intervals is the time in which a number of tokens become available.
func intervals(count float64, limit Limit) time.Duration {
	return time.Duration(count / limit.Rate() * float64(time.Second))
}
