package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testCodec takes the request's ID from X-Id and the rejection from X-Not-Run.
type testCodec struct{}

func (testCodec) DecodeRequest(header http.Header) (RequestInfo, error) {
	return RequestInfo{RequestID: header.Get("X-Id")}, nil
}

func (testCodec) EncodeRequest(caller http.Header, _ BackendHeaders) http.Header {
	return EndToEnd(caller)
}

func (testCodec) DecodeEvent(string) string { return "" }

func (testCodec) DecodeResponse(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{RequestID: header.Get("X-Id"), NotRun: header.Get("X-Not-Run") != ""}
}

// script is what a server does with each connection.
type script func(conn net.Conn, requests *bufio.Reader)

// serve starts a server that runs a script, and returns a pool and its address.
func serve(t *testing.T, run script) (*Pool, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	go func() {
		defer close(done)
		defer running.Wait()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				run(conn, bufio.NewReader(conn))
				_ = conn.Close()
			})
		}
	}()
	pool := NewPool(testCodec{}, func(string, time.Duration, error) {})
	t.Cleanup(func() {
		pool.close()
		_ = listener.Close()
		<-done
	})
	return pool, listener.Addr().String()
}

func readRequest(requests *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

// respondWith sends raw responses, one to each request of a connection.
func respondWith(responses ...string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, response := range responses {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
		// The server waits for the client to close.
		_, _ = io.Copy(io.Discard, requests)
	}
}

// respondAndClose is respondWith by a server that then closes the connection.
func respondAndClose(responses ...string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, response := range responses {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/a?b=c", Host: "desk.example", Header: http.Header{"X-Id": {id}}, Body: []byte("{}")}
}

// fetch sends a request and reads its complete response.
func fetch(ctx context.Context, pool *Pool, address string, r *Request) (string, error) {
	response, err := pool.Send(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		got, body, err := readRequest(requests)
		if err != nil {
			seen <- err.Error()
			return
		}
		seen <- fmt.Sprintf("%s %s %s %s %s", got.Method, got.RequestURI, got.Host, got.Header.Get("X-Id"), body)
		_, _ = io.WriteString(conn, completeResponse("1", "yes"))
	})
	body, err := fetch(t.Context(), pool, address, request("1"))
	if err != nil || body != "yes" {
		t.Errorf("body %q, %v", body, err)
	}
	if got, want := <-seen, "POST /a?b=c desk.example 1 {}"; got != want {
		t.Errorf("server saw %q, want %q", got, want)
	}
}

func TestConnectionIsReused(t *testing.T) {
	pool, address := serve(t, respondWith(completeResponse("1", "one"), completeResponse("2", "two")))
	for i, want := range []string{"one", "two"} {
		body, err := fetch(t.Context(), pool, address, request(fmt.Sprint(i+1)))
		if err != nil || body != want {
			t.Fatalf("request %d: %q, %v", i+1, body, err)
		}
	}
}

func TestForeignResponseIsNotReturned(t *testing.T) {
	tests := []struct {
		name string
		// second is what the server sends on the second request.
		second string
		want   string
	}{
		{"late response before the expected one", completeResponse("1", "late") + completeResponse("2", "two"), "two"},
		{"extra response after one to an unknown request", completeResponse("x", "spoiled ID") + completeResponse("2", "extra"), ""},
		{"extra response after one without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo" + completeResponse("2", "extra"), ""},
		{"only foreign responses", completeResponse("x", "other"), ""},
		{"foreign response without a length", "HTTP/1.1 200 OK\r\nX-Id: x\r\n\r\nrest", ""},
		{"bytes that are not a response", "\x00\x01\r\n\r\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, address := serve(t, respondAndClose(completeResponse("1", "one"), test.second))
			if body, err := fetch(t.Context(), pool, address, request("1")); err != nil || body != "one" {
				t.Fatalf("first request: %q, %v", body, err)
			}
			body, err := fetch(t.Context(), pool, address, request("2"))
			if body != test.want || (err == nil) != (test.want != "") || IsNotSent(err) {
				t.Errorf("%q, %v, want %q", body, err, test.want)
			}
		})
	}
}

