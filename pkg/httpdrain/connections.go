package httpdrain

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// IdleTime is how long a connection should have been idle before a stopping
	// server closes it. It gives the first request time to arrive on a new
	// connection, and the next one on a connection whose last response didn't
	// announce the close.
	IdleTime = 500 * time.Millisecond

	// pollInterval is the time between two checks for idle connections.
	pollInterval = 20 * time.Millisecond
)

// Connections tracks the connections of one http.Server. The server must serve the
// listener that Listener returns, or one on top of it, and have StateChanged as its
// ConnState and WithConnection as its ConnContext.
type Connections struct {
	listener *listener

	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener returns a listener that tracks the connections that it accepts. It must
// be called once, before the server starts.
func (c *Connections) Listener(inner net.Listener) net.Listener {
	c.open = make(map[*connection]struct{})
	c.listener = newListener(inner, c)
	return c.listener
}

// StateChanged implements the ConnState callback of an http.Server.
func (c *Connections) StateChanged(conn net.Conn, state http.ConnState) {
	tracked := unwrap(conn)
	if tracked == nil {
		return
	}
	switch state {
	case http.StateNew:
		if _, ok := conn.(*tls.Conn); ok {
			tracked.scanRecords()
		}
		c.mu.Lock()
		c.open[tracked] = struct{}{}
		c.mu.Unlock()
		tracked.setIdle(time.Now())
	case http.StateIdle:
		tracked.setIdle(time.Now())
	case http.StateActive:
		tracked.setActive()
	case http.StateClosed, http.StateHijacked:
		if !tracked.isLingering() {
			c.remove(tracked)
		}
	}
}

func (c *Connections) remove(tracked *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, tracked)
}

// lingerEnded removes a connection that was closed after its last response was delivered.
func (c *Connections) lingerEnded(tracked *connection) { c.remove(tracked) }

// unwrap returns the tracked connection below a connection such as a tls.Conn.
func unwrap(conn net.Conn) *connection {
	for {
		switch layer := conn.(type) {
		case *connection:
			return layer
		case interface{ NetConn() net.Conn }:
			conn = layer.NetConn()
		default:
			return nil
		}
	}
}

// Close closes the listener, and each connection on which no request has been under
// way for the given time. It returns when all connections are closed, or when ctx
// ends, with the number of connections that are still open. The handler should end
// the connections of the responses that it begins meanwhile.
func (c *Connections) Close(ctx context.Context, quiet time.Duration) int {
	_ = c.listener.Close()
	select {
	case <-c.listener.ended:
	case <-ctx.Done():
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		open := c.closeIdle(time.Now().Add(-quiet))
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			c.abandonLingering()
			return open
		case <-ticker.C:
		}
	}
}

// abandonLingering leaves the delivery of responses whose connections wait for it to the
// kernel, which goes on after the end of the process.
func (c *Connections) abandonLingering() {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, tracked := range open {
		tracked.abandon()
	}
}

// closeIdle has the server close the connections that have been idle since before
// the given time. It returns the number of open connections.
func (c *Connections) closeIdle(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tracked := range c.open {
		tracked.closeIfIdle(before)
	}
	return len(c.open)
}
