package forward

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// closeDelay is how long the end of a connection may take to arrive.
const closeDelay = 20 * time.Millisecond

// listen accepts connections and keeps them open until stop is called, which closes all
// of them and the listener, as the kernel does for a process that ends.
func listen(t *testing.T, address string) (listener net.Listener, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	go func() {
		defer close(accepted)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener, func() {
		_ = listener.Close()
		for conn := range accepted {
			_ = conn.Close()
		}
	}
}

// Guards against a process that is started again at once and is taken for the former one.
func TestWatchEndsWithTheProcessAlsoIfAnotherOneListens(t *testing.T) {
	listener, stop := listen(t, "127.0.0.1:0")
	pool, _ := serve(t, respondWith())
	watch, err := pool.NewWatch(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if time.Sleep(closeDelay); !watch.IsOpen() {
		t.Fatal("the watch ended before the process")
	}
	stop()
	_, stopNext := listen(t, listener.Addr().String())
	defer stopNext()
	time.Sleep(closeDelay)
	if watch.IsOpen() {
		t.Error("the watch goes on with another process")
	}
	watch.renewedAt = time.Time{}
	if watch.Refresh(t.Context()); watch.IsOpen() {
		t.Error("the watch was renewed with another process")
	}
	if err := pool.CheckListening(t.Context(), listener.Addr().String()); err != nil {
		t.Error(err)
	}
}

// Guards against a watch that ends since its connection was idle for too long.
func TestWatchIsRenewedWhileTheProcessRuns(t *testing.T) {
	listener, stop := listen(t, "127.0.0.1:0")
	defer stop()
	pool, _ := serve(t, respondWith())
	watch, err := pool.NewWatch(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	first := watch.conn
	watch.Refresh(t.Context())
	if watch.conn != first {
		t.Error("a new connection was replaced")
	}
	watch.renewedAt = time.Time{}
	watch.Refresh(t.Context())
	if watch.conn == first || !watch.IsOpen() {
		t.Error("an old connection wasn't replaced")
	}
	watch.Close()
	if kept := pool.takeIdle(listener.Addr().String(), time.Now(), nil); kept != nil {
		t.Error("a connection is kept on which the server may wait for a request")
	}
}

// Guards against a server at its limit of connections that is taken for one that has ended.
func TestServerThatClosesConnectionsListens(t *testing.T) {
	pool, address := serve(t, func(net.Conn, *bufio.Reader) {})
	if err := pool.CheckListening(t.Context(), address); err != nil {
		t.Error(err)
	}
	listener, stop := listen(t, "127.0.0.1:0")
	stop()
	if err := pool.CheckListening(t.Context(), listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want a refused connection", err)
	}
}
