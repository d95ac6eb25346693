package quota

import "time"

// maxReturnDelay limits the times at which refused requests are told to return.
const maxReturnDelay = 4 * time.Second

// bucket holds the units that may be issued. The zero value is empty.
type bucket struct {
	units      float64
	refilledAt time.Time
	// nextReturn is when the next refused request is told to return.
	nextReturn time.Time
}

// add adds units up to the capacity.
func (b *bucket) add(units, capacity float64) {
	b.units = min(max(b.units+units, 0), capacity)
}

// take takes units and reports whether there were as many.
func (b *bucket) take(units float64) bool {
	if b.units < units {
		return false
	}
	b.units -= units
	return true
}

// returnAfter returns the retry-after time of a refused request. Requests that are
// refused one after the other are told to return one after the other, each when the
// units for it are there.
func (b *bucket) returnAfter(now time.Time, cost, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxReturnDelay
	}
	earliest := now.Add(seconds(max(cost-b.units, 0) / perSecond))
	next := b.nextReturn
	if next.Before(earliest) || next.Sub(now) > maxReturnDelay {
		next = earliest
	}
	b.nextReturn = next.Add(seconds(cost / perSecond))
	return min(next.Sub(now), maxReturnDelay)
}

// seconds returns a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
