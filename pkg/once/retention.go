package once

import (
	"container/list"
	"slices"
	"time"
)

// state is the state of a key.
type state uint8

const (
	// stateRecording: a WriteRecord is in flight.
	stateRecording state = iota
	// stateReading: a ReadRecord is in flight.
	stateReading
	// stateBound: this incarnation's record is confirmed and the call didn't run.
	stateBound
	// stateRunning: a Run is in flight.
	stateRunning
	// stateDone: the call ran and its response is kept.
	stateDone
	// stateRan: the call ran and its response isn't kept.
	stateRan
	// stateUnknown: the call may have run.
	stateUnknown
)

// trackedKey is the state of one key at this incarnation.
type trackedKey struct {
	key         Key
	fingerprint Fingerprint
	sequence    uint64
	state       state
	writes      int
	// waiters are the calls without a reply; the first one runs.
	waiters  []Call
	response *Response
	finished time.Time
	// element is the key's element in a list of retention.
	element *list.Element
}

// recorded reports whether fingerprint is that of the stored record.
func (e *trackedKey) recorded() bool {
	return e.state != stateRecording && e.state != stateReading
}

func (e *trackedKey) removeWaiter(requestID string) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w Call) bool { return w.RequestID == requestID })
}

// retention bounds the keys that aren't open. Each list has the oldest key in front.
type retention struct {
	machine *Machine
	// responses holds keys with kept responses.
	responses list.List
	bytes     int64
	// ran holds keys without a response that ran or may have run.
	ran list.List
	// bound holds keys that are bound to this incarnation and didn't run.
	bound list.List
}

func (r *retention) keepResponse(e *trackedKey) {
	size := int64(len(e.response.Body))
	if size > r.machine.config.MaxResponseBytes {
		r.keepRan(e)
		return
	}
	r.bytes += size
	e.element = r.responses.PushBack(e)
	for r.responses.Len() > r.machine.config.MaxResponses || r.bytes > r.machine.config.MaxResponsesBytes {
		r.evictOldestResponse()
	}
}

func (r *retention) evictOldestResponse() {
	e := r.responses.Remove(r.responses.Front()).(*trackedKey)
	r.bytes -= int64(len(e.response.Body))
	r.keepRan(e)
}

func (r *retention) expireResponses(now time.Time) {
	for r.responses.Len() > 0 {
		oldest := r.responses.Front().Value.(*trackedKey)
		if now.Sub(oldest.finished) < r.machine.config.ResponseTTL {
			return
		}
		r.evictOldestResponse()
	}
}

// keepRan keeps a key that ran or may have run. If this evicts the oldest one, the
// evicted sequence number covers it.
func (r *retention) keepRan(e *trackedKey) {
	if e.state == stateDone {
		e.state = stateRan
	}
	e.response = nil
	e.element = r.ran.PushBack(e)
	if r.ran.Len() <= r.machine.config.MaxKeys {
		return
	}
	oldest := r.ran.Remove(r.ran.Front()).(*trackedKey)
	r.machine.evictedSequence = max(r.machine.evictedSequence, oldest.sequence)
	delete(r.machine.keys, oldest.key)
}

// keepBound keeps a key that didn't run. If it is evicted, the next call only has to
// confirm its record again.
func (r *retention) keepBound(e *trackedKey) {
	e.element = r.bound.PushBack(e)
	if r.bound.Len() <= r.machine.config.MaxKeys {
		return
	}
	oldest := r.bound.Remove(r.bound.Front()).(*trackedKey)
	delete(r.machine.keys, oldest.key)
}

// removeBound removes a bound key from its list when it opens again.
func (r *retention) removeBound(e *trackedKey) {
	r.bound.Remove(e.element)
	e.element = nil
}
