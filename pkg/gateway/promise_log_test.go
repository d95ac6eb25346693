package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// Guards against a send that counts as not run without a line on what said so.
func TestRejectedSendLogsWhatSaidNotRun(t *testing.T) {
	site := startEndSite(t, onceRoute, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Status\r\n"+endSiteHeader+"X-Not-Run: full\r\nContent-Length: 0\r\n\r\n")
	})
	var log lockedBuffer
	site.handler.observer.logger = slog.New(slog.NewTextHandler(&log, nil))
	if got := site.send(t, http.MethodPost, "HTTP/1.1", false); got.status != http.StatusServiceUnavailable {
		t.Fatal(got)
	}
	for _, want := range []string{`event=not-run`, `status=503 not_run_by="X-Not-Run: full" sealed=true skipped=0 connection=127.0.0.1:`, "outcome=not-run", "sends=1 may_have_run=false"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in\n%s", want, log.String())
		}
	}
}

// Guards against a status that promises and leaves no line.
func TestPromisesOfServersAreAlwaysLogged(t *testing.T) {
	const each = 200
	var log bytes.Buffer
	x := newObservedExchange(t, &log)
	x.route = &fleet.Route{Name: "r-1", Kind: fleet.Idempotent, Timeout: time.Second}
	for range each {
		x.handler.observer.requestFinished(x, requestResult{outcome: outcomeCompleted, status: http.StatusTooManyRequests})
	}
	if got := strings.Count(log.String(), "status=429"); got != each {
		t.Errorf("%d lines, want %d", got, each)
	}
}
