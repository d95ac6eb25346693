package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// rejection is a response that rejects a request as not run.
func rejection(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// rejectOnceWithLateCopy rejects the first request that it gets on any connection, and
// sends a second copy of the rejection on that connection before its next response. runs
// counts the requests that it ran.
func rejectOnceWithLateCopy(runs *atomic.Int32) script {
	var rejected atomic.Bool
	return func(conn net.Conn, requests *bufio.Reader) {
		copyDue := ""
		for {
			got, _, err := readRequest(requests)
			if err != nil {
				return
			}
			id := got.Header.Get("X-Id")
			if rejected.CompareAndSwap(false, true) {
				copyDue = rejection(id)
				_, _ = io.WriteString(conn, rejection(id))
				continue
			}
			runs.Add(1)
			_, _ = io.WriteString(conn, copyDue+completeResponse(id, "ran"))
			copyDue = ""
		}
	}
}

// Guards against a late second copy of a rejection that is taken for the answer to the next send.
func TestCopyOfRejectionIsNotAnswerToSecondSend(t *testing.T) {
	for name, body := range map[string]string{
		"written before the read": "{}",
		"written beside the read": strings.Repeat("x", 2*inlineWriteBytes),
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			pool, address := serve(t, rejectOnceWithLateCopy(&runs))
			r := request("1")
			r.Body = []byte(body)
			if first := statusOf(t, pool, address, r); first != http.StatusServiceUnavailable {
				t.Fatalf("status %d of the first send, want a rejection", first)
			}
			if second := statusOf(t, pool, address, r); second != http.StatusOK || runs.Load() != 1 {
				t.Errorf("status %d of the second send and %d runs, want the answer of its run", second, runs.Load())
			}
		})
	}
}

// Guards against a rejection that takes its connection away from other requests.
func TestConnectionOfRejectionServesOtherRequests(t *testing.T) {
	var runs atomic.Int32
	var connections atomic.Int32
	reject := rejectOnceWithLateCopy(&runs)
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		connections.Add(1)
		reject(conn, requests)
	})
	if first := statusOf(t, pool, address, request("1")); first != http.StatusServiceUnavailable {
		t.Fatalf("status %d of the first send, want a rejection", first)
	}
	if other := statusOf(t, pool, address, request("2")); other != http.StatusOK {
		t.Errorf("status %d of the other request, want its own answer", other)
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections, want one for both", n)
	}
}

// statusOf sends a request, reads its response and returns its status.
func statusOf(t *testing.T, pool *Pool, address string, r *Request) int {
	t.Helper()
	response, err := pool.Send(t.Context(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	response.Discard()
	return response.Status
}
