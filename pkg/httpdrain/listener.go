package httpdrain

import (
	"net"
	"sync"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	owner *Connections
	// ended is closed once no further connection will be accepted.
	ended chan struct{}

	mu sync.Mutex
	// closed is set once Close was called, failed while the last Accept has failed.
	closed bool
	failed bool
	// hasEnded is set once ended is closed.
	hasEnded bool
}

func newListener(inner net.Listener, owner *Connections) *listener {
	return &listener{Listener: inner, owner: owner, ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.setFailed(false)
	conn, err := l.Listener.Accept()
	if err != nil {
		l.setFailed(true)
		return nil, err
	}
	return &connection{Conn: conn, owner: l.owner}, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.checkEnded()
	return err
}

// setFailed notes whether the last Accept has failed; one that still runs has not.
func (l *listener) setFailed(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = failed
	l.checkEnded()
}

// checkEnded closes ended if no connection can come any more: those accepted are known to
// the server, which has called Accept again, and each further call fails.
func (l *listener) checkEnded() {
	if l.closed && l.failed && !l.hasEnded {
		l.hasEnded = true
		close(l.ended)
	}
}
