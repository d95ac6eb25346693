package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// TestGapAfterFirstEventIsNotJoined has a stream break off after one event, and a second
// server leave one out.
func TestGapAfterFirstEventIsNotJoined(t *testing.T) {
	got, _ := resumeWith(t, events(1, 1), events(3, 6), "")
	checkNotComplete(t, got, events(1, 1))
}

// sentAfter returns the Last-Event-Id of each request that reached a server.
func (s *endSite) sentAfter() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lastEventIDs)
}

// resumeAsCaller has a caller resume a stream after event 5, and servers respond with the
// given events in turn.
func resumeAsCaller(t *testing.T, servers int, responses ...string) (received, *endSite) {
	t.Helper()
	var mu sync.Mutex
	sends := 0
	site := startEndSite(t, streamRoute, servers, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		mu.Lock()
		response := responses[min(sends, len(responses)-1)]
		sends++
		mu.Unlock()
		_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(response)+"0\r\n\r\n")
	})
	conn, err := net.Dial("tcp", site.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(conn, "GET /item HTTP/1.1\r\nHost: desk.example\r\nX-Id: r-1\r\nLast-Event-Id: 5\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{err: err}, site
	}
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, header: response.Header, body: string(body), err: err}, site
}

// TestEventsBeforeTheCallersLastEventIDAreNotForwarded has a server ignore the caller's own
// Last-Event-Id, or repeat the event that it names.
func TestEventsBeforeTheCallersLastEventIDAreNotForwarded(t *testing.T) {
	for _, first := range []int{1, 4, 5} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			got, _ := resumeAsCaller(t, 1, events(first, 8))
			checkNotComplete(t, got, "")
		})
	}
}

// TestServerThatIgnoresTheCallersLastEventIDIsReplaced has a second server heed it.
func TestServerThatIgnoresTheCallersLastEventIDIsReplaced(t *testing.T) {
	got, site := resumeAsCaller(t, 2, events(1, 8), events(6, 8))
	checkComplete(t, got, events(6, 8))
	if sent, want := site.sentAfter(), []string{"5", "5"}; !slices.Equal(sent, want) {
		t.Errorf("sent after the events %q, want %q", sent, want)
	}
}

// TestNoContentAfterTheCallersLastEventIsForwarded has a caller resume a stream after its
// last event.
func TestNoContentAfterTheCallersLastEventIsForwarded(t *testing.T) {
	site := startEndSite(t, streamRoute, 1, func(_ *rawBackend, conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n"+endSiteHeader+"\r\n")
	})
	request := mustRequest(t, site.address)
	request.Header.Set("Last-Event-Id", "5")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Errorf("status %d, want %d", response.StatusCode, http.StatusNoContent)
	}
}
