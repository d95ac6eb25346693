package tcpstate

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The states of the kernel that are told apart, from include/net/tcp_states.h.
const (
	kernelEstablished = unix.BPF_TCP_ESTABLISHED
	kernelCloseWait   = unix.BPF_TCP_CLOSE_WAIT
	// This side has closed its sending side, and the peer hasn't acknowledged all.
	kernelFinWait1 = unix.BPF_TCP_FIN_WAIT1
	kernelLastAck  = unix.BPF_TCP_LAST_ACK
	kernelClosing  = unix.BPF_TCP_CLOSING
)

// Of returns the state of a connection. Errors are ErrNotTCP and those of the system call.
func Of(conn net.Conn) (State, error) {
	state, err := kernelState(conn)
	if err != nil {
		return Closed, err
	}
	return stateOf(state), nil
}

// IsUndelivered reports whether the peer hasn't acknowledged all that was sent on a connection
// whose sending side was closed. Errors are those of Of.
func IsUndelivered(conn net.Conn) (bool, error) {
	state, err := kernelState(conn)
	return err == nil && (state == kernelFinWait1 || state == kernelLastAck || state == kernelClosing), err
}

// LastReceived returns how long ago the last segment of the peer arrived, to the millisecond.
// Its end is the last one of a peer that has closed. Errors are those of Of.
func LastReceived(conn net.Conn) (time.Duration, error) {
	info, err := kernelInfo(conn)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}

// IsAcknowledged reports whether the peer has acknowledged all that was written to a
// connection. Errors are those of Of.
func IsAcknowledged(conn net.Conn) (bool, error) {
	info, err := kernelInfo(conn)
	return err == nil && info.Unacked == 0 && info.Notsent_bytes == 0, err
}

func kernelState(conn net.Conn) (uint8, error) {
	info, err := kernelInfo(conn)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

func kernelInfo(conn net.Conn) (info *unix.TCPInfo, err error) {
	err = control(conn, func(fd int) error {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return fmt.Errorf("state of the connection: %w", err)
		}
		return nil
	})
	return info, err
}

// IsQuiet reports whether a connection is open and has no bytes to read in the kernel's
// buffer. It doesn't wait for a read in progress. Errors are ErrNotTCP and those of the
// system calls; a pending error of the connection is left to its reader.
func IsQuiet(conn net.Conn) (bool, error) {
	unread := 0
	err := control(conn, func(fd int) (err error) {
		unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	if err != nil {
		return false, fmt.Errorf("unread bytes of the connection: %w", err)
	}
	// In this order, as a connection that is open now was open when it had no bytes.
	state, err := Of(conn)
	return unread == 0 && state == Open, err
}

func stateOf(kernel uint8) State {
	switch kernel {
	case kernelEstablished:
		return Open
	case kernelCloseWait:
		return PeerClosed
	default:
		return Closed
	}
}
