package forward

import (
	"fmt"
	"time"

	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

// ConnectionEnd is what is known of a connection at the end of a response that it delimits.
type ConnectionEnd struct {
	// RequestWritten is set if the whole request had been written without error.
	RequestWritten bool
	// State is the state of the connection, StateErr the error of reading it.
	State    tcpstate.State
	StateErr error
	// At is when the end arrived, which may be long before it was read; when it was read if
	// the system doesn't tell.
	At time.Time
	// Failure is the first error that another call than the reader's met; nil if none did.
	Failure error
}

// err returns why the end of the connection isn't the end of the response; nil if it is.
func (e ConnectionEnd) err() error {
	switch {
	case e.Failure != nil:
		return fmt.Errorf("%w: %w", ErrReset, e.Failure)
	case e.StateErr != nil:
		return fmt.Errorf("%w: %w", ErrReset, e.StateErr)
	// Where the system doesn't tell the state, the recorded failure has to do.
	case e.State != tcpstate.PeerClosed && e.State != tcpstate.Unknown:
		return fmt.Errorf("%w: connection is %s", ErrReset, e.State)
	case !e.RequestWritten:
		return ErrRequestUnwritten
	default:
		return nil
	}
}

// connectionEnd returns what is known of the connection after its end was read.
func (x *exchange) connectionEnd() ConnectionEnd {
	x.awaitWriter()
	end := ConnectionEnd{RequestWritten: x.written.Load()}
	end.State, end.StateErr = tcpstate.Of(x.conn.raw)
	var age time.Duration
	if end.StateErr == nil {
		age, end.StateErr = tcpstate.LastReceived(x.conn.raw)
	}
	end.At = time.Now().Add(-age)
	end.Failure = x.conn.recordedFailure()
	return end
}

// awaitWriter waits for the end of the request's writer, for writerSettleTime at most.
func (x *exchange) awaitWriter() {
	timer := time.NewTimer(writerSettleTime)
	defer timer.Stop()
	select {
	case <-x.writeEnded:
	case <-timer.C:
	}
}
