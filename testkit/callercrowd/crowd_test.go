package callercrowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// writeTimeout bounds the time that one caller of a crowd waits for the entry to read.
	writeTimeout = 10 * time.Second
	// joinTimeout bounds the time for a connection of a crowd.
	joinTimeout = 5 * time.Second
	// smallWindow is the receive buffer of a caller that reads slowly, in bytes.
	smallWindow = 4 << 10
	// bodyShortBy is how many bytes are missing at the end of a body.
	bodyShortBy = 16
	largeChunk  = 64 << 10
	// tinyBody is the size of a body in chunks of one byte.
	tinyBody = maxBodyBytes / 2
)

// crowd is a number of callers that stay connected until leave.
type crowd struct {
	address string
	nextID  atomic.Int64
	// failed counts the callers whose connection failed or was closed while they sent.
	failed atomic.Int64

	mu          sync.Mutex
	connections []net.Conn
}

func newCrowd(address string) *crowd { return &crowd{address: address} }

// join adds callers, each of which sends what parts returns, in order and as far as the
// entry reads it, and stays connected. It returns when all have sent.
func (c *crowd) join(callers int, parts func(id string) []string) {
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			if err := c.send(parts(fmt.Sprintf("crowd%06d", c.nextID.Add(1)))); err != nil {
				c.failed.Add(1)
			}
		})
	}
	wait.Wait()
}

func (c *crowd) send(parts []string) error {
	dialer := net.Dialer{Timeout: joinTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		control := func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		}
		if failed := raw.Control(control); failed != nil {
			return failed
		}
		return err
	}}
	connection, err := dialer.DialContext(context.Background(), "tcp", c.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.connections = append(c.connections, connection)
	c.mu.Unlock()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, part := range parts {
		if _, err := connection.Write([]byte(part)); err != nil {
			return err
		}
	}
	return nil
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	c.connections = nil
}

// head returns the head of an ordinary request without its last empty line.
func head(id, framing string) string {
	return fmt.Sprintf("POST %sitem HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s", platformsite.StockPath, platformsite.Host, backendserver.HeaderRequestID, id, framing)
}

// shortLines returns a head of legal size made of many short lines, without its end.
func shortLines(id string) []string {
	var text strings.Builder
	text.WriteString(head(id, ""))
	for i := 0; text.Len() < maxHeaderBytes-bodyShortBy; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return []string{text.String()}
}

// wholeShortLines is shortLines with the end, as a request without a body.
func wholeShortLines(id string) []string { return append(shortLines(id), "\r\n") }

// oddLines returns a head of legal size made of lines of the same name and of odd names.
func oddLines(id string) []string {
	var text strings.Builder
	text.WriteString(head(id, ""))
	for i := 0; text.Len() < maxHeaderBytes-bodyShortBy; i++ {
		fmt.Fprintf(&text, "a:\r\n!%d:\t \r\n", i)
	}
	return []string{text.String()}
}

// endlessHead returns a head over the limit that has no end.
func endlessHead(id string) []string {
	const lines, perPart = 60_000, 2_000
	parts := []string{head(id, "")}
	for first := 0; first < lines; first += perPart {
		var text strings.Builder
		for i := range perPart {
			fmt.Fprintf(&text, "x%x: y\r\n", first+i)
		}
		parts = append(parts, text.String())
	}
	return parts
}

// emptyLines returns empty lines without end, before a request.
func emptyLines(string) []string { return []string{strings.Repeat("\r\n", 512<<10)} }

// largeChunks returns a body in large chunks that stops just short of its end.
func largeChunks(id string) []string {
	parts := []string{head(id, "Transfer-Encoding: chunked\r\n\r\n")}
	for range maxBodyBytes/largeChunk - 1 {
		parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", largeChunk, strings.Repeat("b", largeChunk)))
	}
	return append(parts, fmt.Sprintf("%x\r\n%s", largeChunk, strings.Repeat("b", largeChunk-bodyShortBy)))
}

// tinyChunks returns a body in chunks of one byte that has no end.
func tinyChunks(id string) []string {
	return []string{head(id, "Transfer-Encoding: chunked\r\n\r\n"), strings.Repeat("1\r\nb\r\n", tinyBody)}
}

// statedLength returns a body that stops just short of its stated length.
func statedLength(id string) []string {
	return []string{head(id, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), strings.Repeat("b", maxBodyBytes-bodyShortBy)}
}

// unreadResponse returns a whole request whose response is about as long as its body. The
// callers of a crowd don't read.
func unreadResponse(id string) []string {
	return []string{head(id, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), strings.Repeat("b", maxBodyBytes)}
}

// nothing returns what a caller sends that only connects.
func nothing(string) []string { return nil }

// sendWhole sends a request whose head is as long as allowed, of short lines, on a connection
// of its own. It returns an error unless the response is the right one.
func sendWhole(s *platformsite.Site, request platformsite.Request, framing string) error {
	connection, err := net.Dial("tcp", s.Entries[0].Callers)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(waitTimeout))
	const framingBytes = 64
	lines := shortLines(request.ID)[0]
	lines = lines[:strings.LastIndex(lines[:maxHeaderBytes-framingBytes], "\n")+1]
	parts := []string{lines + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(request.Body)), request.Body}
	if size := map[string]int{"large chunks": largeChunk, "tiny chunks": 1}[framing]; size > 0 {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, request.Body[:size])
		parts = []string{lines + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat(chunk, len(request.Body)/size), "0\r\n\r\n"}
	}
	for _, part := range parts {
		if _, err := io.WriteString(connection, part); err != nil {
			return fmt.Errorf("%s: %w", request.ID, err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return s.Check(request, platformsite.Result{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err})
}

// readAhead is how much of a connection net/http reads ahead, in bytes.
const readAhead = 4 << 10

// linesAhead returns whole requests, each followed at once by the begin of another one with a
// head of short lines, as much of it as is read ahead.
func linesAhead(id string) []string {
	var text strings.Builder
	text.WriteString(head(id, "\r\n"))
	text.WriteString(head(id+"b", ""))
	for i := 0; text.Len() < readAhead-bodyShortBy; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return []string{text.String()}
}

// shortTrailers returns a request whose body ends with trailers of short lines. Its response
// isn't read.
func shortTrailers(id string) []string {
	var text strings.Builder
	for i := 0; text.Len() < readAhead-bodyShortBy; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return []string{head(id, "Transfer-Encoding: chunked\r\n\r\n"), "0\r\n" + text.String() + "\r\n"}
}
