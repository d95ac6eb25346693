package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Event is something that happened to the attempt that is under way.
type Event interface{ event() }

// Accepted tells that the agent took the request in.
type Accepted struct {
	Incarnation string
}

// Refused is the agent's refusal.
type Refused struct {
	Refusal wire.Refusal
}

// Stage is how far a request got on its way to an agent.
type Stage uint8

// The stages. NotSent means that no byte of the request left this host.
const (
	NotSent Stage = iota
	Sent
	Streaming
)

// Lost tells that the connection or stream broke without a final frame.
type Lost struct {
	Stage Stage
	// Received is the number of bytes of the answer received in order.
	Received int64
	// Forwarded tells that the caller has got the head or a part of the answer.
	Forwarded bool
}

// CorruptResponse tells that the answer ended with a length or checksum that doesn't
// match its bytes.
type CorruptResponse struct {
	PassedOn bool
}

// Completed tells that the whole answer arrived and was checked.
type Completed struct{}

// Expired tells that the request's deadline has passed, or Cancelled that the
// caller went away, with the stage that the request had reached.
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

// Action is what to do next.
type Action interface{ action() }

// Send sends the request to an agent.
type Send struct {
	Target Target
	// After is how long to wait before.
	After time.Duration
}

// Resume asks an agent's same incarnation for the rest of the answer.
type Resume struct {
	Target      Target
	Incarnation string
	Offset      int64
	After       time.Duration
}

// Wait waits for the next event of the attempt under way.
type Wait struct{}

// Done ends the request with its whole answer.
type Done struct{}

// Fail ends the request with a refusal. If a part of the answer was passed on,
// the answer ends in an explicit error.
type Fail struct {
	Refusal wire.Refusal
}

func (Send) action()   {}
func (Resume) action() {}
func (Wait) action()   {}
func (Done) action()   {}
func (Fail) action()   {}
