package site

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// ErrUnread means that a process closed a connection without having read the request,
// which the caller can tell.
var ErrUnread = errors.New("connection closed before the request was read")

const (
	dialTimeout = time.Second
	// resetTime is the time in which a reset arrives over loopback.
	resetTime = 50 * time.Millisecond
)

// Connection is a caller's connection, on which requests are sent byte by byte as a
// test needs.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	return &Connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Exchange sends a request in the given parts, with a pause before each, and reads
// the response with its body.
func (c *Connection) Exchange(pause time.Duration, parts ...[]byte) (*http.Response, []byte, error) {
	for i, part := range parts {
		time.Sleep(pause)
		if i == 0 && c.isClosed() {
			return nil, nil, ErrUnread
		}
		if _, err := c.Write(part); err != nil {
			return nil, nil, c.failure(err)
		}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, nil, c.failure(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("caller: read response: %w", err)
	}
	return response, body, nil
}

// isClosed reports whether the connection was closed.
func (c *Connection) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var failure net.Error
	return err != nil && (!errors.As(err, &failure) || !failure.Timeout())
}

// failure returns ErrUnread if the connection was reset, which happens only for data
// that the process left unread. A reset that follows the end of the connection shows
// in the next write.
func (c *Connection) failure(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		time.Sleep(resetTime)
		if _, writeErr := c.Write([]byte{'\n'}); writeErr != nil {
			err = writeErr
		}
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return ErrUnread
	}
	return fmt.Errorf("caller: %w", err)
}
