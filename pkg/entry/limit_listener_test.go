package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// longResponse is the length of a response that doesn't fit into a small receive buffer.
	longResponse = 200 << 10
	// slowReceiveBuffer is the size of the receive buffer of a slow caller, in bytes.
	slowReceiveBuffer = 4 << 10
	// responseTime is how long a response may take to be written.
	responseTime = 300 * time.Millisecond
	// nextRequest is what a caller sends, also before it has read a response.
	nextRequest = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
)

// setSmallBuffer gives a connection a small receive buffer.
func setSmallBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
	})
}

// Guards against the close of a limited connection that drops what is still to be delivered.
func TestLimitedConnectionIsKeptUntilItsResponseIsDelivered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	respond := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(".", longResponse))
	}
	server := newHTTPServer(http.HandlerFunc(respond), func() bool { return true })
	listener := server.listener(limitConnections(inner, 2))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.http.Serve(listener)
	}()
	defer func() {
		server.stop()
		<-served
	}()
	dialer := net.Dialer{Control: setSmallBuffer}
	conn, err := dialer.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, nextRequest); err != nil {
		t.Fatal(err)
	}
	// The server has written its response by then, and closed the connection.
	time.Sleep(responseTime)
	if _, err := io.WriteString(conn, nextRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(responseTime)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); len(body) != longResponse || err != nil {
		t.Errorf("%d of %d bytes, %v", len(body), longResponse, err)
	}
}

// Guards against connections beyond the limit, and an Accept that outlives its listener.
func TestLimitOfConnectionsIsKept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := limitConnections(inner, 1)
	accepted := make(chan net.Conn, 2)
	failed := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- conn
		}
	}()
	for range 3 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Error("a connection beyond the limit was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	// A second close frees no other place.
	_, _ = first.Close(), first.Close()
	second := <-accepted
	select {
	case <-accepted:
		t.Error("a connection beyond the limit was accepted after a close")
	case <-time.After(50 * time.Millisecond):
	}
	_ = listener.Close()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want net.ErrClosed", err)
	}
	_ = second.Close()
}
