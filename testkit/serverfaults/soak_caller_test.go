package serverfaults

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// soakOverdue is how long after its budget a caller gives up a response.
	soakOverdue = 2 * time.Second
	// strayWait is how long a caller looks for bytes before its next request.
	strayWait = time.Millisecond
	// shortUpload and longUpload bound the lengths of uploads, in bytes.
	shortUpload = 256 << 10
	longUpload  = 3_900_000
	// uploadPart is the length of the parts of an upload in chunks, in bytes.
	uploadPart = 16 << 10
	// latePercent is the share of the responses that are ready at about their deadline, up to
	// lateBefore before it, in milliseconds.
	latePercent = 4
	lateBefore  = 80
	// framedPercent is the share of the responses that have a length.
	framedPercent = 15
	// uploadEnd is how long a caller that has its response goes on with its upload.
	uploadEnd = time.Second
)

// exchange is one request with what its caller got.
type exchange struct {
	id, method, path, body, model string
	plan                          backendserver.Plan
	spoil                         *backendserver.Spoil
	budget                        time.Duration
	entry                         int
	// reused is set if the connection has carried another request.
	reused bool
	sent   time.Time
	// wrote is the time at which the last byte was sent; zero if it wasn't.
	wrote time.Time
	ended time.Time
	// left is set if the caller closed the connection.
	left bool
	// stray are bytes that came before the request.
	stray string
	answer
}

func (x *exchange) String() string {
	spoil := "none"
	if x.spoil != nil {
		spoil = fmt.Sprintf("%+v", *x.spoil)
	}
	return fmt.Sprintf("%s %s %s entry %d sent %s wrote +%s ended +%s budget %s upload %d reused=%t left=%t plan %+v spoil %s: %s error=%v",
		x.id, x.method, x.path, x.entry+1, clock(x.sent), since(x.sent, x.wrote), since(x.sent, x.ended), x.budget, len(x.body), x.reused, x.left, x.plan, spoil, x.received, x.err)
}

func clock(at time.Time) string { return at.UTC().Format("15:04:05.000") }

func since(from, to time.Time) string {
	if to.IsZero() {
		return "never"
	}
	return to.Sub(from).Round(time.Millisecond).String()
}

// runsOnce reports whether the request must run at most once.
func (x *exchange) runsOnce() bool {
	return strings.HasPrefix(x.path, platformsite.AdvicePath) || strings.HasPrefix(x.path, platformsite.BookingPath)
}

// isWhole reports whether the response ended as complete.
func (x *exchange) isWhole() bool { return x.end == endComplete || x.end == endConnection }

// newExchange returns a random request.
func (s *soak) newExchange(random *rand.Rand) *exchange {
	x := &exchange{id: fmt.Sprintf("k%07d", lastID.Add(1)), method: http.MethodPost, budget: s.shape.plainBudget}
	switch n := random.IntN(100); {
	case n < 35:
		x.path = platformsite.AdvicePath
	case n < 50:
		x.path = platformsite.BatchPath
	case n < 80:
		x.path = platformsite.BookingPath
	default:
		x.path, x.method = platformsite.StockPath, http.MethodGet
	}
	x.path += "item"
	if strings.HasPrefix(x.path, backendserver.StreamPath) {
		x.budget = time.Duration(800+random.IntN(4200)) * time.Millisecond
		x.model = fmt.Sprintf("m%d", 1+random.IntN(3))
	}
	x.plan = s.newPlan(random, x)
	x.spoil = s.newSpoil(random)
	if x.method == http.MethodPost {
		x.body = s.newBody(random, x)
	}
	return x
}

// newPlan returns a random plan of a response. A plain response takes up to 30 ms, most
// streams up to one second.
func (s *soak) newPlan(random *rand.Rand, x *exchange) backendserver.Plan {
	plan := backendserver.Plan{Framing: backendserver.FramingChunks, Events: 1, PieceBytes: random.IntN(100), GapMillis: random.IntN(3)}
	if x.model != "" {
		plan.Events, plan.GapMillis = 3+random.IntN(35), 2+random.IntN(30)
	}
	if x.model != "" && random.IntN(20) == 0 {
		plan.GapMillis += 60
	}
	if random.IntN(100) < latePercent {
		// The response is ready at about the deadline, so that both sides end the request.
		plan.DelayMillis = int(x.budget.Milliseconds()) - random.IntN(lateBefore)
	}
	switch n := random.IntN(100); {
	case n < s.unframedPercent:
		plan.Framing = backendserver.FramingConnection
	case n >= 100-framedPercent:
		plan.Framing = backendserver.FramingLength
	}
	if random.IntN(100) < s.breakPercent {
		plan.Stop = []backendserver.Stop{backendserver.StopClose, backendserver.StopReset}[random.IntN(2)]
		plan.Inside = random.IntN(2) == 0
		plan.StopAfter = random.IntN(max(plan.Events, 2))
	}
	if plan.Framing == backendserver.FramingConnection && plan.Stop == backendserver.StopClose {
		// Nothing would tell such a response from a whole one.
		plan.Stop = backendserver.StopReset
	}
	return plan
}

func (s *soak) newSpoil(random *rand.Rand) *backendserver.Spoil {
	if random.IntN(100) >= s.spoilPercent {
		return nil
	}
	return &backendserver.Spoil{
		Kind: s.spoils[random.IntN(len(s.spoils))], Variant: random.IntN(1 << 16), Percent: 60, WaitMicros: random.IntN(10_000),
	}
}

