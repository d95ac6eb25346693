package once

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Response is the complete response to a call that ran.
type Response struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Event is an input of a Machine: Call, Cancel, RecordCreated, RecordExists,
// RecordFailed, RecordRead, RunFinished or Tick.
type Event interface{ isEvent() }

// Call is a request with an idempotency key.
type Call struct {
	Key         Key
	Fingerprint Fingerprint
	// RequestID is unique among the waiting calls.
	RequestID string
	// Deadline is when the response is due; the zero time means none.
	Deadline time.Time
}

// Cancel reports that the caller of a waiting call disconnected. No Reply follows.
type Cancel struct {
	Key       Key
	RequestID string
}

// RecordCreated reports that a WriteRecord took effect.
type RecordCreated struct{ Key Key }

// RecordExists reports that a WriteRecord failed because the record already exists.
type RecordExists struct {
	Key   Key
	Owner Record
}

// RecordFailed reports that a WriteRecord failed. Uncertain is set if the write may
// have taken effect or may still do so.
type RecordFailed struct {
	Key       Key
	Uncertain bool
}

// RecordRead reports the result of a ReadRecord.
type RecordRead struct {
	Key Key
	// Found is set if a record exists; Owner is its content.
	Found bool
	Owner Record
	// Failed is set if the read failed.
	Failed bool
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// The run outcomes.
const (
	// RunUnknown means that the call may have run and its response is lost.
	RunUnknown RunOutcome = iota
	// RunNotRun means that the call certainly did not and will not run.
	RunNotRun
	// RunCompleted means that the complete response arrived.
	RunCompleted
)

// RunFinished reports the end of a Run.
type RunFinished struct {
	Key     Key
	Outcome RunOutcome
	// Response is set with RunCompleted.
	Response Response
	// Refusal contains the reason, detail and retry-after time of the other outcomes.
	Refusal wire.Refusal
}

// Tick lets the Machine refuse calls whose deadline has passed and expire responses.
type Tick struct{}

func (Call) isEvent()          {}
func (Cancel) isEvent()        {}
func (RecordCreated) isEvent() {}
func (RecordExists) isEvent()  {}
func (RecordFailed) isEvent()  {}
func (RecordRead) isEvent()    {}
func (RunFinished) isEvent()   {}
func (Tick) isEvent()          {}

// Action is an output of a Machine: WriteRecord, ReadRecord, Run, Queued or Reply.
type Action interface{ isAction() }

// WriteRecord requests the creation of a record if none exists. Exactly one
// RecordCreated, RecordExists or RecordFailed event must follow.
type WriteRecord struct {
	Key    Key
	Record Record
}

// ReadRecord requests a read of a record. A RecordRead event must follow.
type ReadRecord struct{ Key Key }

// Run requests the execution of a call. Exactly one RunFinished event must follow.
type Run struct {
	Key       Key
	RequestID string
}

// Queued reports that a call waits for the run of an earlier one.
type Queued struct {
	Key       Key
	RequestID string
}

// Reply is the final result of a call: either Response or Refusal is set.
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
