package forward

import "teaselgauge.example/teaselgauge/pkg/tcpstate"

// ConnectionEnd is what is known of a connection at the end of a response that it delimits.
type ConnectionEnd struct {
	// RequestWritten is set if the whole request had been written without error.
	RequestWritten bool
	// State is the state of the connection, Err the error of reading it.
	State tcpstate.State
	Err   error
}

// connectionEnd returns what is known of the connection now.
func (x *exchange) connectionEnd() ConnectionEnd {
	end := ConnectionEnd{RequestWritten: x.written.Load()}
	end.State, end.Err = tcpstate.Of(x.conn.raw)
	return end
}
