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
	// ALPN names the inner protocol in TLS.
	ALPN = "teaselgauge/1"

	dialTimeout      = 2 * time.Second
	idleTimeout      = 6 * time.Second
	keepAlivePeriod  = 2 * time.Second
	unusedConnExpiry = 30 * time.Second
	unusedConnSweep  = 5 * time.Second
	maxPeerStreams   = 4096

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
	// ServeStream owns the stream and returns when it is done with it. The
	// context ends when the node closes.
	ServeStream(ctx context.Context, peer Peer, stream *Stream)
}

// Peer is the authenticated other end of a connection.
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
	// ResetKey is the same for all incarnations of the host's process and secret,
	// so that a new one can tell peers at once that the old one's connections are
	// dead. Nil means none.
	ResetKey *[32]byte
	Logger   *slog.Logger
}

// Node is one process's end of the inner protocol: it accepts streams and opens
// streams to others over connections that are dialled on demand and closed when
// unused. All connections share one UDP socket.
type Node struct {
	config    NodeConfig
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu sync.Mutex
	// closed is set once the node dials no more.
	closed bool
	conns  map[string]*outbound
	// retired holds connections that take no new streams.
	retired []*outbound
}

// outbound is the connection to one host, or the dialling of it.
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
		return nil, fmt.Errorf("inner address %q: %w", config.Address, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on inner address: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	if config.ResetKey != nil {
		key := quic.StatelessResetKey(*config.ResetKey)
		transport.StatelessResetKey = &key
	}
	listener, err := transport.Listen(config.ServerTLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen on inner address: %w", err)
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
	node.wait.Go(node.sweepUnused)
	return node, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxPeerStreams,
		MaxIncomingUniStreams: -1,
		// Probing for larger packets makes each dial more than twice as large.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
	}
}

// Address returns the UDP address that the node listens on.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Connections counts the connections that this node dialled.
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
		n.config.Logger.Warn("inner connection refused", "remote", conn.RemoteAddr().String(), "error", err)
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

// serveStream hands a stream to the handler. A panic there, which a message that
// nobody foresaw may cause, ends the stream and not the process.
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
		n.release(out)
		if ctx.Err() == nil {
			n.forget(host, out)
		}
		return nil, &Error{Op: "open stream to", Host: host, NotSent: true, Err: err}
	}
	return newStream(stream, host, func() { n.release(out) }), nil
}

// connect returns the live connection to a host and counts one user of it. A
// dial goes on in the background when its first caller gives up, since others
// may wait for it too.
func (n *Node) connect(ctx context.Context, host, address string) (*outbound, error) {
	out, err := n.use(host, address)
	if err != nil {
		return nil, err
	}
	select {
	case <-out.ready:
	case <-ctx.Done():
		n.release(out)
		return nil, ctx.Err()
	}
	if out.err != nil {
		n.release(out)
		return nil, out.err
	}
	return out, nil
}

// use counts one user of the connection to a host, which is dialled if need be.
func (n *Node) use(host, address string) (*outbound, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	out := n.conns[host]
	if out == nil || out.address != address || out.broken() {
		out = &outbound{address: address, ready: make(chan struct{})}
		n.conns[host] = out
		n.wait.Go(func() { n.dial(host, out) })
	}
	out.streams++
	out.lastUsed = time.Now()
	return out, nil
}

// broken tells whether the dial failed or the connection has ended.
func (o *outbound) broken() bool {
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

// Retire gives the connection to a host no new streams, because a call on it got
// no answer; those under way go on. The next call dials anew, which tells whether
// the host's process lives.
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
		n.forget(host, out)
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

// ErrClosed says that the node was closed before a stream was opened.
var ErrClosed = errors.New("node closed")

var errWrongHost = errors.New("wrong host")

func (n *Node) forget(host string, out *outbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[host] == out {
		delete(n.conns, host)
	}
}

func (n *Node) release(out *outbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out.streams--
	out.lastUsed = time.Now()
}

func (n *Node) sweepUnused() {
	ticker := time.NewTicker(unusedConnSweep)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.closeUnused(now)
		}
	}
}

func (n *Node) closeUnused(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for host, out := range n.conns {
		if out.broken() {
			delete(n.conns, host)
			continue
		}
		unused := out.streams == 0 && now.Sub(out.lastUsed) >= unusedConnExpiry
		if unused && out.conn != nil {
			out.close("unused")
			delete(n.conns, host)
		}
	}
	n.retired = slices.DeleteFunc(n.retired, func(out *outbound) bool {
		if out.streams > 0 && !out.broken() {
			return false
		}
		out.close("retired")
		return true
	})
}
