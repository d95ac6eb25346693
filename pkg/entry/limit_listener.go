package entry

import (
	"net"
	"sync"
)

// limitListener has a limited number of connections open at a time. Unlike netutil's, its
// connections name the one below them, whose state httpdrain reads.
type limitListener struct {
	net.Listener
	// places has an element for each open connection, and for an Accept.
	places chan struct{}
	closed chan struct{}
	close  sync.Once
}

// limitConnections returns a listener that has at most limit connections open at a time.
func limitConnections(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits until a connection may be open.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(l.release)}, nil
}

func (l *limitListener) release() { <-l.places }

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	// release frees the connection's place.
	release func()
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, which net/http does before it drops a connection whose
// request it hasn't read to its end.
func (c *limitedConn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return inner.CloseWrite()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
