package serverfaults

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// call is a caller's request on a connection of its own.
type call struct {
	path string
	plan backendserver.Plan
	// http10 makes the caller use HTTP/1.0.
	http10 bool
	// slow makes the caller read little at a time, with pauses and a small receive
	// buffer.
	slow bool
	// budget is how long the caller waits; callBudget if it is zero.
	budget time.Duration
	// content identifies what is asked for; the request's ID if it is empty.
	content string
	// padding is the number of bytes by which the body is longer.
	padding int
	// lastEvent is the number of the last event that the caller has of a stream that it
	// resumes, resumes the request that brought the first one. Both may be missing.
	lastEvent int
	resumes   string
}

// caller is the connection of a call.
type caller struct {
	call
	id   string
	conn *net.TCPConn
	raw  []byte
	// err is the read error that ended the connection.
	err error
}

// lastID is the number of the last call.
var lastID atomic.Int64

// send sends a request to an entry.
func send(t *testing.T, entry *platformsite.Entry, request call) *caller {
	t.Helper()
	c, err := dial(entry, request, func(*caller) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.conn.Close() })
	return c
}

// dial connects to an entry and sends a request. prepare is called before it is sent.
func dial(entry *platformsite.Entry, request call, prepare func(*caller)) (*caller, error) {
	dialer := net.Dialer{}
	if request.slow {
		dialer.Control = setSmallReceiveBuffer
	}
	conn, err := dialer.Dial("tcp", entry.Callers)
	if err != nil {
		return nil, err
	}
	c := &caller{call: request, id: fmt.Sprintf("q%06d", lastID.Add(1)), conn: conn.(*net.TCPConn)}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	prepare(c)
	_, err = io.WriteString(conn, c.encode())
	return c, err
}

// smallReceiveBuffer is the size of the receive buffer of a slow caller, or of a server that
// doesn't read, in bytes.
const smallReceiveBuffer = 4096

func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.Join(err, failure)
}

// encode returns the bytes of the request.
func (c *caller) encode() string {
	plan, err := json.Marshal(c.plan)
	if err != nil {
		panic(err)
	}
	protocol := "HTTP/1.1"
	if c.http10 {
		protocol = "HTTP/1.0"
	}
	budget := c.budget
	if budget == 0 {
		budget = callBudget
	}
	content := c.content
	if content == "" {
		content = c.id
	}
	body := fmt.Sprintf(`{"request":%q}`, content) + strings.Repeat(" ", c.padding)
	header := []string{
		fmt.Sprintf("POST %s%s %s", c.path, content, protocol),
		"Host: " + platformsite.Host,
		fmt.Sprintf("Content-Length: %d", len(body)),
		backendserver.HeaderRequestID + ": " + c.id,
		fmt.Sprintf("%s: %d", backendserver.HeaderBudget, budget.Milliseconds()),
		backendserver.HeaderPlan + ": " + string(plan),
	}
	if strings.HasPrefix(c.path, backendserver.StreamPath) {
		header = append(header, backendserver.HeaderModel+": "+modelName, backendserver.HeaderTokens+": 100,50")
	}
	if c.lastEvent > 0 {
		header = append(header, fmt.Sprintf("%s: %d", backendserver.HeaderLastEvent, c.lastEvent))
	}
	if c.resumes != "" {
		header = append(header, backendserver.HeaderResumes+": "+c.resumes)
	}
	return strings.Join(header, "\r\n") + "\r\n\r\n" + body
}

const (
	readBytes = 64 << 10
	// slowReadBytes and slowReadPause are the size of a slow caller's reads and the time
	// between two of them.
	slowReadBytes = 4 << 10
	slowReadPause = 2 * time.Millisecond
)

// read reads once from the connection.
func (c *caller) read() {
	size := readBytes
	if c.slow {
		size = slowReadBytes
		time.Sleep(slowReadPause)
	}
	buffer := make([]byte, size)
	n, err := c.conn.Read(buffer)
	c.raw = append(c.raw, buffer[:n]...)
	c.err = err
}

// awaitPieces reads until so many pieces of the response have arrived, and fails the test
// if the response ends before.
func (c *caller) awaitPieces(t *testing.T, count int) {
	t.Helper()
	want := strings.Join(c.plan.Pieces(c.id, c.path)[:count], "")
	for {
		got := parse(c.raw, c.err)
		if len(got.body) >= len(want) {
			return
		}
		if got.end != endNone {
			t.Fatalf("%s ended before piece %d: %s", c.id, count, got)
		}
		c.read()
	}
}

