package callerlimits

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/memory"
)

const (
	// openWait is how long a new connection waits for others to be closed.
	openWait = 20 * time.Millisecond
	// sweepInterval is the time between two sweeps. A connection is closed if two sweeps
	// in a row find a limit exceeded, so that data that arrived while the process was
	// suspended counts.
	sweepInterval = 500 * time.Millisecond
)

// Listener accepts the connections of one HTTP server.
type Listener struct {
	net.Listener
	pool   *memory.Pool
	limits Source
	// refused is called for each refusal and each closed connection.
	refused func(Cause)

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// NewListener returns a listener that accepts the connections of inner. refused is called
// for each refusal and each connection that is closed by a limit; it must not block.
func NewListener(inner net.Listener, pool *memory.Pool, limits Source, refused func(Cause)) *Listener {
	return &Listener{Listener: inner, pool: pool, limits: limits, refused: refused, open: make(map[*Conn]struct{})}
}

// NewInternalListener is like NewListener, with a small pool of its own, for calls of the
// platform and of operators, which have no bodies.
func NewInternalListener(inner net.Listener, refused func(Cause)) *Listener {
	pool := memory.NewPool(memory.Limits{
		Total: internalMemory, SmallClaim: internalMemory, MinStall: minStall, MaxClaims: internalConnections,
	}, internalMemoryWait, func() { refused(CutOff) })
	return NewListener(inner, pool, internalLimits, refused)
}

// Accept implements net.Listener. Connections without room are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: raw, listener: l, since: now}
		c.claim = memory.NewClaim(now, c.cut)
		if err := l.pool.Open(c.claim, connectionCost, openWait); err != nil {
			l.refused(TooManyConnections)
			_ = raw.Close()
			continue
		}
		l.mu.Lock()
		l.open[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// closed removes a connection.
func (l *Listener) closed(c *Conn) {
	l.pool.Close(c.claim)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Find returns the connection below others; nil if there is none.
func Find(conn any) *Conn {
	for {
		switch layer := conn.(type) {
		case *Conn:
			return layer
		case interface{ NetConn() net.Conn }:
			conn = layer.NetConn()
		default:
			return nil
		}
	}
}

// StateChanged implements the ConnState callback of an http.Server.
func (l *Listener) StateChanged(conn net.Conn, state http.ConnState) {
	c := Find(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setState(phaseRequest)
	case http.StateIdle:
		c.endResponse()
		c.setState(phaseIdle)
		c.requestEnded()
	case http.StateClosed:
		c.endResponse()
		c.setState(phaseClosing)
		c.listener.pool.EndRequest(c.claim)
	}
}

func (c *Conn) setState(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != next {
		c.setPhase(time.Now(), next)
	}
}

// Sweep closes the connections that exceed a limit on time, until ctx ends.
func (l *Listener) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sweep(time.Now())
		}
	}
}

func (l *Listener) sweep(now time.Time) {
	limits := l.limits()
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		cause, overdue := c.checkTime(now, limits.HeaderTimeout, limits.IdleTimeout)
		if overdue && c.claim.CutOff() {
			l.refused(cause)
		}
	}
}

// checkTime reports whether a limit on time was exceeded in this sweep and the last one.
func (c *Conn) checkTime(now time.Time, headerTimeout, idleTimeout time.Duration) (Cause, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, cause, took := idleTimeout, Idle, now.Sub(c.since)
	switch {
	case c.writing:
		cause, took = Unread, c.claim.Stall(now)
	case c.phase == phaseRequest, c.phase == phaseClosing:
		return "", false
	case c.phase == phaseHead:
		limit, cause = headerTimeout, HeadTooSlow
	}
	if limit <= 0 || took <= limit {
		c.overdue, c.exceeded = false, ""
		return "", false
	}
	before := c.overdue
	c.overdue = true
	if before {
		c.exceeded = cause
	}
	return cause, before
}
