package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
)

// conn is a connection to a backend server that serves one request at a time.
type conn struct {
	address     string
	raw         net.Conn
	head        *headLimit
	reader      *bufio.Reader
	usableUntil time.Time
}

func newConn(address string, raw net.Conn) *conn {
	head := &headLimit{source: raw}
	return &conn{address: address, raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// reset closes the connection without waiting for what was written to arrive.
func (c *conn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		// A failure leaves an orderly close, which is all that can be done.
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// isQuiet tells whether a kept connection is still open and holds no bytes that
// nobody asked for.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		c.head.left = maxHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		c.head.left = unlimited
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// keepUntil sets how long the connection may be kept, from what the server says.
func (c *conn) keepUntil(now time.Time, header http.Header) {
	keep := maxIdleTime
	for _, part := range splitList(header.Get("Keep-Alive")) {
		value, ok := strings.CutPrefix(part, "timeout=")
		if !ok {
			continue
		}
		if named, err := strconv.Atoi(value); err == nil {
			keep = min(keep, time.Duration(named)*time.Second-idleMargin)
		}
	}
	c.usableUntil = now.Add(keep)
}

// unlimited lifts a headLimit.
const unlimited = int(^uint(0) >> 1)

// errHeadTooLarge tells that an answer's head exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("head of the answer is too large")

// headLimit bounds the bytes read while an answer's head is expected.
type headLimit struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(p)
	if h.left != unlimited {
		h.left -= n
	}
	return n, err
}
