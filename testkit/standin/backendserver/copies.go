package backendserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// copyListener accepts connections on which some rejections arrive a second time.
type copyListener struct {
	net.Listener
	every      int64
	rejections atomic.Int64
}

// copyConn sends the second copy of a rejection right before the next response.
type copyConn struct {
	net.Conn
	listener *copyListener

	mu sync.Mutex
	// pending is the copy of the response that is being written, due the one to send before
	// the next response.
	pending, due []byte
	// atOnce has the copy follow at once, not before the next response.
	atOnce bool
}

type copyConnKey struct{}

// newCopyListener returns a listener for a server on whose connections each n-th rejection
// arrives twice.
func newCopyListener(server *http.Server, listener net.Listener, n int) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, copyConnKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*copyConn); ok && state == http.StateIdle {
			c.responseEnded()
		}
	}
	return &copyListener{Listener: listener, every: int64(n)}
}

// Accept implements net.Listener.
func (l *copyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyConn{Conn: conn, listener: l}, nil
}

// copyLater has the rejection of a request arrive a second time, if it is its turn.
func copyLater(r *http.Request, id string, status int) {
	conn, ok := r.Context().Value(copyConnKey{}).(*copyConn)
	if !ok || conn.listener.every == 0 || conn.listener.rejections.Add(1)%conn.listener.every != 0 {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.pending = rawRejection(id, status)
}

func rawRejection(id string, status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), HeaderRequestID, id, HeaderNotRun)
}

func (c *copyConn) responseEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.atOnce {
		_, _ = c.Conn.Write(c.pending)
		c.pending, c.atOnce = nil, false
	}
	c.due, c.pending = c.pending, nil
}

// Write implements net.Conn.
func (c *copyConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	due := c.due
	c.due = nil
	c.mu.Unlock()
	if len(due) > 0 {
		if _, err := c.Conn.Write(due); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}
