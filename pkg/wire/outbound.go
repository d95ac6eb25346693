package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/quic-go/quic-go"
)

// outbound is a connection to one host, established or being dialled.
type outbound struct {
	address  string
	ready    chan struct{}
	conn     *quic.Conn
	err      error
	streams  int
	lastUsed time.Time
}

// Open opens a stream to a host. A failure is an *Error with NotSent set.
func (n *Node) Open(ctx context.Context, host, address string) (*Stream, error) {
	out, err := n.connect(ctx, host, address)
	if err != nil {
		return nil, &Error{Op: "connect to", Host: host, NotSent: true, Err: err}
	}
	stream, err := out.conn.OpenStreamSync(ctx)
	if err != nil {
		n.releaseConn(out)
		if ctx.Err() == nil {
			n.removeConn(host, out)
		}
		return nil, &Error{Op: "open stream to", Host: host, NotSent: true, Err: err}
	}
	return newStream(stream, host, func() { n.releaseConn(out) }), nil
}

// connect returns the open connection to a host and counts one user of it. A dial
// continues in the background when its first caller gives up, since other callers
// may be waiting for it.
func (n *Node) connect(ctx context.Context, host, address string) (*outbound, error) {
	out, err := n.acquireConn(host, address)
	if err != nil {
		return nil, err
	}
	select {
	case <-out.ready:
	case <-ctx.Done():
		n.releaseConn(out)
		return nil, ctx.Err()
	}
	if out.err != nil {
		n.releaseConn(out)
		return nil, out.err
	}
	return out, nil
}

// acquireConn counts one user of the connection to a host and starts a dial if there
// is no usable connection.
func (n *Node) acquireConn(host, address string) (*outbound, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	out := n.conns[host]
	if out == nil || out.address != address || out.isBroken() {
		out = &outbound{address: address, ready: make(chan struct{})}
		n.conns[host] = out
		n.wait.Go(func() { n.dial(host, out) })
	}
	out.streams++
	out.lastUsed = time.Now()
	return out, nil
}

// isBroken reports whether the dial failed or the connection has ended.
func (o *outbound) isBroken() bool {
	select {
	case <-o.ready:
	default:
		return false
	}
	return o.err != nil || o.conn.Context().Err() != nil
}

// close ends the connection if there is one.
func (o *outbound) close(reason string) {
	if o.conn != nil {
		_ = o.conn.CloseWithError(connClosed, reason)
	}
}

// Retire stops using the connection to a host for new streams, because a call on it
// got no response; its open streams continue. The next call dials a new connection,
// which shows whether the host's process is running.
func (n *Node) Retire(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.conns[host]
	if out == nil || out.conn == nil {
		return
	}
	delete(n.conns, host)
	n.retired = append(n.retired, out)
}

func (n *Node) dial(host string, out *outbound) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	conn, err := n.dialHost(ctx, host, out.address)
	n.mu.Lock()
	out.conn = conn
	out.err = err
	n.mu.Unlock()
	close(out.ready)
	if err != nil {
		n.removeConn(host, out)
	}
}

func (n *Node) dialHost(ctx context.Context, host, address string) (*quic.Conn, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	conn, err := n.transport.Dial(ctx, remote, n.config.ClientTLS, quicConfig())
	if err != nil {
		return nil, err
	}
	peer, err := n.config.Identify(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(connRefusedNoIdentity, "no identity")
		return nil, err
	}
	if peer.Host != host {
		_ = conn.CloseWithError(connRefusedWrongHost, "wrong host")
		return nil, fmt.Errorf("address %s belongs to host %q: %w", address, peer.Host, errWrongHost)
	}
	return conn, nil
}

// ErrClosed reports that the node was closed before a stream was opened.
var ErrClosed = errors.New("node of this process is closed")

var errWrongHost = errors.New("another host was expected there")

func (n *Node) removeConn(host string, out *outbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[host] == out {
		delete(n.conns, host)
	}
}

func (n *Node) releaseConn(out *outbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out.streams--
	out.lastUsed = time.Now()
}

func (n *Node) sweepUnusedConns() {
	ticker := time.NewTicker(unusedConnSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.closeUnusedConns(now)
		}
	}
}

func (n *Node) closeUnusedConns(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for host, out := range n.conns {
		if out.isBroken() {
			delete(n.conns, host)
			continue
		}
		unused := out.streams == 0 && now.Sub(out.lastUsed) >= unusedConnTimeout
		if unused && out.conn != nil {
			out.close("unused")
			delete(n.conns, host)
		}
	}
	n.retired = slices.DeleteFunc(n.retired, func(out *outbound) bool {
		if out.streams > 0 && !out.isBroken() {
			return false
		}
		out.close("retired")
		return true
	})
}
