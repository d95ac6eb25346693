package tcpstate

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrNotTCP means that a connection has no socket that the kernel could be asked about.
var ErrNotTCP = errors.New("connection has no socket")

// State is the state of a connection.
type State uint8

// The states.
const (
	// Unknown: this system doesn't tell.
	Unknown State = iota
	// Open: the peer may still send.
	Open
	// PeerClosed: the peer has ended its sending side in order, and nothing failed since.
	PeerClosed
	// Closed: the connection was reset, has timed out, or was closed by this side.
	Closed
)

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case PeerClosed:
		return "peer-closed"
	case Closed:
		return "closed"
	default:
		return "unknown"
	}
}

// Below returns the TCP connection below a connection that wraps one; nil if there is none.
func Below(conn any) *net.TCPConn {
	for {
		switch layer := conn.(type) {
		case *net.TCPConn:
			return layer
		case interface{ NetConn() net.Conn }:
			conn = layer.NetConn()
		default:
			return nil
		}
	}
}

// control calls a function with the socket of a connection. The function's errors are
// returned as they are.
func control(conn net.Conn, call func(fd int) error) error {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return ErrNotTCP
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return fmt.Errorf("socket of the connection: %w", err)
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = call(int(fd)) }); err != nil {
		return fmt.Errorf("socket of the connection: %w", err)
	}
	return failure
}
