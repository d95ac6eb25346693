package once

import (
	"container/list"
	"time"
)

// retention limits the keys that aren't open. Each list has the oldest key in front.
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
