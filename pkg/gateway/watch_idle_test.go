package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// keepAliveServer answers plain requests on connections that it keeps for idleTime, and streams
// without a length, the last event streamTime after the header and the end endDelay after it.
func keepAliveServer(t *testing.T, idleTime, streamTime, endDelay time.Duration) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		IdleTimeout: idleTime,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Seal", "s")
			w.Header().Set("Keep-Alive", "timeout=1")
			if strings.Contains(r.URL.Path, "plain") {
				time.Sleep(eventPause)
				_, _ = io.WriteString(w, "x")
				return
			}
			w.Header().Set("Content-Type", eventStreamType)
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, events(1, 1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(streamTime)
			_, _ = io.WriteString(w, events(2, 3))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(endDelay)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// Guards against an idle connection that its server closes as stated and that is taken for the server's end.
func TestIdleConnectionClosedInTimeIsNotTheEndOfItsServer(t *testing.T) {
	listener := keepAliveServer(t, time.Second, 550*time.Millisecond, 100*time.Millisecond)
	site := startEndSite(t, onceRoute, 0, nil)
	c := site.handler.control
	c.registry.Put(time.Now(), fleet.Backend{ID: "p-1", Service: testService, Address: listener.Addr().String(), StartedAtMillis: 1})
	recordVersions(c)
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			conn, err := net.Dial("tcp", site.address)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "GET /plain HTTP/1.1\r\nHost: desk.example\r\nX-Id: r-1\r\n\r\n")
			_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
		})
	}
	wait.Wait()
	time.Sleep(400 * time.Millisecond)
	checkComplete(t, site.call(t, "HTTP/1.1", false), events(1, 3))
}
