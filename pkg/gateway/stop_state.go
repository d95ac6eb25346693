package gateway

import (
	"errors"
	"sync/atomic"
	"time"
)

// errDrainEnded means that a stopping entry has ended a request, as its time to drain was
// over.
var errDrainEnded = errors.New("time to drain is over")

// stopState is how far an entry has got in stopping. Its zero value is an entry that serves.
// It is safe for concurrent use.
type stopState struct {
	// beganAt is when the entry began to stop; nil before.
	beganAt atomic.Pointer[time.Time]
}

// begin records that the entry has begun to stop.
func (s *stopState) begin(now time.Time) { s.beganAt.Store(&now) }

// stopTimes relate a request to the stop of its entry. Values are neverConfirmed if there
// are none.
type stopTimes struct {
	// since is the time since the entry began to stop.
	since time.Duration
	// requestAge is the age that the request had then.
	requestAge time.Duration
}

// wasInFlight reports whether the entry began to stop while the request was in flight.
func (t stopTimes) wasInFlight() bool { return t.requestAge >= 0 }

// timesOf returns the times of a request that arrived at a time and ends now.
func (s *stopState) timesOf(arrived, now time.Time) stopTimes {
	began := s.beganAt.Load()
	if began == nil {
		return stopTimes{neverConfirmed, neverConfirmed}
	}
	times := stopTimes{since: now.Sub(*began), requestAge: neverConfirmed}
	if !arrived.After(*began) {
		times.requestAge = began.Sub(arrived)
	}
	return times
}
