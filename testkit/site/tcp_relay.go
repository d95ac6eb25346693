package site

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// tcpReadBytes is the size of the reads of a TCPRelay.
const tcpReadBytes = 64 << 10

// Cut is where a TCPRelay cuts a response off.
type Cut struct {
	// After is the number of bytes of the response, with its header, that are forwarded.
	After int
	// Reset resets the connection instead of closing it in order.
	Reset bool
}

// TCPRelay forwards the connections to a server. It is safe for concurrent use.
type TCPRelay struct {
	target   string
	listener net.Listener
	// onRequest returns where the response to a request is cut off, or nil.
	onRequest func(request []byte) *Cut
}

// NewTCPRelay opens a relay in front of an address. onRequest is called with the first
// bytes of each request, on any goroutine.
func NewTCPRelay(target string, onRequest func(request []byte) *Cut) (*TCPRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site: TCP relay: %w", err)
	}
	r := &TCPRelay{target: target, listener: listener, onRequest: onRequest}
	go r.accept()
	return r, nil
}

// Address returns the address at which the server is reached.
func (r *TCPRelay) Address() string { return r.listener.Addr().String() }

// Close stops listening. Open connections end with their peers.
func (r *TCPRelay) Close() { _ = r.listener.Close() }

func (r *TCPRelay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client.(*net.TCPConn))
	}
}

func (r *TCPRelay) serve(client *net.TCPConn) {
	dialed, err := net.Dial("tcp", r.target)
	if err != nil {
		resetConn(client)
		return
	}
	link := &tcpLink{relay: r, client: client, server: dialed.(*net.TCPConn)}
	var requests sync.WaitGroup
	requests.Go(link.forwardRequests)
	link.forwardResponses()
	requests.Wait()
	_ = client.Close()
	_ = dialed.Close()
}

// tcpLink is one connection through a relay.
type tcpLink struct {
	relay          *TCPRelay
	client, server *net.TCPConn

	mu sync.Mutex
	// cut is where the current response is cut off; nil if it isn't. forwarded counts
	// its bytes.
	cut       *Cut
	forwarded int
}

func (l *tcpLink) forwardRequests() {
	buffer := make([]byte, tcpReadBytes)
	for {
		n, err := l.client.Read(buffer)
		if startsRequest(buffer[:n]) {
			l.mu.Lock()
			l.cut, l.forwarded = l.relay.onRequest(buffer[:n]), 0
			l.mu.Unlock()
		}
		if _, writeErr := l.server.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			endConn(l.server, err)
			return
		}
	}
}

// startsRequest reports whether data is the start of a request. A client sends a short
// one at once, and the next one after the response.
func startsRequest(data []byte) bool {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	return bytes.HasSuffix(line, []byte(" HTTP/1.1"))
}

func (l *tcpLink) forwardResponses() {
	buffer := make([]byte, tcpReadBytes)
	for {
		n, err := l.server.Read(buffer)
		allowed, cut := l.allow(n)
		if _, writeErr := l.client.Write(buffer[:allowed]); writeErr != nil {
			resetConn(l.server)
			return
		}
		if cut != nil {
			l.end(cut)
			return
		}
		if err != nil {
			endConn(l.client, err)
			return
		}
	}
}

// allow returns how many of n more bytes of the response may be forwarded, and the cut
// that follows them, if there is one.
func (l *tcpLink) allow(n int) (int, *Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil || l.forwarded+n < l.cut.After {
		l.forwarded += n
		return n, nil
	}
	return l.cut.After - l.forwarded, l.cut
}

func (l *tcpLink) end(cut *Cut) {
	resetConn(l.server)
	if cut.Reset {
		resetConn(l.client)
		return
	}
	_ = l.client.Close()
}

// endConn ends a connection in the way in which its peer's ended.
func endConn(conn *net.TCPConn, err error) {
	if errors.Is(err, io.EOF) {
		_ = conn.CloseWrite()
		return
	}
	resetConn(conn)
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
