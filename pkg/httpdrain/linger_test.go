package httpdrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// longBody is the length of a response that doesn't fit into a small receive buffer.
	longBody = 200 << 10
	// smallBuffer is the size of a receive buffer.
	smallBuffer = 4 << 10
)

// startTCP starts a server over TCP that closes each connection after a long response.
func startTCP(t *testing.T, abort bool) (*Connections, *http.Server, string) {
	t.Helper()
	connections := &Connections{}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, strings.Repeat(".", longBody))
			if abort {
				panic(http.ErrAbortHandler)
			}
			ResponseComplete(r.Context())
		}),
		ConnContext: WithConnection,
		ConnState:   connections.StateChanged,
	}
	listener := connections.Listener(inner)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return connections, server, inner.Addr().String()
}

// dialSlow sends a request from a caller with a small receive buffer.
func dialSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, requestText); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readAll(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(response.Body)
	return len(body), err
}

// Guards against a close that drops the rest of a response since the caller has sent more.
func TestNextRequestSentEarlyDoesNotCutOffTheResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		// wait is when the caller sends more, before or after the server's close.
		wait time.Duration
		more string
	}{
		{"at once", 0, requestText},
		{"after the response was written", 300 * time.Millisecond, requestText},
		{"blank line", 0, "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			connections, _, address := startTCP(t, false)
			conn := dialSlow(t, address)
			time.Sleep(test.wait)
			_, _ = io.WriteString(conn, test.more)
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			left := make(chan int, 1)
			go func() { left <- connections.Close(ctx, quiet) }()
			if n, err := readAll(conn); n != longBody || err != nil {
				t.Errorf("%d of %d bytes, %v", n, longBody, err)
			}
			if open := <-left; open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// Guards against a stop that doesn't wait for the delivery of what was written.
func TestStopWaitsForTheDeliveryOfResponses(t *testing.T) {
	connections, _, address := startTCP(t, false)
	conn := dialSlow(t, address)
	_, _ = io.WriteString(conn, requestText)
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	if open := connections.Close(ctx, 0); open != 1 {
		t.Errorf("%d connections open, want 1", open)
	}
	if n, err := readAll(conn); n != longBody || err != nil {
		t.Errorf("%d of %d bytes, %v", n, longBody, err)
	}
}

// Guards against a broken response whose connection stays open.
func TestIncompleteResponseIsClosedAtOnce(t *testing.T) {
	connections, _, address := startTCP(t, true)
	conn := dialSlow(t, address)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if open := connections.Close(ctx, quiet); open != 0 {
		t.Errorf("%d connections open", open)
	}
}

// Guards against a stop that drops what a slow caller is still to receive, as it has sent more.
func TestEndOfAStopLeavesTheDeliveryToTheKernel(t *testing.T) {
	connections, server, address := startTCP(t, false)
	conn := dialSlow(t, address)
	time.Sleep(300 * time.Millisecond)
	_, _ = io.WriteString(conn, requestText)
	ctx, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	if open := connections.Close(ctx, 0); open != 1 {
		t.Errorf("%d connections open, want 1", open)
	}
	_ = server.Close()
	time.Sleep(2 * lingerCheckInterval)
	connections.mu.Lock()
	left := len(connections.open)
	connections.mu.Unlock()
	if left != 0 {
		t.Errorf("%d connections not closed", left)
	}
	if n, err := readAll(conn); n != longBody || err != nil {
		t.Errorf("%d of %d bytes, %v", n, longBody, err)
	}
}
