package httpdrain

import (
	"net"
	"sync"
	"time"
)

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// connection is a connection that can be closed while no request is under way on it.
// It is closed by an expired read deadline, so that a read returns either data, and
// the connection stays open, or an error, and no data is taken from the socket.
type connection struct {
	net.Conn
	owner *Connections

	mu sync.Mutex
	// idleSince is when the last request ended or the connection was accepted; zero
	// while a request is under way.
	idleSince time.Time
	// readAhead is set if net/http has read the first byte of the next request while
	// a handler ran, which it does to notice that the caller leaves.
	readAhead bool
	// closing is set while the expired deadline is in force.
	closing bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// complete is set once a handler has returned with a complete response, until the next
	// request. lingering is set while the connection waits for its delivery.
	complete  bool
	lingering bool
	// records finds requests below TLS; nil without it.
	records *recordScanner
}

// NetConn returns the wrapped connection.
func (c *connection) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, which net/http does before it drops a connection
// whose request it hasn't read to its end.
func (c *connection) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return inner.CloseWrite()
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(p[:n], len(p) == 1)
	}
	return n, err
}

// received notes that data was read. If a part of a request was read while the connection
// was being closed, the connection stays open for the request.
func (c *connection) received(data []byte, singleByte bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records != nil && !c.records.receive(data) {
		return
	}
	c.idleSince = time.Time{}
	c.readAhead = singleByte
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// scanRecords notes that requests arrive over TLS. It is called before the first read.
func (c *connection) scanRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = &recordScanner{}
}

// setActive notes that the header of a request was read.
func (c *connection) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	c.readAhead = false
	c.complete = false
}

// setIdle notes that the connection was accepted or that a request has ended.
func (c *connection) setIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readAhead {
		c.idleSince = now
	}
}

// closeIfIdle has the server's next read fail if the connection has been idle since
// before the given time. The server then closes the connection.
func (c *connection) closeIfIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.idleSince.IsZero() || c.idleSince.After(before) {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(expired)
}
