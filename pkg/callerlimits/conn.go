package callerlimits

import (
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/memory"
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// phase is what a connection does.
type phase uint8

const (
	// phaseIdle: between requests.
	phaseIdle phase = iota
	// phaseHead: a part of a head was read.
	phaseHead
	// phaseRequest: the head was read.
	phaseRequest
	// phaseClosing: no further request is read, and the last response is being delivered.
	phaseClosing
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	claim    *memory.Claim
	closing  sync.Once

	mu    sync.Mutex
	phase phase
	// since is when the phase began. overdue is set if a sweep found it too long.
	since   time.Time
	overdue bool
	head    headScanner
	// reserved is what is reserved for the head.
	reserved int64
	// aheadLines is how many lines net/http may have read ahead of the next request.
	aheadLines int
	// ended is set once reads fail, writing while a write is under way.
	ended   bool
	writing bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// exceeded is the limit on time that a sweep found exceeded, endedBy the limit that has
	// ended the connection; empty for none.
	exceeded Cause
	endedBy  Cause
	// writeErr is the error of the first write that failed.
	writeErr error
	// responseEnded is called once the current response has ended; nil if nobody waits.
	responseEnded func(error)
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return inner.CloseWrite()
}

// Read implements net.Conn. The bytes of a head are returned once memory for them is
// reserved.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, c.readError(err)
	}
	now := time.Now()
	c.claim.Moved(now, n)
	need, tooLarge := c.received(now, p[:n], len(p))
	if tooLarge {
		return 0, c.refuse(HeadTooLarge, p)
	}
	if need > 0 && c.listener.pool.Reserve(c.claim, memory.Head, need) != nil {
		return 0, c.refuse(HeadMemory, p)
	}
	return n, err
}

// errEnded is the error of reads once a limit has ended the connection. net/http closes the
// connection after a timeout without a response of its own.
var errEnded = os.ErrDeadlineExceeded

// readError returns the error of a read without data.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return errEnded
	}
	return err
}

// received scans the bytes of a read of at most size bytes. It returns the number of bytes to reserve, and whether the
// head exceeds its limit.
func (c *Conn) received(now time.Time, data []byte, size int) (need int64, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseRequest:
		c.countAhead(data, size)
		return 0, false
	case phaseIdle:
		c.resume()
		c.setPhase(now, phaseHead)
		c.head, c.reserved = headScanner{}, 0
	}
	rest, ended := c.head.scan(data)
	if limit := c.listener.limits().MaxHeaderBytes; limit > 0 && c.head.size > limit+headerSlack {
		return 0, true
	}
	cost := c.head.cost()
	need = cost - c.reserved
	c.reserved = cost
	if ended {
		c.aheadLines = bytes.Count(rest, lineEnd)
		c.setPhase(now, phaseRequest)
	}
	return need, false
}

// resume undoes the end of an idle connection from which a request was read meanwhile: its
// caller can't know that it won't be served.
func (c *Conn) resume() {
	if !c.ended {
		return
	}
	c.ended, c.endedBy = false, ""
	c.claim.Resume()
	// If it fails, so will the next read.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// bufferBytes is the size of net/http's buffer of a connection. It is filled by reads of at
// most this size; larger ones go to a body.
const bufferBytes = 4 << 10

var lineEnd = []byte{'\n'}

// countAhead counts the lines that may be left in net/http's buffer after the request: those
// of the last read, and of single bytes after it, which net/http reads while it serves the
// request.
func (c *Conn) countAhead(data []byte, size int) {
	switch {
	case size > bufferBytes:
		c.aheadLines = 0
	case size == 1:
		c.aheadLines += bytes.Count(data, lineEnd)
	default:
		c.aheadLines = bytes.Count(data, lineEnd)
	}
}

// minAheadLines is the number of lines read ahead from which on memory is reserved for them.
const minAheadLines = 32

// requestEnded releases what was reserved for a request, and reserves what the lines read
// ahead will need.
func (c *Conn) requestEnded() {
	c.listener.pool.EndRequest(c.claim)
	c.mu.Lock()
	lines := c.aheadLines
	c.aheadLines = 0
	c.mu.Unlock()
	if lines < minAheadLines {
		return
	}
	if c.TryReserve(memory.Head, int64(lines)*lineCost) != nil && c.claim.CutOff() {
		c.listener.refused(HeadMemory)
	}
}

// setPhase begins a phase. Only between requests, and in a head, does the connection wait
// for its caller.
func (c *Conn) setPhase(now time.Time, next phase) {
	c.phase, c.since, c.overdue = next, now, false
	c.claim.SetWaiting(now, next != phaseRequest)
}

// maxWriteBytes is the largest part of a write after which progress is recorded.
const maxWriteBytes = 16 << 10

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	waited := c.setWriting(true, true)
	defer c.setWriting(false, waited)
	written, err := c.writeParts(p)
	if err != nil {
		c.writeFailed(err)
	}
	return written, err
}

