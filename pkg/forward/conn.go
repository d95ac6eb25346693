package forward

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

const (
	readBufferBytes = 4 << 10
	// maxCarriedIDs limits the requests that a connection remembers.
	maxCarriedIDs = 64
)

// conn is a connection to a backend server that serves one request at a time.
type conn struct {
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// openedAt is when the connection was established, connectTime how long that took.
	openedAt     time.Time
	connectTime  time.Duration
	idleDeadline time.Time
	// carried holds the IDs of the last requests that were sent on the connection.
	carried []string

	// mu is held while another goroutine than the reader's looks at the connection.
	mu sync.Mutex
	// failure is the first error of a write or a look; nil if there was none.
	failure error
}

// newConn returns a connection that was established since a time.
func newConn(address string, raw net.Conn, started time.Time) *conn {
	now := time.Now()
	return &conn{
		address:     address,
		raw:         raw,
		reader:      bufio.NewReaderSize(raw, readBufferBytes),
		openedAt:    now,
		connectTime: now.Sub(started),
	}
}

// reset closes the connection without waiting for written data to be delivered.
func (c *conn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		// If this fails, the connection is closed in order instead.
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// isIdle reports whether an idle connection is still open and has no unsolicited
// bytes to read.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.hasNothingToRead()
}

// hasNothingToRead reports whether the connection is open and has no bytes in the kernel's
// buffer. It doesn't wait for a read in progress. An error that it meets is recorded, as the
// reader may not see it any more.
func (c *conn) hasNothingToRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet, err := tcpstate.IsQuiet(c.raw)
	if c.failure == nil {
		c.failure = err
	}
	return quiet
}

// carry records that a request is sent on the connection.
func (c *conn) carry(id string) {
	if len(c.carried) == maxCarriedIDs {
		c.carried = c.carried[1:]
	}
	c.carried = append(c.carried, id)
}

// hasCarried reports whether a request was sent on the connection, so that another response
// to it may arrive.
func (c *conn) hasCarried(id string) bool { return slices.Contains(c.carried, id) }

// recordFailure records an error of the connection.
func (c *conn) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// recordedFailure returns the first error that another call than the reader's has met. A
// look at the connection that is in progress is waited for.
func (c *conn) recordedFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// readHeader reads the header of the next final response, skipping informational
// ones.
func (c *conn) readHeader(method string) (*httpresponse.Response, error) {
	return httpresponse.Read(c.reader, method)
}

// setIdleDeadline sets how long the connection may be idle, from the server's
// Keep-Alive.
func (c *conn) setIdleDeadline(now time.Time, header http.Header) {
	idleTime := maxIdleTime
	for _, part := range splitList(header.Get("Keep-Alive")) {
		value, ok := strings.CutPrefix(part, "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			idleTime = min(idleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	c.idleDeadline = now.Add(idleTime)
}
