package callerlimits

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

// lateListener accepts connections whose first read returns its data once the connection is
// being ended.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn, read: make(chan struct{}, 1), ending: make(chan struct{}, 1)}, nil
}

type lateConn struct {
	net.Conn
	wasRead atomic.Bool
	// read receives when the first data was read, ending when the connection is being ended.
	read, ending chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.wasRead.CompareAndSwap(false, true) {
		c.read <- struct{}{}
		<-c.ending
	}
	return n, err
}

func (c *lateConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if deadline.Equal(expired) {
		select {
		case c.ending <- struct{}{}:
		default:
		}
	}
	return err
}

// Guards against a request that is read while its idle connection is ended, and gets no response.
func TestRequestReadWhileItsConnectionIsEndedIsAnswered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := memory.NewPool(roomyPool(), time.Second, func() {})
	listener := NewListener(lateListener{inner}, pool, func() fleet.Limits { return fleet.Limits{} }, func(Cause) {})
	accepted := make(chan *Conn, 1)
	server := &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- Find(conn)
			}
			listener.StateChanged(conn, state)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(100 * time.Millisecond):
			}
		}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	answered := make(chan int, 1)
	conn := dial(t, inner.Addr().String())
	go func() {
		answered <- exchange(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	}()
	c := <-accepted
	<-c.Conn.(*lateConn).read
	if !c.claim.CutOff() {
		t.Fatal("an idle connection wasn't ended")
	}
	if got := <-answered; got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if cause := c.EndedBy(); cause != "" {
		t.Errorf("the connection counts as ended by %s", cause)
	}
}