// finish reads the rest of the response.
func (c *caller) finish() received {
	for {
		if got := parse(c.raw, c.err); got.end != endNone {
			_ = c.conn.Close()
			return got
		}
		c.read()
	}
}

// end is how a response ended, as the caller sees it.
type end string

const (
	// endNone: more may come.
	endNone end = ""
	// endComplete: the last chunk or as many bytes as the header states were received.
	endComplete end = "complete"
	// endConnection: the connection that delimits the response was closed in order.
	endConnection end = "end of the connection"
	// endShort: the connection was closed in order before the response's end.
	endShort end = "closed too early"
	// endReset: the connection was reset.
	endReset end = "reset"
	// endTimeout: the response didn't end in time.
	endTimeout end = "no end in time"
	// endMalformed: the bytes aren't a response, or there are more after its end.
	endMalformed end = "malformed"
)

// received is what a caller has received of a response.
type received struct {
	status int
	header http.Header
	body   string
	end    end
}

// String describes what was received, without most of the body.
func (r received) String() string {
	const maxShown = 160
	return fmt.Sprintf("status %d, %d bytes ending in %q, %s", r.status, len(r.body), r.body[max(len(r.body)-maxShown, 0):], r.end)
}

// parse decodes the bytes of a response and the error that ended its connection.
func parse(raw []byte, err error) received {
	head, rest, found := bytes.Cut(raw, []byte("\r\n\r\n"))
	if !found {
		return received{end: endOf(err, endShort)}
	}
	lines := strings.Split(string(head), "\r\n")
	got := received{header: http.Header{}}
	if _, scanErr := fmt.Sscanf(lines[0], "HTTP/1.%d %d", new(int), &got.status); scanErr != nil {
		return received{end: endMalformed}
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		got.header.Add(name, strings.TrimSpace(value))
	}
	switch {
	case got.status < http.StatusOK:
		return parse(rest, err)
	case got.header.Get("Transfer-Encoding") != "":
		got.parseChunks(rest, err)
	case got.header.Get("Content-Length") != "":
		got.parseLength(rest, err)
	case got.status == http.StatusNoContent || got.status == http.StatusNotModified:
		got.end = endComplete
	default:
		got.body, got.end = string(rest), endOf(err, endConnection)
	}
	return got
}

// parseChunks decodes a body in chunks.
func (r *received) parseChunks(rest []byte, err error) {
	for {
		line, after, found := bytes.Cut(rest, []byte("\r\n"))
		if !found {
			r.end = endOf(err, endShort)
			return
		}
		var size int
		if _, scanErr := fmt.Sscanf(string(line), "%x", &size); scanErr != nil {
			r.end = endMalformed
			return
		}
		if size == 0 {
			r.end = endOfLastChunk(after, err)
			return
		}
		r.body += string(after[:min(size, len(after))])
		if len(after) < size+2 {
			r.end = endOf(err, endShort)
			return
		}
		rest = after[size+2:]
	}
}

// endOfLastChunk returns the end of a response by what follows the size of its last chunk.
func endOfLastChunk(after []byte, err error) end {
	switch {
	case string(after) == "\r\n":
		return endComplete
	case len(after) < len("\r\n"):
		return endOf(err, endShort)
	default:
		return endMalformed
	}
}

// parseLength decodes a body with a length.
func (r *received) parseLength(rest []byte, err error) {
	var length int
	if _, scanErr := fmt.Sscan(r.header.Get("Content-Length"), &length); scanErr != nil {
		r.end = endMalformed
		return
	}
	r.body = string(rest[:min(length, len(rest))])
	switch {
	case len(rest) < length:
		r.end = endOf(err, endShort)
	case len(rest) > length:
		r.end = endMalformed
	default:
		r.end = endComplete
	}
}

// endOf returns the end that a read error means; closed is that of an orderly one.
func endOf(err error, closed end) end {
	var network net.Error
	switch {
	case err == nil:
		return endNone
	case errors.Is(err, io.EOF):
		return closed
	case errors.As(err, &network) && network.Timeout():
		return endTimeout
	default:
		return endReset
	}
}

