package site

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network is the links to servers whose connections can be harmed one by one. It is safe for
// concurrent use.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link
}

// NewNetwork returns a network without links.
func NewNetwork() *Network { return &Network{links: make(map[string]*Link)} }

// RelayTo opens a link to a server and returns the address at which it is reached.
func (n *Network) RelayTo(server string) (string, error) {
	link := &Link{server: server, address: "127.0.0.1:0", conns: make(map[*linkedConn]bool)}
	if err := link.Listen(); err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[server] = link
	return link.address, nil
}

// To returns the link to a server.
func (n *Network) To(server string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[server]
}

// Close has all links refuse connections. Open connections end with their peers.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.Refuse()
	}
}

// Link forwards the connections to a server.
type Link struct {
	server, address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*linkedConn]bool
}

// Listen has the link accept connections.
func (l *Link) Listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("site: link to %s: %w", l.server, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener, l.address = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

// Refuse has the link refuse connections, as a host does where nobody listens.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

// LoseEnd has the packet lost that ends one of the open connections, drawn at random, and sent
// again later.
func (l *Link) LoseEnd(random *rand.Rand, later time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drawn := random.IntN(max(len(l.conns), 1))
	for conn := range l.conns {
		if drawn == 0 {
			conn.setEndDelay(later)
		}
		drawn--
	}
}

// Silence has open connections go silent for good, each with a chance in percent.
func (l *Link) Silence(random *rand.Rand, percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if random.IntN(100) < percent {
			conn.silence()
		}
	}
}

func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near.(*net.TCPConn))
	}
}

func (l *Link) serve(near *net.TCPConn) {
	far, err := net.Dial("tcp", l.server)
	if err != nil {
		resetConn(near)
		return
	}
	conn := &linkedConn{near: near, far: far.(*net.TCPConn)}
	l.mu.Lock()
	l.conns[conn] = true
	l.mu.Unlock()
	conn.forward()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// linkedConn is one connection over a link: near is that of the client, far that to the server.
type linkedConn struct {
	near, far *net.TCPConn

	mu sync.Mutex
	// isSilent is set once nothing that is sent arrives, endDelay is how late the server's end
	// arrives.
	isSilent bool
	endDelay time.Duration
}

func (c *linkedConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = true
}

func (c *linkedConn) setEndDelay(later time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endDelay = later
}

// linkWriter writes one direction of a connection. What is sent on a silent one is lost.
type linkWriter struct {
	conn *linkedConn
	to   *net.TCPConn
}

// Write implements io.Writer.
func (w linkWriter) Write(p []byte) (int, error) {
	if isSilent, _ := w.conn.harm(); isSilent {
		return len(p), nil
	}
	return w.to.Write(p)
}

func (c *linkedConn) harm() (isSilent bool, endDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent, c.endDelay
}

// forward forwards both directions until the client has closed its side.
func (c *linkedConn) forward() {
	var responses sync.WaitGroup
	responses.Go(c.forwardResponses)
	_, err := io.Copy(linkWriter{c, c.far}, linkReader{c.near})
	c.end(c.far, err, 0)
	responses.Wait()
	_ = c.near.Close()
	_ = c.far.Close()
}

func (c *linkedConn) forwardResponses() {
	_, err := io.Copy(linkWriter{c, c.near}, linkReader{c.far})
	_, delay := c.harm()
	c.end(c.near, err, delay)
}

// linkReader hides the connection's other methods from io.Copy, so that each read is written
// by a linkWriter.
type linkReader struct{ io.Reader }

// end ends one side of a connection as the other one's ended; not if it is silent. An error of
// either side resets both.
func (c *linkedConn) end(side *net.TCPConn, err error, delay time.Duration) {
	time.Sleep(delay)
	if isSilent, _ := c.harm(); isSilent {
		return
	}
	if err == nil {
		_ = side.CloseWrite()
		return
	}
	resetConn(c.near)
	resetConn(c.far)
}
