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
