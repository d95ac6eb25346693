package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
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
