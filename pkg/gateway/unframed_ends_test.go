package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// TestEmptyUnframedStreamOfRunningServerIsComplete has a running server end a stream
// without an event with its connection.
func TestEmptyUnframedStreamOfRunningServerIsComplete(t *testing.T) {
	for _, route := range []fleet.Route{streamRoute, onceRoute} {
		site := startEndSite(t, route, 2, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, streamHeader(""))
		})
		checkComplete(t, site.call(t, "HTTP/1.1", false), "")
		if sent := site.sentAfter(); len(sent) != 1 {
			t.Errorf("sent after the events %q, want one send", sent)
		}
	}
}

// TestEndOfServerIsNotEndOfEmptyUnframedStream ends a server, leaving or not, before the
// first event.
func TestEndOfServerIsNotEndOfEmptyUnframedStream(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		t.Run(fmt.Sprint(isLeaving), func(t *testing.T) {
			t.Parallel()
			var site *endSite
			site = startEndSite(t, onceRoute, 1, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, streamHeader(""))
				if isLeaving {
					endLeavingServer(site, backend)
					return
				}
				time.Sleep(eventPause)
				backend.end()
			})
			checkNotComplete(t, site.call(t, "HTTP/1.1", false), "")
		})
	}
}

// TestCompleteUnframedStreamOfLeavingServerIsNotCutOff has the only server of a route leave
// and end with the last event of a stream that may be resumed.
func TestCompleteUnframedStreamOfLeavingServerIsNotCutOff(t *testing.T) {
	var site *endSite
	site = startEndSite(t, streamRoute, 1, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, streamHeader("")+events(1, 3))
		endLeavingServer(site, backend)
	})
	checkComplete(t, site.call(t, "HTTP/1.1", false), events(1, 3))
}

// Guards against a kind of evidence that counts as complete since nobody said otherwise.
func TestOnlyFramingAndRunningServerCompleteResponse(t *testing.T) {
	for evidence := endUnconfirmed; evidence <= endRequestUnwritten+1; evidence++ {
		want := evidence == endFramed || evidence == endServerRunning
		if err := evidence.err(); (err == nil) != want {
			t.Errorf("evidence %d (%s): error %v", evidence, evidence, err)
		}
	}
}