func (c *Conn) writeParts(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:]
		n, err := c.Conn.Write(part[:min(len(part), maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.claim.Moved(time.Now(), n)
	}
}

// writeFailed records the error of a write.
func (c *Conn) writeFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// OnResponseEnd has f called once net/http has handed the current response to the kernel, or
// has closed the connection. Its argument is the error of the first write that failed. The
// connection must not be nil.
func (c *Conn) OnResponseEnd(f func(writeErr error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseEnded = f
}

// endResponse calls what waits for the end of the current response.
func (c *Conn) endResponse() {
	c.mu.Lock()
	ended, err := c.responseEnded, c.writeErr
	c.responseEnded = nil
	c.mu.Unlock()
	if ended != nil {
		ended(err)
	}
}

// EndedBy returns the limit that has ended the connection; empty if none has. A nil
// connection has no limits.
func (c *Conn) EndedBy() Cause {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedBy
}

// setWriting records whether a write is under way and whether the connection waits for its
// caller, and returns whether it did before.
func (c *Conn) setWriting(writing, waits bool) (waited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
	return c.claim.SetWaiting(time.Now(), waits)
}

// ReadingBody records whether the server waits for the body of the request. A nil
// connection has no limits.
func (c *Conn) ReadingBody(reading bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.SetWaiting(time.Now(), reading)
}

// Reserve reserves n bytes of memory, and waits for room. Its error is
// memory.ErrExhausted. What is reserved is released after the response.
func (c *Conn) Reserve(kind memory.Kind, n int64) error {
	if c == nil {
		return nil
	}
	return c.listener.pool.Reserve(c.claim, kind, n)
}

// TryReserve is like Reserve without waiting.
func (c *Conn) TryReserve(kind memory.Kind, n int64) error {
	if c == nil {
		return nil
	}
	return c.listener.pool.TryReserve(c.claim, kind, n)
}

// Release releases n reserved bytes.
func (c *Conn) Release(kind memory.Kind, n int64) {
	if c != nil {
		c.listener.pool.Release(c.claim, kind, n)
	}
}

// ReserveTrailer reserves the memory that the trailer of a body needs, which is small and
// there already. Its error is memory.ErrExhausted.
func (c *Conn) ReserveTrailer(trailer http.Header) error {
	lines := 0
	for _, values := range trailer {
		lines += len(values)
	}
	if lines == 0 {
		return nil
	}
	return c.Reserve(memory.Head, int64(lines)*lineCost)
}

// Refused records that a request was refused by a limit.
func (c *Conn) Refused(cause Cause) {
	if c != nil {
		c.listener.refused(cause)
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() { c.listener.closed(c) })
	return err
}

// cut ends the connection if it waits for its caller, and reports whether it did: a response
// that is being written is broken off, and each read fails.
func (c *Conn) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.claim.Waits() {
		return false
	}
	c.ended = true
	c.endedBy = cmp.Or(c.exceeded, CutOff)
	if c.writing || c.phase == phaseClosing {
		_ = c.Conn.Close()
		return true
	}
	_ = c.Conn.SetReadDeadline(expired)
	return true
}

const (
	// lingerTime is how long a refused caller has to read the refusal before the
	// connection is closed.
	lingerTime = 500 * time.Millisecond
	// refusalTimeout bounds the time to send a refusal.
	refusalTimeout = 500 * time.Millisecond
)

// refuse refuses a request in whose head a limit was exceeded, and ends the connection. What
// the caller still sends is dropped, so that it can read the refusal.
func (c *Conn) refuse(cause Cause, scratch []byte) error {
	c.listener.pool.EndRequest(c.claim)
	c.listener.refused(cause)
	c.mu.Lock()
	ended := c.ended
	c.ended = true
	c.endedBy = cmp.Or(c.endedBy, cause)
	c.mu.Unlock()
	if ended {
		return errEnded
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, refusals[cause]); err != nil {
		return errEnded
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	for {
		if _, err := c.Conn.Read(scratch); err != nil {
			return errEnded
		}
	}
}

// refusals are the responses to requests that were refused in their head: they have not run
// and never will.
var refusals = map[Cause]string{
	HeadTooLarge: response("431 Request Header Fields Too Large", "", `{"error":"head too large","not_run":true}`),
	HeadMemory:   response("503 Service Unavailable", "Retry-After: 0.500\r\n", `{"error":"memory exhausted","not_run":true}`),
}

func response(status, header, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n" + header + "\r\n" + body
}
