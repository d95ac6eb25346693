package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

const (
	// uploadBytes is the size of an upload whose writes have to wait for the server.
	uploadBytes = 4 << 20
	// smallBuffer is the size of the receive buffer of a server that reads nothing, and of a
	// send buffer that doesn't hold an upload, in bytes.
	smallBuffer = 4 << 10
	// resetExchanges is the number of exchanges with each wait, otherExchanges that of other
	// cases, and exchangesAtOnce how many run beside each other.
	resetExchanges  = 100
	otherExchanges  = 40
	exchangesAtOnce = 8
)

// resetWaits are the times between an early response and the reset of its connection.
var resetWaits = []time.Duration{0, 50 * time.Microsecond, 500 * time.Microsecond, 2 * time.Millisecond, 10 * time.Millisecond}

// unframedHeader is the header of a response that ends with its connection.
const unframedHeader = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

// serveEarly starts a server with a small receive buffer that sends a response without
// reading a body, waits and runs end before it closes the connection.
func serveEarly(t *testing.T, response string, wait time.Duration, end func(*net.TCPConn)) (*Pool, string) {
	t.Helper()
	return serve(t, func(conn net.Conn, requests *bufio.Reader) {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(smallBuffer)
		if _, err := requests.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		time.Sleep(wait)
		end(tcp)
	})
}

// uploadBody is the body of all uploads, which nobody changes.
var uploadBody = bytes.Repeat([]byte("x"), uploadBytes)

// upload returns a request with a long body.
func upload() *Request {
	r := request("1")
	r.Body = uploadBody
	return r
}

func resetConnection(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// exchangeMany fetches many responses, some at a time, and returns the error of each; nil if
// the response was read to io.EOF.
func exchangeMany(ctx context.Context, pool *Pool, address string, count int, next func() *Request) []error {
	failures := make([]error, count)
	slots := make(chan struct{}, exchangesAtOnce)
	var running sync.WaitGroup
	for i := range failures {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			_, failures[i] = fetch(ctx, pool, address, next())
		})
	}
	running.Wait()
	return failures
}

// completeOf returns how many of the exchanges ended as complete.
func completeOf(failures []error) int {
	complete := 0
	for _, err := range failures {
		if err == nil {
			complete++
		}
	}
	return complete
}

// Guards against a reset that a write takes, so that the read beside it ends in order.
func TestResetDuringUploadIsNotTheEndOfResponse(t *testing.T) {
	for _, wait := range resetWaits {
		t.Run(wait.String(), func(t *testing.T) {
			pool, address := serveEarly(t, unframedHeader+"a part", wait, resetConnection)
			failures := exchangeMany(t.Context(), pool, address, resetExchanges, upload)
			if complete := completeOf(failures); complete > 0 {
				t.Errorf("%d of %d responses that were reset were read to io.EOF", complete, len(failures))
			}
		})
	}
}

// Guards against a reset that cuts off a framed response unseen.
func TestResetDuringUploadDoesNotCompleteFramedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\na part",
		"chunks":          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
		"inside a chunk":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\na part",
		"last chunk":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\n",
		"inside a header": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := serveEarly(t, response, 2*time.Millisecond, resetConnection)
			failures := exchangeMany(t.Context(), pool, address, otherExchanges, upload)
			if complete := completeOf(failures); complete > 0 {
				t.Errorf("%d of %d responses that were reset were read to io.EOF", complete, len(failures))
			}
		})
	}
}

// Guards against a look at busy connections that takes a reset before the reader sees it.
func TestResetIsSeenAfterHasOpen(t *testing.T) {
	looked := make(chan struct{})
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, unframedHeader+"a part")
		<-looked
		resetConnection(conn.(*net.TCPConn))
	})
	response, err := pool.Send(t.Context(), address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if time.Sleep(closeDelay); !pool.HasOpen(address, time.Now()) {
		t.Fatal("the connection isn't open before its reset")
	}
	close(looked)
	time.Sleep(closeDelay)
	if pool.HasOpen(address, time.Now()) {
		t.Error("the connection is open after its reset")
	}
	if body, err := io.ReadAll(response); err == nil {
		t.Errorf("a reset response %q looks complete", body)
	}
}

// Guards against a success of a server that hasn't read the request to its end.
func TestOrderlyEndBeforeRequestIsWrittenIsNotTheEndOfResponse(t *testing.T) {
	seen := make(chan struct{})
	defer close(seen)
	pool, address := serveEarly(t, unframedHeader+"a part", 0, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		// It reads nothing until the client has seen the end.
		<-seen
	})
	pool.dialer.Control = setSmallSendBuffer
	if body, err := fetch(t.Context(), pool, address, upload()); !errors.Is(err, ErrRequestUnwritten) {
		t.Errorf("body %q, error %v, want ErrRequestUnwritten", body, err)
	}
}

// setSmallSendBuffer keeps the kernel from taking the whole of an upload.
func setSmallSendBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, smallBuffer)
	})
	return errors.Join(err, failure)
}

// Guards against an end that one source of knowledge allows and another one doesn't.
func TestEndOfConnectionNeedsAllEvidence(t *testing.T) {
	failure := errors.New("failure")
	for name, test := range map[string]struct {
		end  ConnectionEnd
		want error
	}{
		"in order":            {ConnectionEnd{RequestWritten: true, State: tcpstate.PeerClosed}, nil},
		"no state here":       {ConnectionEnd{RequestWritten: true, State: tcpstate.Unknown}, nil},
		"request not written": {ConnectionEnd{State: tcpstate.PeerClosed}, ErrRequestUnwritten},
		"reset":               {ConnectionEnd{RequestWritten: true, State: tcpstate.Closed}, ErrReset},
		"peer still open":     {ConnectionEnd{RequestWritten: true, State: tcpstate.Open}, ErrReset},
		"state not read":      {ConnectionEnd{RequestWritten: true, State: tcpstate.PeerClosed, StateErr: failure}, ErrReset},
		"failed write":        {ConnectionEnd{State: tcpstate.PeerClosed, Failure: failure}, ErrReset},
		"failed look":         {ConnectionEnd{RequestWritten: true, State: tcpstate.Unknown, Failure: failure}, ErrReset},
	} {
		t.Run(name, func(t *testing.T) {
			if err := test.end.err(); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against whole responses that are taken for cut off.
func TestUnframedResponseToWholeRequestIsComplete(t *testing.T) {
	for name, size := range map[string]int{"short request": 2, "long request": len(uploadBody)} {
		t.Run(name, func(t *testing.T) {
			pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, _, err := readRequest(requests); err == nil {
					_, _ = io.WriteString(conn, unframedHeader+"all of it")
				}
			})
			failures := exchangeMany(t.Context(), pool, address, otherExchanges, func() *Request {
				r := request("1")
				r.Body = uploadBody[:size]
				return r
			})
			if complete := completeOf(failures); complete != len(failures) {
				t.Errorf("%d of %d whole responses were complete: %v", complete, len(failures), errors.Join(failures...))
			}
		})
	}
}
