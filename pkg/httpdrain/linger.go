package httpdrain

import (
	"context"
	"net"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

const (
	// lingerCheckInterval is the time between two checks whether a caller has received a
	// response whose connection is to be closed.
	lingerCheckInterval = 5 * time.Millisecond
	// lingerTimeout limits the wait. The kernel goes on sending after it.
	lingerTimeout = 10 * time.Second
)

// connectionKey is the key of the tracked connection in a request's context.
type connectionKey struct{}

// WithConnection is the ConnContext of a server with tracked connections.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	tracked := unwrap(conn)
	if tracked == nil {
		return ctx
	}
	return context.WithValue(ctx, connectionKey{}, tracked)
}

// ResponseComplete notes that a handler is about to return with a complete response. Should
// its connection be closed after it, it is closed once the caller's host has received all.
func ResponseComplete(ctx context.Context) {
	if tracked, ok := ctx.Value(connectionKey{}).(*connection); ok {
		tracked.setComplete()
	}
}

func (c *connection) setComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
}

// Close implements net.Conn. After a complete response it ends the sending side and keeps the
// connection until the caller's host has received all: the close of a connection with unread
// bytes, or bytes that arrive after it, would drop what is still on its way. What the caller
// has sent stays unread, so that the close tells it so.
func (c *connection) Close() error {
	tcp := tcpstate.Below(c.Conn)
	if tcp == nil || !c.beginLinger() {
		return c.Conn.Close()
	}
	// It ends a read that the server has under way.
	_ = c.Conn.SetReadDeadline(expired)
	if tcp.CloseWrite() != nil || !isUndelivered(tcp) {
		return c.endLinger()
	}
	go c.linger(tcp)
	return nil
}

// linger closes the connection once all was delivered.
func (c *connection) linger(tcp *net.TCPConn) {
	for begun := time.Now(); isUndelivered(tcp); time.Sleep(lingerCheckInterval) {
		if time.Since(begun) >= lingerTimeout {
			discardUnread(tcp)
			break
		}
	}
	// Nobody is left who could act on the error.
	_ = c.endLinger()
}

// abandon closes the connection if it lingers, and leaves the delivery to the kernel.
func (c *connection) abandon() {
	if tcp := tcpstate.Below(c.Conn); tcp != nil && c.isLingering() {
		discardUnread(tcp)
		_ = c.endLinger()
	}
}

// maxDiscardedBytes limits what is discarded at the close of a connection.
const maxDiscardedBytes = 1 << 20

// discardUnread reads what the caller has sent, so that the close isn't a reset and the kernel
// goes on sending.
func discardUnread(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var buffer [16 << 10]byte
		for left := maxDiscardedBytes; left > 0; {
			n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
			left -= n
		}
	})
}

// beginLinger returns false if the connection is to be closed at once.
func (c *connection) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete || c.lingering {
		return false
	}
	c.lingering = true
	return true
}

// endLinger closes the connection.
func (c *connection) endLinger() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.lingering, c.complete = false, false
	c.mu.Unlock()
	c.owner.lingerEnded(c)
	return err
}

func (c *connection) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// isUndelivered reports whether the caller's host hasn't received all that was sent on a
// connection whose sending side was closed. A connection of which that isn't known is closed
// like one that is delivered.
func isUndelivered(tcp *net.TCPConn) bool {
	undelivered, err := tcpstate.IsUndelivered(tcp)
	return err == nil && undelivered
}