// newBody returns a random body; a long one if a server may respond before it is read.
func (s *soak) newBody(random *rand.Rand, x *exchange) string {
	early := x.spoil != nil && (x.spoil.Kind == backendserver.SpoilEarly || x.spoil.Kind == backendserver.SpoilEarlyReset)
	length := 20 + random.IntN(2000)
	switch {
	case early && random.IntN(2) == 0:
		length = longUpload
	case early:
		length = shortUpload + random.IntN(longUpload-shortUpload)
	case random.IntN(25) == 0:
		length = 8<<10 + random.IntN(56<<10)
	}
	return strings.Repeat(x.id+".", length/9+1)[:length]
}

// soakCaller is a caller that uses a connection until it ends.
type soakCaller struct {
	soak   *soak
	random *rand.Rand
	// deaf has the caller use connections that the entry wants to close.
	deaf   bool
	entry  int
	conn   *net.TCPConn
	reader *bufio.Reader
	count  int
}

func (c *soakCaller) play() {
	for time.Now().Before(c.soak.ends) {
		if c.conn == nil && !c.connect() {
			time.Sleep(connectPause)
			continue
		}
		x := c.soak.newExchange(c.random)
		c.exchange(x)
		c.soak.add(x)
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.soak.shape.pause)))
	}
	c.close()
}

func (c *soakCaller) connect() bool {
	c.entry = c.random.IntN(len(c.soak.site.Entries))
	conn, err := net.DialTimeout("tcp", c.soak.site.Entries[c.entry].Callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.count = conn.(*net.TCPConn), bufio.NewReader(conn), 0
	return true
}

func (c *soakCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads the response.
func (c *soakCaller) exchange(x *exchange) {
	x.entry, x.reused = c.entry, c.count > 0
	c.count++
	if c.random.IntN(2) == 0 {
		x.stray = c.lookForBytes()
	}
	patience := x.budget + soakOverdue
	if c.random.IntN(100) < c.soak.leavePercent {
		patience = time.Duration(c.random.Int64N(int64(x.budget)))
		x.left = true
	}
	chunked := c.random.IntN(5) == 0
	x.sent = time.Now()
	_ = c.conn.SetDeadline(x.sent.Add(patience))
	written := make(chan time.Time, 1)
	go func(conn net.Conn) { written <- x.write(conn, chunked) }(c.conn)
	x.answer = readAnswer(c.reader)
	x.ended = time.Now()
	x.left = x.left && x.end == endTimeout
	isUploaded := c.awaitUpload(x, written)
	stays := !strings.EqualFold(x.header.Get("Connection"), "close") || c.deaf
	if x.end != endComplete || !isUploaded || !stays {
		c.close()
	}
}

// awaitUpload waits for the end of the request, and reports whether it was sent whole.
func (c *soakCaller) awaitUpload(x *exchange, written chan time.Time) bool {
	if x.end != endComplete {
		// Nothing more is expected, so that the upload need not go on.
		c.close()
	} else {
		_ = c.conn.SetDeadline(time.Now().Add(uploadEnd))
	}
	x.wrote = <-written
	return !x.wrote.IsZero()
}

// lookForBytes returns the bytes that came before a request.
func (c *soakCaller) lookForBytes() string {
	_ = c.conn.SetReadDeadline(time.Now().Add(strayWait))
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return ""
	}
	stray, _ := c.reader.Peek(c.reader.Buffered())
	return string(stray)
}

// write sends the request and returns the time at which the last byte was sent; zero if it
// failed.
func (x *exchange) write(conn net.Conn, chunked bool) time.Time {
	if _, err := io.WriteString(conn, x.encodeHeader(chunked)); err != nil {
		return time.Time{}
	}
	body := io.Reader(strings.NewReader(x.body))
	if chunked && x.method == http.MethodPost {
		body = strings.NewReader(inChunks(x.body))
	}
	if _, err := io.Copy(conn, body); err != nil {
		return time.Time{}
	}
	return time.Now()
}

// encodeHeader returns the header of the request.
func (x *exchange) encodeHeader(chunked bool) string {
	lines := []string{
		fmt.Sprintf("%s %s HTTP/1.1", x.method, x.path),
		"Host: " + platformsite.Host,
		backendserver.HeaderRequestID + ": " + x.id,
		fmt.Sprintf("%s: %d", backendserver.HeaderBudget, x.budget.Milliseconds()),
		backendserver.HeaderPlan + ": " + encode(x.plan),
	}
	if x.spoil != nil {
		lines = append(lines, backendserver.HeaderSpoil+": "+encode(x.spoil))
	}
	if x.model != "" {
		lines = append(lines, backendserver.HeaderModel+": "+x.model, backendserver.HeaderTokens+": 100,50")
	}
	switch {
	case x.method == http.MethodGet:
	case chunked:
		lines = append(lines, "Transfer-Encoding: chunked")
	default:
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(x.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func encode(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

func inChunks(body string) string {
	var out strings.Builder
	for len(body) > 0 {
		part := body[:min(uploadPart, len(body))]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		body = body[len(part):]
	}
	out.WriteString("0\r\n\r\n")
	return out.String()
}
