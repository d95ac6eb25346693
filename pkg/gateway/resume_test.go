package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

// resumeCodec is plainCodec with the header X-Resumes, and an ID of each request.
type resumeCodec struct{ plainCodec }

func (c resumeCodec) DecodeRequest(header http.Header) (forward.RequestInfo, error) {
	info, err := c.plainCodec.DecodeRequest(header)
	info.Resumes = header.Get("X-Resumes")
	return info, err
}

// resumeSite is an entry with one server of each of several versions of the software. A
// stream has the events 1 to 4 and breaks off after the second one, unless it is resumed;
// each event names the version that made it.
type resumeSite struct{ address string }

func startResumeSite(t *testing.T, versions ...string) *resumeSite {
	t.Helper()
	now := time.Now()
	c := newTestControl(now)
	route := fleet.Route{
		Name: "r-1", Host: "desk.example", PathPrefix: "/", Kind: fleet.Streaming, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second,
		Destinations: []fleet.Destination{{Service: testService, Weight: 1}},
	}
	c.applyConfiguration(&fleet.Configuration{Version: 2, Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: testService}}})
	for _, version := range versions {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backend := &rawBackend{listener: listener, respond: func(_ *rawBackend, conn *net.TCPConn, request *http.Request) {
			writeVersionedStream(conn, request, version)
		}}
		backend.serving.Go(backend.serve)
		t.Cleanup(func() {
			backend.end()
			backend.serving.Wait()
		})
		c.registry.Put(now, fleet.Backend{ID: "i-" + version, Service: testService, Address: listener.Addr().String(), Software: version, StartedAtMillis: 1})
	}
	recordVersions(c)
	h := newEndHandler(t, c)
	h.headerCodec = resumeCodec{}
	return &resumeSite{address: serveHandler(t, h)}
}

// serverLatency is long enough for an entry to prefer a server that it hasn't used yet.
const serverLatency = 40 * time.Millisecond

func writeVersionedStream(conn *net.TCPConn, request *http.Request, version string) {
	event := func(id int) string { return chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, version)) }
	time.Sleep(serverLatency)
	// The server closes each connection, so the entry must not use it again.
	header := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nX-Seal: s\r\nX-Id: " + request.Header.Get("X-Id") + "\r\n" + chunked + "\r\n"
	if isResumed(request) {
		_, _ = io.WriteString(conn, header+event(3)+event(4)+"0\r\n\r\n")
		return
	}
	// The connection is closed in order without a last chunk: a reset could overtake the
	// events.
	_, _ = io.WriteString(conn, header+event(1)+event(2))
}

// get sends a request with further header lines and reads the response to its end.
func (s *resumeSite) get(t *testing.T, id string, header ...string) received {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	lines := append([]string{"GET /item HTTP/1.1", "Host: desk.example", "X-Id: " + id}, header...)
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// versionsIn returns the versions that made the events of a stream, without repetitions in
// a row.
func versionsIn(body string) []string {
	var versions []string
	for line := range strings.Lines(body) {
		version, ok := strings.CutPrefix(line, "data: ")
		version = strings.TrimSpace(version)
		if ok && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// Guards against a stream whose caller resumes it and that goes on at another version of
// the software.
func TestTakenUpStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	site := startResumeSite(t, "v1", "v2")
	for i := range 8 {
		id := fmt.Sprintf("first-%d", i)
		begun := site.get(t, id)
		if len(versionsIn(begun.body)) != 1 || begun.err == nil {
			t.Fatalf("got %s, want a stream of one version that breaks off", begun)
		}
		rest := site.get(t, fmt.Sprintf("second-%d", i), "Last-Event-Id: 2", "X-Resumes: "+id)
		if rest.status != http.StatusOK || len(versionsIn(begun.body+rest.body)) != 1 {
			t.Errorf("stream %q goes on with %s", begun.body, rest)
		}
	}
}

// Guards against a guess at the version of a stream that nobody knows.
func TestStreamOfUnknownVersionIsRefusedWhereSeveralServe(t *testing.T) {
	site := startResumeSite(t, "v1", "v2")
	for _, header := range [][]string{{"Last-Event-Id: 2", "X-Resumes: unknown"}, {"Last-Event-Id: 2"}} {
		got := site.get(t, "r-2", header...)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("%q: got %s, want a refusal as not run", header, got)
		}
	}
}

// Guards against refusals of resumed streams where no other version can have begun them.
func TestStreamOfUnknownVersionGoesOnWhereOneServes(t *testing.T) {
	site := startResumeSite(t, "v1")
	if got := site.get(t, "r-2", "Last-Event-Id: 2", "X-Resumes: unknown"); got.status != http.StatusOK || got.err != nil {
		t.Errorf("got %s", got)
	}
}
