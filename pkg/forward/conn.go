package forward

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
)

const readBufferBytes = 4 << 10

// conn is a connection to a backend server that serves one request at a time.
type conn struct {
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// openedAt is when the connection was established.
	openedAt     time.Time
	idleDeadline time.Time
}

func newConn(address string, raw net.Conn, openedAt time.Time) *conn {
	return &conn{address: address, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), openedAt: openedAt}
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
// buffer. It doesn't wait for a read in progress.
func (c *conn) hasNothingToRead() bool {
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
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
