package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// Guards against a server's response that isn't one by RFC 9112 and reaches the caller as complete.
func TestMalformedResponseIsNotForwarded(t *testing.T) {
	route := fleet.Route{Kind: fleet.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second}
	for _, test := range httpresponsetest.Malformed(endSiteHeader) {
		t.Run(test.Name, func(t *testing.T) {
			site := startEndSite(t, route, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, test.Response)
			})
			got := site.send(t, http.MethodPost, "HTTP/1.1", false)
			if got.err == nil && got.status != http.StatusBadGateway {
				t.Errorf("%s, want status 502 or a response that is cut off", got)
			}
		})
	}
}

// Guards against a malformed response that the log doesn't tell from a lost connection.
func TestMalformedResponseIsLogged(t *testing.T) {
	responses := map[string]string{
		`invalid field name \"X Y\"`:        "HTTP/1.1 200 OK\r\n" + endSiteHeader + "X Y: z\r\nContent-Length: 5\r\n\r\nwhole",
		`invalid status \"000\"`:            "HTTP/1.1 000 Unknown\r\n" + endSiteHeader + "Content-Length: 5\r\n\r\nwhole",
		"invalid text after the chunk size": "HTTP/1.1 200 OK\r\n" + endSiteHeader + chunked + "\r\n5 \r\nwhole\r\n0\r\n\r\n",
	}
	for problem, response := range responses {
		var lines lockedBuffer
		site := startEndSite(t, fleet.Route{MaxAttempts: 1, Timeout: 5 * time.Second}, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, response)
		})
		site.handler.observer.logger = slog.New(slog.NewTextHandler(&lines, nil))
		_ = site.call(t, "HTTP/1.1", false)
		if text := lines.String(); !strings.Contains(text, "event=lost") || !strings.Contains(text, "malformed response") || !strings.Contains(text, problem) {
			t.Errorf("%s: log %s", problem, text)
		}
	}
}
