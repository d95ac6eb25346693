package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Event is an input of an Attempt.
type Event interface{ event() }

// Accepted reports that the agent accepted the request.
type Accepted struct {
	Incarnation string
}

// Refused reports that the agent refused the request, or ended its response with a
// refusal.
type Refused struct {
	Refusal wire.Refusal
	// Forwarded is set if the caller has received the head or part of the response.
	Forwarded bool
}

// Stage is how far a request has got on its way to an agent.
type Stage uint8

// The stages. NotSent means that no byte of the request left this host.
const (
	NotSent Stage = iota
	Sent
	Streaming
)

// Lost reports that the connection or stream broke before a final frame.
type Lost struct {
	Stage Stage
	// Received is the number of contiguous response bytes received.
	Received int64
	// Forwarded is set if the caller has received the head or part of the response.
	Forwarded bool
}

// CorruptResponse reports that the response ended with a length or checksum that
// doesn't match its bytes.
type CorruptResponse struct {
	Forwarded bool
}

// Completed reports that the complete response arrived and was verified.
type Completed struct{}

// Expired reports that the request's deadline has passed, Cancelled that the caller
// disconnected. Stage is the stage that the request had reached.
type (
	Expired   struct{ Stage Stage }
	Cancelled struct{ Stage Stage }
)

func (Accepted) event()        {}
func (Refused) event()         {}
func (Lost) event()            {}
func (CorruptResponse) event() {}
func (Completed) event()       {}
func (Expired) event()         {}
func (Cancelled) event()       {}

// Action is the next step of a request.
type Action interface{ action() }

// Send sends the request to an agent.
type Send struct {
	Target Target
	// After is the delay before the send.
	After time.Duration
}

// Resume requests the rest of the response from the same incarnation of an agent.
type Resume struct {
	Target      Target
	Incarnation string
	Offset      int64
	After       time.Duration
}

// Wait waits for the next event of the current attempt.
type Wait struct{}

// Done ends the request after its complete response.
type Done struct{}

// Fail ends the request with a refusal. If part of the response was forwarded, the
// response ends with an explicit error.
type Fail struct {
	Refusal wire.Refusal
}

func (Send) action()   {}
func (Resume) action() {}
func (Wait) action()   {}
func (Done) action()   {}
func (Fail) action()   {}