// check returns an error unless a caller has received the whole response, or sees that it
// hasn't.
func (c *caller) check(got received) error {
	want := strings.Join(c.plan.Pieces(c.id, c.path), "")
	isWhole := got.end == endComplete || got.end == endConnection
	switch {
	case got.end == endTimeout, got.end == endMalformed:
		return fmt.Errorf("%s %s: %s", c.id, c.path, got)
	case got.status == 0:
		return nil
	case got.status != http.StatusOK:
		return c.checkRefusal(got)
	case !strings.HasPrefix(want, got.body):
		return fmt.Errorf("%s %s: other bytes than the server's: %s", c.id, c.path, got)
	case isWhole && got.body != want:
		return fmt.Errorf("%s %s: looks complete after %d of %d bytes: %s", c.id, c.path, len(got.body), len(want), got)
	}
	return nil
}

// refusals are the statuses of an entry's own responses.
var refusals = map[int]bool{http.StatusBadGateway: true, http.StatusServiceUnavailable: true, http.StatusGatewayTimeout: true}

func (c *caller) checkRefusal(got received) error {
	if !refusals[got.status] || got.header.Get(backendserver.HeaderSeal) != "" {
		return fmt.Errorf("%s %s: another response than the server's: %s", c.id, c.path, got)
	}
	return nil
}

// checkServed returns an error unless a caller has received the whole response.
func (c *caller) checkServed(got received) error {
	if err := c.check(got); err != nil {
		return err
	}
	if got.status != http.StatusOK || (got.end != endComplete && got.end != endConnection) {
		return fmt.Errorf("%s %s: not served: %s", c.id, c.path, got)
	}
	return nil
}

// runs returns the runs of a call's request at all servers.
func (c *caller) runs(s *platformsite.Site) []backendserver.Run {
	var runs []backendserver.Run
	for _, server := range s.Servers {
		runs = append(runs, server.Runs(c.id)...)
	}
	return runs
}

// verify fails the test unless a caller has received the whole response, or sees that it
// hasn't. A response that promises that the request hasn't run must be true.
func verify(t *testing.T, s *platformsite.Site, c *caller, got received) {
	t.Helper()
	runs := c.runs(s)
	t.Logf("%s %s %s: %s, %d runs", c.id, c.path, c.plan.Framing, got, len(runs))
	if err := c.check(got); err != nil {
		t.Error(err)
	}
	if got.status == http.StatusServiceUnavailable && len(runs) > 0 {
		t.Errorf("%s %s: ran, but got %s", c.id, c.path, got)
	}
}

// verifyServed fails the test unless a caller has received the whole response.
func verifyServed(t *testing.T, c *caller, got received) {
	t.Helper()
	if err := c.checkServed(got); err != nil {
		t.Error(err)
	}
}

// warmUp waits until streams and plain requests are served.
func warmUp(t *testing.T, s *platformsite.Site) {
	t.Helper()
	for _, path := range []string{platformsite.AdvicePath, platformsite.BookingPath} {
		c, _ := sendUntilStarted(t, s, s.Entries[mainEntry], call{path: path, plan: streamPlan(backendserver.FramingLength)}, 0)
		verifyServed(t, c, c.finish())
	}
}

// sendUntilStarted sends a request, again under a new ID after a refusal, until the given
// number of pieces of its response has arrived. It returns the server that sends them.
func sendUntilStarted(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, request call, pieces int) (*caller, *platformsite.ServerProcess) {
	t.Helper()
	var c *caller
	err := site.Eventually(testContext(t), func() error {
		c = send(t, entry, request)
		for c.err == nil && !bytes.Contains(c.raw, []byte("\r\n\r\n")) {
			c.read()
		}
		if got := parse(c.raw, c.err); got.status != http.StatusOK {
			return fmt.Errorf("%s: not started: %s", c.id, got)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	c.awaitPieces(t, pieces)
	return c, serverOf(t, s, parse(c.raw, c.err).header.Get(backendserver.HeaderServer))
}

// serverOf returns the server with an ID.
func serverOf(t *testing.T, s *platformsite.Site, id string) *platformsite.ServerProcess {
	t.Helper()
	for _, server := range s.Servers {
		if server.ID == id {
			return server
		}
	}
	t.Fatalf("no server %q", id)
	return nil
}
