package callerlimits

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

const testTimeout = 10 * time.Second

// startServer starts a server with limits whose handler responds with the number of header
// fields, and returns its address, its pool and the causes of refusals.
func startServer(t *testing.T, limits fleet.Limits, pool memory.Limits) (string, *memory.Pool, chan Cause) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	causes := make(chan Cause, 100)
	held := memory.NewPool(pool, 100*time.Millisecond, func() { causes <- CutOff })
	listener := NewListener(inner, held, func() fleet.Limits { return limits }, func(cause Cause) { causes <- cause })
	server := &http.Server{ConnState: listener.StateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, len(r.Header))
	})}
	ctx, cancel := context.WithCancel(t.Context())
	go listener.Sweep(ctx)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return inner.Addr().String(), held, causes
}

func roomyPool() memory.Limits {
	return memory.Limits{Total: 64 << 20, SmallClaim: 1 << 20, MinStall: minStall, MaxClaims: 100}
}

// exchange sends text on a connection and returns the status of the response; 0 if the
// connection was closed without one.
func exchange(t *testing.T, connection net.Conn, text string) int {
	t.Helper()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = io.WriteString(connection, text) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// headOf returns a head of about the given size, of lines of the given text.
func headOf(size int, line string) string {
	const start = "GET / HTTP/1.1\r\nHost: h\r\n"
	return start + strings.Repeat(line, (size-len(start)-2)/len(line)) + "\r\n"
}

// Guards against a limit that refuses heads inside it, and one that lets larger ones in.
func TestHeadLimit(t *testing.T) {
	address, pool, causes := startServer(t, fleet.Limits{MaxHeaderBytes: 16 << 10}, roomyPool())
	connection := dial(t, address)
	for _, head := range []string{headOf(200, "a: b\r\n"), headOf(16<<10, "a:\r\n"), headOf(16<<10, "!a\t:\r\n")} {
		want := http.StatusOK
		if strings.Contains(head, "\t") {
			want, connection = http.StatusBadRequest, dial(t, address)
		}
		if got := exchange(t, connection, head); got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	}
	if got := exchange(t, dial(t, address), headOf(40<<10, "a: b\r\n")); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", got)
	}
	if cause := <-causes; cause != HeadTooLarge {
		t.Errorf("cause %s", cause)
	}
	awaitHeld(t, pool, 0)
}

// awaitHeld waits until heads hold a number of bytes.
func awaitHeld(t *testing.T, pool *memory.Pool, want int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		held, _ := pool.Held()
		if held[memory.Head] == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("heads hold %d, want %d", held[memory.Head], want)
		}
	}
}

// Guards against requests on one connection, also several at once, that are taken for one.
func TestRequestsOnOneConnection(t *testing.T) {
	address, pool, _ := startServer(t, fleet.Limits{MaxHeaderBytes: 300}, roomyPool())
	connection := dial(t, address)
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	const requests = 200
	body := strings.Repeat("x\r\n\r\n", 2000)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	go func() { _, _ = io.WriteString(connection, strings.Repeat(request, requests)) }()
	reader := bufio.NewReader(connection)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, error %v", i, response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	awaitHeld(t, pool, 0)
}

// Guards against a head that is read although memory for it is lacking.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	limits := roomyPool()
	limits.Total = 300 << 10
	address, _, causes := startServer(t, fleet.Limits{}, limits)
	if got := exchange(t, dial(t, address), headOf(16<<10, "a:\r\n")); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got)
	}
	if cause := <-causes; cause != HeadMemory {
		t.Errorf("cause %s", cause)
	}
	if got := exchange(t, dial(t, address), headOf(1<<10, "a: b\r\n")); got != http.StatusOK {
		t.Errorf("status %d of an ordinary request, want 200", got)
	}
}

// Guards against heads and idle connections that stay beyond their time.
func TestTimeLimits(t *testing.T) {
	address, _, causes := startServer(t, fleet.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 5 * time.Second}, roomyPool())
	slow, idle := dial(t, address), dial(t, address)
	if got := exchange(t, slow, "GET / HTTP/1.1\r\n"); got != 0 || <-causes != HeadTooSlow {
		t.Errorf("status %d of an unfinished head", got)
	}
	if got := exchange(t, idle, headOf(200, "a: b\r\n")); got != http.StatusOK {
		t.Errorf("status %d of a request on an idle connection", got)
	}
	if got := exchange(t, idle, ""); got != 0 || <-causes != Idle {
		t.Errorf("status %d without a request", got)
	}
}

// Guards against a full listener that idle connections keep from others.
func TestNewConnectionReplacesIdleOne(t *testing.T) {
	limits := roomyPool()
	limits.MaxClaims = 2
	address, _, _ := startServer(t, fleet.Limits{}, limits)
	dial(t, address)
	dial(t, address)
	for end := time.Now().Add(testTimeout); exchange(t, dial(t, address), headOf(200, "a: b\r\n")) != http.StatusOK; time.Sleep(minStall / 10) {
		if time.Now().After(end) {
			t.Fatal("no further request was answered")
		}
	}
}
