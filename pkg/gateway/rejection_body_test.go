package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// Guards against a rejection whose body never ends and that holds its request back until the deadline.
func TestRejectionWithoutWholeBodyDoesNotHoldRequestBack(t *testing.T) {
	route := fleet.Route{Kind: fleet.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second}
	released := make(chan struct{})
	site := startEndSite(t, route, 2, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
		if backend.id == "p-1" {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Status\r\n"+endSiteHeader+"X-Not-Run: 1\r\nContent-Length: 10\r\n\r\nful")
			<-released
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+endSiteHeader+"Content-Length: 4\r\n\r\nbody")
	})
	t.Cleanup(func() { close(released) })
	if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusOK || got.body != "body" {
		t.Errorf("%s, want the other server's response", got)
	}
}
