package httpresponse

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

const connBufferBytes = 4 << 10

// checkedConn is the connection of a client that reads responses rewritten from their checked
// parts. One goroutine reads at a time.
type checkedConn struct {
	net.Conn
	source *bufio.Reader
	// current is what is left of the current part of a response; nil between parts.
	current io.Reader
	// begun is set between the first byte of a response and its head.
	begun bool
	// last is set if the current response ends with the connection.
	last bool
	// err is the error after which nothing can be read.
	err error
}

// NewConn returns a connection for net/http's client, which may be lenient: it reads only
// responses that Read accepts. A read of any other fails with an error of Read, after a first
// byte that has the client know that there was a response, so that it doesn't resend the
// request. Informational responses and trailers are left out. Requests must not be of method
// HEAD, as the connection knows no methods.
func NewConn(conn net.Conn) net.Conn {
	return &checkedConn{Conn: conn, source: bufio.NewReaderSize(conn, connBufferBytes)}
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a DialFunc whose connections are those of NewConn.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	for c.err == nil {
		if c.current == nil {
			c.next()
			continue
		}
		n, err := c.current.Read(p)
		switch {
		case err == io.EOF && !c.last:
			c.current = nil
		case err != nil:
			c.err = err
		}
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	return 0, c.err
}

// next waits for the next part: the start of a response, or the rest of it.
func (c *checkedConn) next() {
	if !c.begun {
		_, c.err = c.source.Peek(1)
		c.begun, c.current = true, strings.NewReader(responseStart)
		return
	}
	c.begun = false
	response, err := Read(c.source, http.MethodGet)
	if err != nil {
		c.current, c.last = io.MultiReader(strings.NewReader(failedStatus), failingReader{err}), true
		return
	}
	c.current, c.last = rewrite(response), response.Framing == FramingConnection
}

// responseStart is the start of a rewritten response. It is delivered with the first byte of
// the response: a client closes a connection on which something arrives without a request.
const responseStart = "HTTP/1.1 "

// failedStatus precedes the error of a head that can't be read. A client that has read a line
// returns the error, and doesn't resend the request.
const failedStatus = "502 Bad Gateway\r\n"

// failingReader always fails.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// rewrite returns a response of HTTP/1.1 that is equivalent to a checked one, without
// responseStart.
func rewrite(response *Response) io.Reader {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%d %s\r\n", response.Status, http.StatusText(response.Status))
	for name, values := range response.Header {
		for _, value := range values {
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	if !response.Reusable {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	if response.Framing == FramingChunks {
		return io.MultiReader(&head, &chunkWriter{body: response.Body})
	}
	return io.MultiReader(&head, response.Body)
}

const (
	// chunkWriterBytes is the largest size of a chunk of a chunkWriter.
	chunkWriterBytes = 4 << 10
	lastChunk        = "0\r\n\r\n"
)

// chunkWriter reads a body in chunks.
type chunkWriter struct {
	body io.Reader
	// chunk is what is left of the current chunk.
	chunk []byte
	// err is the error after the chunk; io.EOF after the last one.
	err error
}

// Read implements io.Reader.
func (w *chunkWriter) Read(p []byte) (int, error) {
	if len(w.chunk) == 0 && w.err == nil {
		w.fill()
	}
	n := copy(p, w.chunk)
	w.chunk = w.chunk[n:]
	if len(w.chunk) > 0 {
		return n, nil
	}
	return n, w.err
}

// fill reads the next chunk. The end of the body is the last one.
func (w *chunkWriter) fill() {
	var data [chunkWriterBytes]byte
	var n int
	n, w.err = w.body.Read(data[:])
	w.chunk = w.chunk[:0]
	if n > 0 {
		w.chunk = strconv.AppendInt(w.chunk, int64(n), 16)
		w.chunk = append(w.chunk, lineEnd...)
		w.chunk = append(w.chunk, data[:n]...)
		w.chunk = append(w.chunk, lineEnd...)
	}
	if w.err == io.EOF {
		w.chunk = append(w.chunk, lastChunk...)
	}
}
