package forward

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the making of a connection. A lost opening packet is
	// sent again only after a second or more, so another try is quicker.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval make the kernel notice a peer that
	// vanished without closing its connections.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleTime is how long a connection is kept without use if the server
	// names no time of its own.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the time that a server names, so that a
	// request doesn't cross the server's close.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the connections kept for one backend server.
	maxIdlePerAddress = 16
	sweepInterval     = 2 * time.Second
)

// Observer is told of connections that are made.
type Observer func(address string, took time.Duration, err error)

// Pool keeps connections to backend servers. It is safe for concurrent use. Use
// NewPool.
type Pool struct {
	dialer  net.Dialer
	dialect HeaderCodec
	observe Observer

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(dialect HeaderCodec, observe Observer) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
		dialect: dialect,
		observe: observe,
		idle:    make(map[string][]*conn),
	}
}

// Run closes connections that were not used for long until ctx ends, and then
// all.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conns := range p.idle {
		closeAll(conns)
		delete(p.idle, address)
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Forget closes the kept connections to an address, because another server may
// have it now or because they are no longer trusted.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.idle[address])
	delete(p.idle, address)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.raw.Close()
	}
}

// take returns the kept connection that was used last, or nil.
func (p *Pool) take(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[address]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		if now.Before(c.usableUntil) && c.isQuiet() {
			return c
		}
		_ = c.raw.Close()
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.raw.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	started := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.observe(address, time.Since(started), err)
	if err != nil {
		return nil, &Error{Op: "connect", Address: address, NotSent: true, Err: err}
	}
	return newConn(address, raw), nil
}
