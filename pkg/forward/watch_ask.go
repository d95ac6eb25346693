package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

// errNotWatched means that a Watch has no open connection to ask a server on.
var errNotWatched = errors.New("no open connection to the server")

// Answer is an answer to a health check. The process that gave it had accepted the connection
// before, and runs.
type Answer struct {
	// ServerID is the ID that the server states; empty if it states none.
	ServerID string
	// OpenedAt is when the connection was established.
	OpenedAt time.Time
}

// ClosedError means that a server has acknowledged a health check and then closed its connection
// in order, without an answer, as servers do that shut down. A process did that: the kernel
// resets a connection of a process that has ended once data arrives, and one that is closed
// with unread data. A proxy may do the same in place of a process.
type ClosedError struct {
	// OpenedAt is when the connection was established, At when its end arrived.
	OpenedAt, At time.Time
}

// Error implements error.
func (e *ClosedError) Error() string { return "server closed the connection of a health check" }

// Ask sends a health check and waits for the header of its answer, whatever its status. It uses
// a connection that was established before a time if there is one that is open, of the watch or
// of the pool. The watch has ended then. The error is a *ClosedError if the server closed the
// connection in response.
func (w *Watch) Ask(ctx context.Context, path string, before time.Time) (Answer, error) {
	c := w.take(before)
	if c == nil {
		return Answer{}, errNotWatched
	}
	x := &exchange{pool: w.pool, conn: c, writeEnded: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(pastDeadline) })
	defer x.abort()
	// Without an ID, so that late responses to earlier requests are told apart.
	response, err := x.run(&Request{Method: http.MethodGet, Target: path, Host: w.address})
	if errors.Is(err, io.EOF) {
		return Answer{}, x.closedOrErr(err)
	}
	if err != nil {
		return Answer{}, fmt.Errorf("health check: %w", err)
	}
	return Answer{ServerID: response.Info.ServerID, OpenedAt: c.openedAt}, nil
}

// closedOrErr returns what the end of a connection means on which no answer has arrived.
func (x *exchange) closedOrErr(err error) error {
	end := x.connectionEnd()
	acknowledged, stateErr := tcpstate.IsAcknowledged(x.conn.raw)
	if reason := errors.Join(end.err(), stateErr); reason != nil {
		return fmt.Errorf("health check: %w", reason)
	}
	if !acknowledged || end.State != tcpstate.PeerClosed {
		return fmt.Errorf("health check: %w", err)
	}
	return &ClosedError{OpenedAt: x.conn.openedAt, At: end.At}
}

// take ends the watch and returns an open connection for a last call: one that was established
// before a time, else the oldest one; nil if there is none.
func (w *Watch) take(before time.Time) *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOpen() {
		return nil
	}
	taken, other := w.conn, w.previous
	if other != nil && !taken.openedAt.Before(before) && other.isIdle() {
		taken, other = other, taken
	}
	w.conn, w.previous = nil, nil
	if other != nil {
		_ = other.raw.Close()
	}
	if taken.openedAt.Before(before) {
		return taken
	}
	if pooled := w.pool.takeIdleOpenedBefore(w.address, before); pooled != nil {
		_ = taken.raw.Close()
		return pooled
	}
	return taken
}
