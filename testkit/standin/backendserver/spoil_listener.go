package backendserver

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// spoilListener accepts connections on which each n-th response is spoiled.
type spoilListener struct {
	net.Listener
	every int

	mu     sync.Mutex
	random *rand.Rand
	count  int
}

// spoilConn spoils responses: it changes or breaks off the one that is being written, or
// sends another one before it.
type spoilConn struct {
	net.Conn
	listener *spoilListener

	mu sync.Mutex
	// begins is set from the request to the first bytes of its response. last is the first
	// bytes of the response before.
	begins bool
	last   []byte
}

// newSpoilListener returns a listener for a server of which each n-th response is spoiled,
// as its ID determines.
func newSpoilListener(server *http.Server, listener net.Listener, id string, n int) net.Listener {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*spoilConn); ok && state == http.StateActive {
			c.requestReceived()
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return &spoilListener{Listener: listener, every: n, random: rand.New(rand.NewPCG(h.Sum64(), 0))}
}

// Accept implements net.Listener.
func (l *spoilListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &spoilConn{Conn: conn, listener: l}, nil
}

// draw returns random numbers for a response that is to be spoiled, and false for another.
func (l *spoilListener) draw() (way, place int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.random.IntN(len(spoilWays)), l.random.IntN(1 << 20), l.count%l.every == 0
}

func (c *spoilConn) requestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begins = true
}

// Write implements net.Conn.
func (c *spoilConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	begins, last := c.begins, c.last
	c.begins = false
	if begins {
		c.last = bytes.Clone(data)
	}
	c.mu.Unlock()
	if !begins {
		return c.Conn.Write(data)
	}
	way, place, ok := c.listener.draw()
	if !ok {
		return c.Conn.Write(data)
	}
	spoiled, closes := spoilWays[way](data, last, place)
	if _, err := c.Conn.Write(spoiled); err != nil {
		return 0, err
	}
	if closes {
		_ = c.Close()
		return 0, fmt.Errorf("spoiled: %w", net.ErrClosed)
	}
	return len(data), nil
}

// otherRejection is a rejection of another request, with its word before its ID.
const otherRejection = "HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": 1\r\nRetry-After: 0.050\r\nContent-Length: 40\r\n" +
	HeaderRequestID + ": another\r\n\r\n{\"error\":\"not run, the server is full\"}\r\n"

// spoilWays are the ways to spoil a response. Each returns what is sent for the first bytes
// of a response, and whether the connection is closed then. last is the first bytes of the
// response before on the connection.
var spoilWays = []func(data, last []byte, place int) (spoiled []byte, closes bool){
	func(data, _ []byte, place int) ([]byte, bool) { return data[:place%len(data)], true },
	func(data, _ []byte, _ int) ([]byte, bool) { return replaceStatus(data, "000"), true },
	func(data, _ []byte, _ int) ([]byte, bool) {
		return bytes.Replace(data, []byte("Attempt-Id"), []byte("Attempt Id"), 1), true
	},
	func(data, _ []byte, _ int) ([]byte, bool) {
		return bytes.Replace(data, []byte("Content-"), []byte("Content\x01-"), 1), true
	},
	func(data, _ []byte, place int) ([]byte, bool) {
		spoiled := bytes.Clone(data)
		spoiled[place%len(spoiled)] = byte(place >> 12)
		return spoiled, true
	},
	// An extra response arrives late: a whole one, and the beginning of a rejection.
	func(data, last []byte, _ int) ([]byte, bool) { return append(bytes.Clone(last), data...), false },
	brokenRejection,
	brokenRejection,
	brokenRejection,
}

func brokenRejection(data, _ []byte, place int) ([]byte, bool) {
	return append([]byte(otherRejection[:place%len(otherRejection)]), data...), false
}

// replaceStatus returns a response with another status.
func replaceStatus(data []byte, status string) []byte {
	const at, length = len("HTTP/1.1 "), 3
	if len(data) < at+length {
		return data
	}
	return append(append(bytes.Clone(data[:at]), status...), data[at+length:]...)
}
