package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// ALPN is the TLS protocol name of the internal protocol.
	ALPN = "teaselgauge/1"

	dialTimeout             = 2 * time.Second
	idleTimeout             = 6 * time.Second
	keepAlivePeriod         = 2 * time.Second
	unusedConnTimeout       = 30 * time.Second
	unusedConnSweepInterval = 5 * time.Second
	maxPeerStreams          = 4096

	streamWindowBytes     = 64 << 10
	maxStreamWindowBytes  = 1 << 20
	connWindowBytes       = 256 << 10
	maxConnWindowBytes    = 8 << 20
	connClosed            = quic.ApplicationErrorCode(0)
	connRefusedWrongHost  = quic.ApplicationErrorCode(2)
	connRefusedNoIdentity = quic.ApplicationErrorCode(3)
)

// Handler serves the streams that peers open.
type Handler interface {
	// ServeStream owns the stream and returns when it no longer needs it. The
	// context ends when the node closes.
	ServeStream(ctx context.Context, peer Peer, stream *Stream)
}

// Peer is the authenticated peer of a connection.
type Peer struct {
	Host string
	Role string
}

// Identify reads a peer from the verified certificate of a connection.
type Identify func(tls.ConnectionState) (Peer, error)

// NodeConfig configures a Node.
type NodeConfig struct {
	// Address is the UDP address, IP and port.
	Address   string
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Identify  Identify
	Handler   Handler
	// ResetKey is the QUIC stateless reset key. It is the same for all incarnations of
	// the host's process, so that a new incarnation can immediately reset connections
	// of the old one. It must be secret. Nil disables stateless resets.
	ResetKey *[32]byte
	Logger   *slog.Logger
}

// Node is one process's endpoint of the internal protocol: it accepts streams, and
// opens streams to others over connections that are dialled on demand and closed
// when unused. All connections share one UDP socket.
type Node struct {
	config    NodeConfig
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu sync.Mutex
	// closed is set once the node no longer dials.
	closed bool
	conns  map[string]*outbound
	// retired holds connections that are not used for new streams.
	retired []*outbound
}

// outbound is a connection to one host, established or being dialled.
type outbound struct {
	address  string
	ready    chan struct{}
	conn     *quic.Conn
	err      error
	streams  int
	lastUsed time.Time
}

// NewNode opens the socket and starts to accept streams.
func NewNode(config NodeConfig) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("internal address %q: %w", config.Address, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on internal address: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	if config.ResetKey != nil {
		key := quic.StatelessResetKey(*config.ResetKey)
		transport.StatelessResetKey = &key
	}
	listener, err := transport.Listen(config.ServerTLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen on internal address: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		config:    config,
		transport: transport,
		listener:  listener,
		ctx:       ctx,
		cancel:    cancel,
		conns:     make(map[string]*outbound),
	}
	node.wait.Go(node.acceptConns)
	node.wait.Go(node.sweepUnusedConns)
	return node, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxPeerStreams,
		MaxIncomingUniStreams: -1,
		// Path MTU discovery would more than double the size of each dial.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
	}
}

// Address returns the UDP address that the node listens on.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Connections returns the number of connections that this node dialled.
func (n *Node) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Close ends all connections and waits for the handlers. Later calls of Open fail.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	n.mu.Lock()
	n.closed = true
	for _, out := range n.conns {
		out.close("closing")
	}
	for _, out := range n.retired {
		out.close("closing")
	}
	n.mu.Unlock()
	n.wait.Wait()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

func (n *Node) acceptConns() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wait.Go(func() { n.serveConn(conn) })
	}
}

func (n *Node) serveConn(conn *quic.Conn) {
	peer, err := n.config.Identify(conn.ConnectionState().TLS)
	if err != nil {
		n.config.Logger.Warn("internal connection refused", "remote", conn.RemoteAddr().String(), "error", err)
		_ = conn.CloseWithError(connRefusedNoIdentity, "no identity")
		return
	}
	defer func() { _ = conn.CloseWithError(connClosed, "closing") }()
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.wait.Go(func() { n.serveStream(peer, newStream(stream, peer.Host, nil)) })
	}
}

// serveStream passes a stream to the handler. A panic in the handler, for example
// because of an unexpected message, ends the stream but not the process.
func (n *Node) serveStream(peer Peer, stream *Stream) {
	defer func() {
		if cause := recover(); cause != nil {
			n.config.Logger.Error("stream handler panicked", "peer", peer.Host, "cause", cause, "stack", string(debug.Stack()))
			stream.Cancel()
		}
	}()
	n.config.Handler.ServeStream(n.ctx, peer, stream)
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
