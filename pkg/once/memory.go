package once

import (
	"container/list"
	"slices"
	"time"
)

// state is the state of a key in memory.
type state uint8

const (
	// stateRecording: a WriteRecord is in flight.
	stateRecording state = iota
	// stateSettling: a ReadRecord is in flight.
	stateSettling
	// stateBound: the own record is confirmed and the call didn't run.
	stateBound
	// stateRunning: a Run is in flight.
	stateRunning
	// stateDone: the call ran and its answer is kept.
	stateDone
	// stateRan: the call ran and its answer isn't kept.
	stateRan
	// stateUnknown: the call may have run.
	stateUnknown
)

// entry is a key in memory.
type entry struct {
	key         Key
	fingerprint Fingerprint
	sequence    uint64
	state       state
	writes      int
	// waiters are the calls without a reply, the one that runs first.
	waiters  []Call
	answer   *Response
	finished time.Time
	// kept is the entry's place in a list of memory.
	kept *list.Element
}

// recorded tells whether the fingerprint is that of the stored record.
func (e *entry) recorded() bool {
	return e.state != stateRecording && e.state != stateSettling
}

func (e *entry) removeWaiter(requestID string) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w Call) bool { return w.RequestID == requestID })
}

// memory bounds the keys that aren't open, each list with the oldest in front.
type memory struct {
	machine *Machine
	// answers holds keys with kept answers.
	answers list.List
	bytes   int64
	// ran holds keys that ran or may have run, without answers.
	ran list.List
	// bound holds keys that are bound to this incarnation and didn't run.
	bound list.List
}

func (k *memory) keepAnswer(e *entry) {
	size := int64(len(e.answer.Body))
	if size > k.machine.config.MaxAnswerBytes {
		k.keepRan(e)
		return
	}
	k.bytes += size
	e.kept = k.answers.PushBack(e)
	for k.answers.Len() > k.machine.config.MaxAnswers || k.bytes > k.machine.config.MaxAnswersBytes {
		k.dropOldestAnswer()
	}
}

func (k *memory) dropOldestAnswer() {
	e := k.answers.Remove(k.answers.Front()).(*entry)
	k.bytes -= int64(len(e.answer.Body))
	k.keepRan(e)
}

func (k *memory) expireAnswers(now time.Time) {
	for k.answers.Len() > 0 {
		oldest := k.answers.Front().Value.(*entry)
		if now.Sub(oldest.finished) < k.machine.config.AnswerTTL {
			return
		}
		k.dropOldestAnswer()
	}
}

// keepRan keeps a key that ran or may have run. When the oldest is dropped, its
// sequence number stands for it.
func (k *memory) keepRan(e *entry) {
	if e.state == stateDone {
		e.state = stateRan
	}
	e.answer = nil
	e.kept = k.ran.PushBack(e)
	if k.ran.Len() <= k.machine.config.MaxKeys {
		return
	}
	oldest := k.ran.Remove(k.ran.Front()).(*entry)
	k.machine.forgotten = max(k.machine.forgotten, oldest.sequence)
	delete(k.machine.entries, oldest.key)
}

// keepBound keeps a key that didn't run. Dropping it loses nothing but time.
func (k *memory) keepBound(e *entry) {
	e.kept = k.bound.PushBack(e)
	if k.bound.Len() <= k.machine.config.MaxKeys {
		return
	}
	oldest := k.bound.Remove(k.bound.Front()).(*entry)
	delete(k.machine.entries, oldest.key)
}

// forget takes a bound key out of its list when it opens again.
func (k *memory) forget(e *entry) {
	k.bound.Remove(e.kept)
	e.kept = nil
}
