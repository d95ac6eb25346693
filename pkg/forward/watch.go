package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// watchRefreshInterval is the age at which the connection of a Watch is replaced,
	// since servers close connections that are idle for some seconds.
	watchRefreshInterval = time.Second
	// watchRenewInterval is the same for a response without new data.
	watchRenewInterval = 800 * time.Millisecond
	// watchDialTimeout limits the time to connect, as a response waits for it.
	watchDialTimeout = 100 * time.Millisecond
	// EstablishTime is how long a new connection must stay open before its end shows
	// anything: a server closes those beyond its limit at once.
	EstablishTime = 10 * time.Millisecond
)

// Watch holds an open connection to a server. The kernel closes it when the server's
// process ends, so that its end shows that of the process that had accepted it. That it is
// open shows little: its end may be on the way, or it may have gone silent. Only an answer on
// it shows that the process still runs. It is safe for concurrent use.
type Watch struct {
	pool    *Pool
	address string

	mu sync.Mutex
	// conn is nil once the connection was found closed. previous is the one that it has
	// replaced, for an end that is read late; nil if there is none.
	conn     *conn
	previous *conn
	// openedAt is when the connection was opened; zero if it had been idle in the pool,
	// to which it returns. A server may wait for a request on a new one.
	openedAt time.Time
	// renewedAt is when a replacement of the connection was last begun.
	renewedAt time.Time
	// established is set once a connection has been open for EstablishTime.
	established bool
	// roundTrip is the shortest time that a connection of the watch took to be established.
	roundTrip time.Duration
	timer     *time.Timer
	// renewal replaces the connection before its server closes it as idle.
	renewal *time.Timer
}

// NewWatch begins to watch the process that a server has now, by an idle connection or a
// new one. Errors are of type *Error.
func (p *Pool) NewWatch(ctx context.Context, address string) (*Watch, error) {
	now := time.Now()
	w := &Watch{pool: p, address: address, renewedAt: now}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn = p.takeIdle(address, now, nil); w.conn != nil {
		w.established = true
		w.roundTrip = w.conn.connectTime
		w.renewal = time.AfterFunc(min(w.conn.idleDeadline.Sub(now), watchRenewInterval), w.renew)
		return w, nil
	}
	next, err := w.dial(ctx)
	if err != nil {
		return nil, err
	}
	w.conn, w.openedAt = next, now
	w.roundTrip = next.connectTime
	w.timer = time.AfterFunc(EstablishTime, w.establish)
	w.renewal = time.AfterFunc(watchRenewInterval, w.renew)
	return w, nil
}

// establish is called EstablishTime after a connection was opened.
func (w *Watch) establish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.established = w.established || w.isOpen()
}

func (w *Watch) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, watchDialTimeout)
	defer cancel()
	return w.pool.dial(ctx, w.address)
}

// IsEstablished reports whether the end of the connection shows that the process has ended,
// and not that the server closes connections beyond its limit.
func (w *Watch) IsEstablished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.established
}

// RoundTrip is the time that a packet to the server and its answer take, at most.
func (w *Watch) RoundTrip() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.roundTrip
}

// IsOpen reports whether no end of the connection has arrived. It stays false once it was.
func (w *Watch) IsOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isOpen()
}

func (w *Watch) isOpen() bool {
	if w.conn == nil {
		return false
	}
	if !w.conn.isIdle() {
		_ = w.conn.raw.Close()
		w.conn = nil
		w.closePrevious()
		return false
	}
	return true
}

// Refresh replaces a connection that is old. The new one is to the same process if the
// old one is still open when it has been accepted. Refresh waits for EstablishTime then.
func (w *Watch) Refresh(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.renewedAt) < watchRefreshInterval || !w.isOpen() {
		return
	}
	w.renewedAt = now
	next, err := w.dial(ctx)
	if err != nil {
		// The old connection goes on showing what it did.
		return
	}
	time.Sleep(EstablishTime)
	w.replace(next, now)
}

// replace replaces the connection by one that was opened EstablishTime ago or earlier, if both
// are still open: a server closes connections beyond its limit at once.
func (w *Watch) replace(next *conn, openedAt time.Time) {
	if !next.isIdle() || !w.isOpen() {
		_ = next.raw.Close()
		return
	}
	w.closePrevious()
	w.previous = w.conn
	w.conn, w.openedAt = next, openedAt
	w.roundTrip = min(w.roundTrip, next.connectTime)
}

// renew opens another connection, whether data arrives or not.
func (w *Watch) renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOpen() {
		return
	}
	w.renewal = time.AfterFunc(watchRenewInterval, w.renew)
	now := time.Now()
	w.renewedAt = now
	next, err := w.dial(context.Background())
	if err != nil {
		// The old connection goes on showing what it did.
		return
	}
	time.AfterFunc(EstablishTime, func() { w.finishRenewal(next, now) })
}

// finishRenewal replaces the connection EstablishTime after another one was opened.
func (w *Watch) finishRenewal(next *conn, openedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replace(next, openedAt)
}

// closePrevious closes the connection that was replaced, if there is one.
func (w *Watch) closePrevious() {
	if w.previous != nil {
		_ = w.previous.raw.Close()
	}
	w.previous = nil
}

// Close ends the watch. A connection of the pool is kept for later requests.
func (w *Watch) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.renewal.Stop()
	w.closePrevious()
	if !w.isOpen() {
		return
	}
	if w.openedAt.IsZero() {
		w.pool.putIdle(w.conn)
	} else {
		_ = w.conn.raw.Close()
	}
	w.conn = nil
}

// CheckListening returns an error unless a process accepts connections at an address. It
// wraps syscall.ECONNREFUSED if none does.
func (p *Pool) CheckListening(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if errors.Is(err, syscall.ECONNRESET) {
		// The listener was closed with the connection in its queue.
		c, err = p.dial(ctx, address)
	}
	if err != nil {
		return err
	}
	// It was opened only to see whether it is accepted. A server may wait for a request on
	// it.
	_ = c.raw.Close()
	return nil
}
