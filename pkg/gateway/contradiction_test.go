package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

const contradictoryResponse = "HTTP/1.1 503 Status\r\n" + endSiteHeader + "X-Not-Run: 1\r\nX-Contradiction: two IDs\r\nX-Retry-Millis: 60000\r\nContent-Length: 0\r\n\r\n"

// Guards against a rejection that is believed though its header is that of two responses.
func TestContradictoryRejectionIsNotPromise(t *testing.T) {
	routes := map[string]fleet.Route{
		"non-idempotent": {Kind: fleet.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second},
		"stream":         onceRoute,
	}
	for name, route := range routes {
		t.Run(name, func(t *testing.T) {
			site := startEndSite(t, route, 2, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprint(conn, contradictoryResponse)
			})
			if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusBadGateway {
				t.Errorf("%s, want status 502", got)
			}
			if len(site.servers) != 1 {
				t.Errorf("sent to %v, want one send", site.servers)
			}
		})
	}
}

// Guards against an idempotent request that isn't sent again after such a header.
func TestContradictoryRejectionIsLostSendOfIdempotentRequest(t *testing.T) {
	route := fleet.Route{Kind: fleet.Idempotent, MaxAttempts: 2, Timeout: 5 * time.Second}
	site := startEndSite(t, route, 2, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
		if backend.id == "p-1" {
			_, _ = fmt.Fprint(conn, contradictoryResponse)
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+endSiteHeader+"Content-Length: 4\r\n\r\nbody")
	})
	if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusOK || got.body != "body" {
		t.Errorf("%s, want the other server's response", got)
	}
	if !slices.Equal(site.servers, []string{"p-1", "p-2"}) {
		t.Errorf("sent to %v, want p-1 and then p-2", site.servers)
	}
}

// Guards against a server that gets no requests for the time that such a header names.
func TestContradictoryRejectionSetsNoServerAside(t *testing.T) {
	route := fleet.Route{Kind: fleet.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second}
	var answered atomic.Bool
	site := startEndSite(t, route, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		if answered.CompareAndSwap(false, true) {
			_, _ = fmt.Fprint(conn, contradictoryResponse)
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+endSiteHeader+"Content-Length: 4\r\n\r\nbody")
	})
	_ = site.send(t, http.MethodPost, "HTTP/1.1", false)
	if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusOK {
		t.Errorf("%s, want the response of the next request", got)
	}
}

// Guards against a request that waits behind a header of two responses of which the last isn't its own.
func TestContradictoryResponseOfAnotherRequestIsLostSend(t *testing.T) {
	route := fleet.Route{Kind: fleet.Idempotent, MaxAttempts: 2, Timeout: 5 * time.Second}
	site := startEndSite(t, route, 2, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
		if backend.id == "p-1" {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Id: another\r\nX-Contradiction: two IDs\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+endSiteHeader+"Content-Length: 4\r\n\r\nbody")
	})
	if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusOK || got.body != "body" {
		t.Errorf("%s, want the other server's response", got)
	}
}
