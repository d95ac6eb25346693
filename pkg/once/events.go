package once

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Response is the whole answer of a call that ran.
type Response struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Event is what a Machine learns: Call, Cancel, RecordCreated, RecordExists,
// RecordFailed, RecordRead, RunFinished or Tick.
type Event interface{ isEvent() }

// Call is a request with an idempotency key.
type Call struct {
	Key         Key
	Fingerprint Fingerprint
	// RequestID is unique among the calls that wait.
	RequestID string
	// Deadline is when the answer is due; the zero time means none.
	Deadline time.Time
}

// Cancel tells that a waiting call's caller went away. No Reply follows.
type Cancel struct {
	Key       Key
	RequestID string
}

// RecordCreated reports that a WriteRecord took effect.
type RecordCreated struct{ Key Key }

// RecordExists reports that a WriteRecord met an earlier record.
type RecordExists struct {
	Key   Key
	Owner Record
}

// RecordFailed reports that a WriteRecord failed. Uncertain tells that it may
// still have taken or take effect.
type RecordFailed struct {
	Key       Key
	Uncertain bool
}

// RecordRead reports the result of a ReadRecord.
type RecordRead struct {
	Key Key
	// Found tells whether a record exists; Owner is it.
	Found bool
	Owner Record
	// Failed tells that the read failed.
	Failed bool
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	// RunUnknown means that the work may have run and its answer is lost.
	RunUnknown RunOutcome = iota
	// RunNotRun means that the work surely did not and will not run.
	RunNotRun
	// RunCompleted means that the whole answer arrived.
	RunCompleted
)

// RunFinished reports the end of a Run.
type RunFinished struct {
	Key     Key
	Outcome RunOutcome
	// Response is set with RunCompleted.
	Response Response
	// Refusal holds the reason, detail and retry time with the other outcomes.
	Refusal wire.Refusal
}

// Tick lets calls whose deadline has passed leave and old keys be dropped.
type Tick struct{}

func (Call) isEvent()          {}
func (Cancel) isEvent()        {}
func (RecordCreated) isEvent() {}
func (RecordExists) isEvent()  {}
func (RecordFailed) isEvent()  {}
func (RecordRead) isEvent()    {}
func (RunFinished) isEvent()   {}
func (Tick) isEvent()          {}

// Action is what a Machine orders: WriteRecord, ReadRecord, Run, Queued or
// Reply.
type Action interface{ isAction() }

// WriteRecord orders the creation of a record if none exists. Exactly one of
// RecordCreated, RecordExists and RecordFailed answers it.
type WriteRecord struct {
	Key    Key
	Record Record
}

// ReadRecord orders a read of a record. RecordRead answers it.
type ReadRecord struct{ Key Key }

// Run orders the work of a call. Exactly one RunFinished answers it.
type Run struct {
	Key       Key
	RequestID string
}

// Queued tells that a call waits for the run of an earlier one.
type Queued struct {
	Key       Key
	RequestID string
}

// Reply is the final answer to a call: either Answer or Refusal is set.
type Reply struct {
	RequestID string
	Response  *Response
	Refusal   *wire.Refusal
}

func (WriteRecord) isAction() {}
func (ReadRecord) isAction()  {}
func (Run) isAction()         {}
func (Queued) isAction()      {}
func (Reply) isAction()       {}
