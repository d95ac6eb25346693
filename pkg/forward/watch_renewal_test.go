package forward

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// listenUpTo accepts connections, closes those beyond a limit at once, and the others once they
// have been idle for idleTime.
func listenUpTo(t *testing.T, limit int32, idleTime time.Duration) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if accepted.Add(1) > limit {
				_ = conn.Close()
				continue
			}
			time.AfterFunc(idleTime, func() { _ = conn.Close() })
		}
	}()
	return listener
}

// Guards against a server that closes idle connections and is taken for one that has ended.
func TestWatchOutlivesTheIdleTimeOfItsConnections(t *testing.T) {
	const idleTime = 1500 * time.Millisecond
	listener := listenUpTo(t, 100, idleTime)
	pool, _ := serve(t, respondWith())
	watch, err := pool.NewWatch(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	if time.Sleep(2 * idleTime); !watch.IsOpen() {
		t.Error("the watch has ended with its connection")
	}
}

// Guards against a watch that gives up its connection for one that its server has no room for.
func TestWatchKeepsItsConnectionWhereTheServerHasNoRoom(t *testing.T) {
	listener := listenUpTo(t, 1, time.Minute)
	pool, _ := serve(t, respondWith())
	watch, err := pool.NewWatch(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	if time.Sleep(watchRenewInterval + closeDelay + EstablishTime); !watch.IsOpen() {
		t.Error("the watch has ended with a connection beyond the limit")
	}
}

// Guards against a stream whose data has the watch take a connection that its server has no room for.
func TestRefreshKeepsItsConnectionWhereTheServerHasNoRoom(t *testing.T) {
	listener := listenUpTo(t, 1, time.Minute)
	pool, _ := serve(t, respondWith())
	watch, err := pool.NewWatch(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	watch.renewedAt = time.Time{}
	watch.Refresh(t.Context())
	if time.Sleep(closeDelay); !watch.IsOpen() {
		t.Error("the watch has ended with a connection beyond the limit")
	}
}
