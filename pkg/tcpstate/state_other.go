//go:build !linux

package tcpstate

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// Of returns Unknown.
func Of(net.Conn) (State, error) { return Unknown, nil }

// LastReceived returns zero.
func LastReceived(net.Conn) (time.Duration, error) { return 0, nil }

// IsUndelivered returns false.
func IsUndelivered(net.Conn) (bool, error) { return false, nil }

// IsAcknowledged returns false.
func IsAcknowledged(net.Conn) (bool, error) { return false, nil }

// IsQuiet reports whether a connection is open and has no bytes to read in the kernel's
// buffer. It doesn't wait for a read in progress. Errors are ErrNotTCP, those of the system
// calls, and the pending error of the connection, which its reader doesn't see then.
func IsQuiet(conn net.Conn) (bool, error) {
	quiet := false
	err := control(conn, func(fd int) error {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(fd, probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		if quiet {
			return nil
		}
		return err
	})
	if err != nil {
		return false, fmt.Errorf("look at the connection: %w", err)
	}
	return quiet, nil
}
