package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// storeFailure is a call to the store that failed.
type storeFailure struct {
	sentAt time.Time
	// isRead is set for a read, which is on a new connection, and not set for a watch.
	isRead bool
	err    error
}

// call returns the kind of the call for the log.
func (f storeFailure) call() string {
	if f.isRead {
		return "read"
	}
	return "watch"
}

// isTimeout reports whether the call got no response in time.
func (f storeFailure) isTimeout() bool {
	var timeout net.Error
	return errors.Is(f.err, context.DeadlineExceeded) || (errors.As(f.err, &timeout) && timeout.Timeout())
}

// isConnectionLost reports whether the connection alone may have failed: it had been open
// before, and the store has answered nothing on it.
func (f storeFailure) isConnectionLost() bool {
	isEnd := errors.Is(f.err, io.EOF) || errors.Is(f.err, io.ErrUnexpectedEOF) || errors.Is(f.err, syscall.ECONNRESET) || errors.Is(f.err, syscall.EPIPE)
	return !f.isRead && (isEnd || f.isTimeout())
}

// since returns since when the store may have failed, if it did: a call without a response
// doesn't show when that began.
func (f storeFailure) since(now time.Time) time.Time {
	if f.isTimeout() {
		return f.sentAt
	}
	return now
}
