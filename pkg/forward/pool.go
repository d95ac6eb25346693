package forward

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout limits the time to connect. A lost SYN is retransmitted only
	// after a second or more, so another attempt is faster.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval make the kernel detect a peer that has
	// disappeared without closing its connections.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleTime is how long a connection is kept idle if the server states no
	// time of its own.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the server's keep-alive time, so that a
	// request is not sent while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one backend server.
	maxIdlePerAddress = 16
	sweepInterval     = 2 * time.Second
)

// Observer is called after each attempt to connect.
type Observer func(address string, took time.Duration, err error)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
// Use NewPool.
type Pool struct {
	dialer      net.Dialer
	headerCodec HeaderCodec
	observe     Observer

	mu   sync.Mutex
	idle map[string][]*conn
	// busy holds the connections that serve an exchange.
	busy   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(headerCodec HeaderCodec, observe Observer) *Pool {
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
		headerCodec: headerCodec,
		observe:     observe,
		idle:        make(map[string][]*conn),
		busy:        make(map[string][]*conn),
	}
}

// Run closes connections that have been idle for too long until ctx ends, and then
// all idle connections.
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
			if now.Before(c.idleDeadline) {
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

// CloseIdle closes the idle connections to an address, because another server may
// have it now or because they are no longer trusted.
func (p *Pool) CloseIdle(address string) {
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

// takeIdle returns the most recently used idle connection that isn't excluded, or nil.
func (p *Pool) takeIdle(address string, now time.Time, excluded []*conn) *conn {
	return p.takeIdleWhere(address, now, func(c *conn) bool { return !slices.Contains(excluded, c) })
}

// takeIdleOpenedBefore returns the most recently used idle connection that was established
// before a time, or nil.
func (p *Pool) takeIdleOpenedBefore(address string, before time.Time) *conn {
	return p.takeIdleWhere(address, time.Now(), func(c *conn) bool { return c.openedAt.Before(before) })
}

func (p *Pool) takeIdleWhere(address string, now time.Time, suits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at := len(p.idle[address]) - 1; at >= 0; at-- {
		c := p.idle[address][at]
		if !suits(c) {
			continue
		}
		p.idle[address] = slices.Delete(p.idle[address], at, at+1)
		if now.Before(c.idleDeadline) && c.isIdle() {
			return c
		}
		_ = c.raw.Close()
	}
	return nil
}

// setBusy records that a connection serves an exchange.
func (p *Pool) setBusy(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[c.address] = append(p.busy[c.address], c)
}

// unsetBusy records that the exchange of a connection has ended.
func (p *Pool) unsetBusy(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.busy[c.address], func(other *conn) bool { return other == c })
	if len(left) == 0 {
		delete(p.busy, c.address)
		return
	}
	p.busy[c.address] = left
}

// HasOpen reports whether a connection to an address was established before a time and has
// no end that has arrived. The process that had accepted it may have ended all the same, if
// the end is on the way or the connection has gone silent. Connections with unread bytes
// don't count, as their end may be behind the bytes.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isOpen := func(c *conn) bool { return c.openedAt.Before(before) && c.hasNothingToRead() }
	return slices.ContainsFunc(p.busy[address], isOpen) || slices.ContainsFunc(p.idle[address], isOpen)
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.raw.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	started := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	p.observe(address, time.Since(started), err)
	if err != nil {
		return nil, &Error{Op: "connect", Address: address, NotSent: true, Err: err}
	}
	return newConn(address, raw, started), nil
}
