package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

// Guards against a connection that this entry closed and that is taken for one of a caller who left.
func TestEndOfARequestNamesWhoEndedIt(t *testing.T) {
	answered := requestResult{outcome: outcomeCompleted, status: http.StatusOK}
	broken := requestResult{outcome: outcomeBroken, cut: cutServerBroke}
	for _, test := range []struct {
		name     string
		result   requestResult
		cause    error
		limit    callerlimits.Cause
		writeErr error
		outcome  outcome
		cut      cut
	}{
		{"answered", answered, nil, "", nil, outcomeCompleted, ""},
		{"broken", broken, context.Canceled, "", net.ErrClosed, outcomeBroken, cutServerBroke},
		{"caller left", requestResult{}, context.Canceled, "", syscall.EPIPE, outcomeCallerLeft, cutCallerLeft},
		{"time to drain over", requestResult{}, errDrainEnded, "", net.ErrClosed, outcomeDrainEnded, cutDrainEnded},
		{"limit", requestResult{}, context.Canceled, callerlimits.Unread, net.ErrClosed, outcomeLimited, "limit-unread"},
		{"panic", requestResult{}, nil, "", nil, outcomePanicked, cutPanicked},
		{"caller left before the last bytes", answered, nil, "", syscall.ECONNRESET, outcomeCallerLeft, cutCallerLeft},
		{"closed before the last bytes", answered, nil, "", fmt.Errorf("write: %w", net.ErrClosed), outcomeDrainEnded, cutDrainEnded},
		{"limit before the last bytes", answered, nil, callerlimits.CutOff, net.ErrClosed, outcomeLimited, "limit-cut-off"},
	} {
		got := test.result
		if got.outcome == "" {
			got = resultWithoutResponse(test.cause, test.limit)
		}
		got = got.afterWrite(test.writeErr, test.limit)
		if got.outcome != test.outcome || got.cut != test.cut {
			t.Errorf("%s: outcome %q, cut %q, want %q, %q", test.name, got.outcome, got.cut, test.outcome, test.cut)
		}
	}
}

// startLimited serves the handler of a site as a gateway does, and returns the gateway, the
// address and the log.
func startLimited(t *testing.T, site *endSite) (*Gateway, string, *lockedBuffer) {
	t.Helper()
	log := &lockedBuffer{}
	logger := slog.New(slog.NewTextHandler(log, nil))
	site.handler.observer.logger = logger
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := memory.NewPool(memory.Limits{Total: 64 << 20, SmallClaim: 1 << 20, MinStall: time.Second, MaxClaims: 100}, time.Second, func() {})
	limited := callerlimits.NewListener(inner, pool, func() fleet.Limits { return fleet.Limits{} }, func(callerlimits.Cause) {})
	g := &Gateway{handler: site.handler, logger: logger, readinessServer: &http.Server{}}
	g.serveCallers(limited)
	t.Cleanup(func() {
		_ = g.callerServer.Close()
		g.wait.Wait()
	})
	return g, inner.Addr().String(), log
}

// Guards against a stopping entry that exits before it has logged the requests that it cut off.
func TestStoppingEntryLogsTheStreamsThatItCutsOff(t *testing.T) {
	held := make(chan struct{})
	site := startEndSite(t, onceRoute, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(events(1, 3)))
		<-held
	})
	t.Cleanup(func() { close(held) })
	g, address, log := startLimited(t, site)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /item HTTP/1.1\r\nHost: desk.example\r\nX-Id: r-1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAtLeast(conn, make([]byte, 4<<10), len(streamHeader(chunked))); err != nil {
		t.Fatal(err)
	}
	site.handler.stop.begin(time.Now())
	g.cutOff()
	want := "outcome=drain-ended"
	if text := log.String(); !strings.Contains(text, want) || !strings.Contains(text, "cut=drain-ended") || !strings.Contains(text, "events=3") {
		t.Errorf("no line with %s in %q", want, text)
	}
	if left := site.handler.inFlight.Load(); left != 0 {
		t.Errorf("%d requests not recorded", left)
	}
}

// Guards against a response that counts as answered though its last bytes stayed here.
func TestResponseThatDidNotReachTheKernelIsNotAnswered(t *testing.T) {
	const size = 8 << 20
	site := startEndSite(t, fleet.Route{MaxAttempts: 1, Timeout: 5 * time.Second}, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", endSiteHeader, size, strings.Repeat(".", size))
	})
	g, address, log := startLimited(t, site)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /item HTTP/1.1\r\nHost: desk.example\r\nX-Id: r-1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(eventPause)
	site.handler.stop.begin(time.Now())
	g.cutOff()
	if text := log.String(); !strings.Contains(text, "outcome=drain-ended") || strings.Contains(text, "outcome=answered") {
		t.Errorf("log %q", text)
	}
}

// Guards against a connection that a stopping entry closes without a response that it could send.
func TestRequestWithoutAResponseIsAnsweredWhenItIsCutOff(t *testing.T) {
	for _, test := range []struct{ name, protocol, header string }{
		{"no header", "HTTP/1.1", ""},
		{"header", "HTTP/1.1", streamHeader(chunked)},
		{"header without framing", "HTTP/1.1", streamHeader("")},
		{"header to an HTTP/1.0 caller", "HTTP/1.0", streamHeader(chunked)},
	} {
		t.Run(test.name, func(t *testing.T) {
			held := make(chan struct{})
			sent := make(chan struct{}, 1)
			site := startEndSite(t, onceRoute, 1, func(_ *rawBackend, conn *net.TCPConn, request *http.Request) {
				_, _ = io.WriteString(conn, test.header)
				sent <- struct{}{}
				<-held
			})
			t.Cleanup(func() { close(held) })
			g, address, log := startLimited(t, site)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := fmt.Fprintf(conn, "GET /item %s\r\nHost: desk.example\r\nX-Id: r-1\r\n\r\n", test.protocol); err != nil {
				t.Fatal(err)
			}
			<-sent
			time.Sleep(eventPause)
			site.handler.stop.begin(time.Now())
			g.cutOff()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no response: %v, log %q", err, log.String())
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusBadGateway || response.Header.Get("X-Seal") != "" || !strings.Contains(string(body), "entry stopped") {
				t.Errorf("status %d, header %v, body %q, %v", response.StatusCode, response.Header, body, err)
			}
		})
	}
}