func TestUnsolicitedResponseOnIdleConnection(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			got, _, err := readRequest(requests)
			if err != nil {
				return
			}
			id := got.Header.Get("X-Id")
			_, _ = io.WriteString(conn, completeResponse(id, "response "+id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, completeResponse(id, "extra "+id))
		}
	})
	for i := range 5 {
		id := fmt.Sprint(i)
		if body, err := fetch(t.Context(), pool, address, request(id)); err != nil || body != "response "+id {
			t.Fatalf("%q, %v", body, err)
		}
		// The unsolicited response arrives while the connection is idle.
		time.Sleep(20 * time.Millisecond)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no head": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, _, err := readRequest(requests); err == nil {
					_, _ = io.WriteString(conn, response)
				}
			})
			body, err := fetch(t.Context(), pool, address, request("1"))
			var failure *Error
			if !errors.As(err, &failure) || failure.NotSent {
				t.Errorf("body %q, error %v, want an *Error of unknown outcome", body, err)
			}
		})
	}
}

func TestResponseDelimitedByClose(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it"
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	})
	if body, err := fetch(t.Context(), pool, address, request("1")); err != nil || body != "all of it" {
		t.Errorf("%q, %v", body, err)
	}
	reset, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := fetch(t.Context(), reset, address, request("1")); err == nil {
		t.Errorf("a reset response %q looks complete", body)
	}
}

func TestResponseBeforeEndOfLongBody(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, completeResponse("1", "early"))
		_, _ = io.Copy(io.Discard, requests)
	})
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 1<<20))
	if body, err := fetch(t.Context(), pool, address, long); err != nil || body != "early" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestUnreachableServerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	pool := NewPool(testCodec{}, func(string, time.Duration, error) {})
	if _, err := fetch(t.Context(), pool, address, request("1")); !IsNotSent(err) {
		t.Errorf("error %v, want one with NotSent", err)
	}
}

// TestCancelledRequestResetsConnection checks that a server detects a cancelled
// request immediately, by a reset instead of an orderly close.
func TestCancelledRequestResetsConnection(t *testing.T) {
	seen := make(chan error, 1)
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err != nil {
			seen <- err
			return
		}
		_, err := requests.ReadByte()
		seen <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := fetch(ctx, pool, address, request("1"))
	if !errors.Is(err, context.DeadlineExceeded) || IsNotSent(err) {
		t.Errorf("error %v", err)
	}
	if err := <-seen; err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the server saw %v, want a reset", err)
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		got, _, err := readRequest(requests)
		if err == nil {
			_, _ = io.WriteString(conn, completeResponse(got.Header.Get("X-Id"), "body"))
		}
	})
	for i := range 5 {
		if _, err := fetch(t.Context(), pool, address, request(fmt.Sprint(i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestServerKeepAliveLimitsIdleTime(t *testing.T) {
	c := &conn{}
	now := time.Now()
	c.setIdleDeadline(now, http.Header{"Keep-Alive": {"timeout=2, max=10"}})
	if kept := c.idleDeadline.Sub(now); kept != 2*time.Second-idleMargin {
		t.Errorf("kept for %s", kept)
	}
	c.setIdleDeadline(now, http.Header{})
	if kept := c.idleDeadline.Sub(now); kept != maxIdleTime {
		t.Errorf("kept for %s without a Keep-Alive header", kept)
	}
}

// Guards against a response without an end before its header is complete.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	for name, endless := range map[string]struct{ start, repeated string }{
		"header field":           {"HTTP/1.1 200 OK\r\nX-Endless: ", "x"},
		"header fields":          {"HTTP/1.1 200 OK\r\n", "X-Endless: x\r\n"},
		"status line":            {"HTTP/1.1 200 ", "x"},
		"bytes that aren't HTTP": {"", "\x00"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				_, _, err := readRequest(requests)
				if err == nil {
					_, err = io.WriteString(conn, endless.start)
				}
				for block := strings.Repeat(endless.repeated, 1<<10); err == nil; {
					_, err = io.WriteString(conn, block)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := pool.Send(ctx, address, request("1"))
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v after %v, want one at once", err, ctx.Err())
			}
		})
	}
}
