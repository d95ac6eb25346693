package gateway

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that a stopping entry takes on a kept connection and then cuts off.
func TestRequestThatMayOutlastAStoppingEntryIsRefusedAsNotRun(t *testing.T) {
	var ran atomic.Int32
	site := startEndSite(t, streamRoute, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(events(1, 2))+"0\r\n\r\n")
	})
	end := time.Now().Add(streamRoute.Timeout / 2)
	site.handler.drainEnd.Store(&end)
	if got := site.call(t, "HTTP/1.1", false); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || ran.Load() != 0 {
		t.Errorf("%s, Retry-After %q, run %d times", got, got.header.Get("Retry-After"), ran.Load())
	}
	end = time.Now().Add(2 * streamRoute.Timeout)
	site.handler.drainEnd.Store(&end)
	checkComplete(t, site.call(t, "HTTP/1.1", false), events(1, 2))
}
