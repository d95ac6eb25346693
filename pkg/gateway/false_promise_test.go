package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// Guards against a status that promises that a request has not run, of a server that ran it.
func TestStatusOfServerThatRanRequestIsNotPromise(t *testing.T) {
	routes := map[string]fleet.Route{
		"non-idempotent": {Kind: fleet.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second},
		"stream":         onceRoute,
	}
	for name, route := range routes {
		for _, status := range []int{408, 421, 429, 503} {
			t.Run(fmt.Sprint(name, status), func(t *testing.T) {
				t.Parallel()
				site := startEndSite(t, route, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%sContent-Length: 4\r\n\r\nbusy", status, endSiteHeader)
				})
				if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusBadGateway || got.header.Get("X-Seal") != "" {
					t.Errorf("%s, want status 502 without the server's seal", got)
				}
			})
		}
	}
}

// Guards against a server's response to an idempotent request that isn't passed on unchanged.
func TestStatusOfServerIsForwardedForIdempotentRequest(t *testing.T) {
	route := fleet.Route{Kind: fleet.Idempotent, MaxAttempts: 1, Timeout: 5 * time.Second}
	for _, status := range []int{408, 421, 429, 503} {
		site := startEndSite(t, route, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%sContent-Length: 4\r\n\r\nbusy", status, endSiteHeader)
		})
		if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != status || got.body != "busy" {
			t.Errorf("%s, want status %d unchanged", got, status)
		}
	}
}
