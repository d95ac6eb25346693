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

// testDialect reads the request's ID from X-Id and the refusal from X-Not-Run.
type testDialect struct{}

func (testDialect) DecodeRequest(header http.Header) (RequestInfo, error) {
	return RequestInfo{RequestID: header.Get("X-Id")}, nil
}

func (testDialect) EncodeRequest(caller http.Header, _ BackendHeaders) http.Header {
	return EndToEnd(caller)
}

func (testDialect) DecodeResponse(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{RequestID: header.Get("X-Id"), NotRun: header.Get("X-Not-Run") != ""}
}

// script is what a server does with each connection, after the head of the first
// request was read.
type script func(conn net.Conn, requests *bufio.Reader)

// serve starts a server that plays a script, and returns a pool and its address.
func serve(t *testing.T, play script) (*Pool, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var playing sync.WaitGroup
	go func() {
		defer close(done)
		defer playing.Wait()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			playing.Go(func() {
				play(conn, bufio.NewReader(conn))
				_ = conn.Close()
			})
		}
	}()
	pool := NewPool(testDialect{}, func(string, time.Duration, error) {})
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

// answering writes raw answers, one to each request of a connection.
func answering(answers ...string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, answer := range answers {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
		// The server waits for the other side to close.
		_, _ = io.Copy(io.Discard, requests)
	}
}

// answeringAndClosing is answering by a server that then closes the connection.
func answeringAndClosing(answers ...string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, answer := range answers {
			if _, _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/a?b=c", Host: "desk.example", Header: http.Header{"X-Id": {id}}, Body: []byte("{}")}
}

// fetch sends a request and reads its whole answer.
func fetch(ctx context.Context, pool *Pool, address string, r *Request) (string, error) {
	response, err := pool.Send(ctx, address, r, false)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestRequestGoesOutAsItIs(t *testing.T) {
	seen := make(chan string, 1)
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		got, body, err := readRequest(requests)
		if err != nil {
			seen <- err.Error()
			return
		}
		seen <- fmt.Sprintf("%s %s %s %s %s", got.Method, got.RequestURI, got.Host, got.Header.Get("X-Id"), body)
		_, _ = io.WriteString(conn, whole("1", "yes"))
	})
	body, err := fetch(t.Context(), pool, address, request("1"))
	if err != nil || body != "yes" {
		t.Errorf("body %q, %v", body, err)
	}
	if got, want := <-seen, "POST /a?b=c desk.example 1 {}"; got != want {
		t.Errorf("server saw %q, want %q", got, want)
	}
}

func TestConnectionIsUsedAgain(t *testing.T) {
	pool, address := serve(t, answering(whole("1", "one"), whole("2", "two")))
	for i, want := range []string{"one", "two"} {
		body, err := fetch(t.Context(), pool, address, request(fmt.Sprint(i+1)))
		if err != nil || body != want {
			t.Fatalf("request %d: %q, %v", i+1, body, err)
		}
	}
}

func TestAnswersOfOtherRequestsReachNobody(t *testing.T) {
	tests := []struct {
		name string
		// second is what the server writes when the second request comes.
		second string
		want   string
	}{
		{"a late answer before the own", whole("1", "late") + whole("2", "two"), "two"},
		{"only foreign answers", whole("x", "other"), ""},
		{"an unframed foreign answer", "HTTP/1.1 200 OK\r\nX-Id: x\r\n\r\nrest", ""},
		{"bytes that are no answer", "\x00\x01\r\n\r\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, address := serve(t, answeringAndClosing(whole("1", "one"), test.second))
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

func TestExtraAnswerOnAKeptConnection(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			got, _, err := readRequest(requests)
			if err != nil {
				return
			}
			id := got.Header.Get("X-Id")
			_, _ = io.WriteString(conn, whole(id, "answer "+id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, whole(id, "extra "+id))
		}
	})
	for i := range 5 {
		id := fmt.Sprint(i)
		if body, err := fetch(t.Context(), pool, address, request(id)); err != nil || body != "answer "+id {
			t.Fatalf("%q, %v", body, err)
		}
		// The extra answer arrives while the connection is kept.
		time.Sleep(20 * time.Millisecond)
	}
}

func TestIncompleteAnswersDoNotLookComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no head": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, _, err := readRequest(requests); err == nil {
					_, _ = io.WriteString(conn, answer)
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

func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it"
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	})
	if body, err := fetch(t.Context(), pool, address, request("1")); err != nil || body != "all of it" {
		t.Errorf("%q, %v", body, err)
	}
	reset, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := fetch(t.Context(), reset, address, request("1")); err == nil {
		t.Errorf("a reset answer %q looks complete", body)
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, whole("1", "early"))
		_, _ = io.Copy(io.Discard, requests)
	})
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 1<<20))
	if body, err := fetch(t.Context(), pool, address, long); err != nil || body != "early" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestUnreachableServerGotNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	pool := NewPool(testDialect{}, func(string, time.Duration, error) {})
	if _, err := fetch(t.Context(), pool, address, request("1")); !IsNotSent(err) {
		t.Errorf("error %v, want one that says not sent", err)
	}
}

// TestGivenUpRequestIsReset checks that a server notices at once that nobody waits
// any more, with a reset instead of an orderly close.
func TestGivenUpRequestIsReset(t *testing.T) {
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

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		got, _, err := readRequest(requests)
		if err == nil {
			_, _ = io.WriteString(conn, whole(got.Header.Get("X-Id"), "body"))
		}
	})
	for i := range 5 {
		if _, err := fetch(t.Context(), pool, address, request(fmt.Sprint(i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestKeepAliveOfTheServerBoundsTheUse(t *testing.T) {
	c := &conn{}
	now := time.Now()
	c.keepUntil(now, http.Header{"Keep-Alive": {"timeout=2, max=10"}})
	if kept := c.usableUntil.Sub(now); kept != 2*time.Second-idleMargin {
		t.Errorf("kept for %s", kept)
	}
	c.keepUntil(now, http.Header{})
	if kept := c.usableUntil.Sub(now); kept != maxIdleTime {
		t.Errorf("kept for %s without a word", kept)
	}
}
