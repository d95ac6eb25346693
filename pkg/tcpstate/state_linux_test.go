package tcpstate

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// arrivalTime is how long the end of a connection may take to arrive.
const arrivalTime = 20 * time.Millisecond

// connect returns the two sides of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// reset resets the connection of a peer and waits until that has arrived.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(arrivalTime)
}

// checkState fails the test unless a connection has a state.
func checkState(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	if state, err := Of(conn); state != want || err != nil {
		t.Errorf("state %s, %v, want %s", state, err, want)
	}
}

// Guards against a reset whose error a write has taken and that then looks like an orderly end.
func TestResetIsSeenAfterAnotherCallHasTakenItsError(t *testing.T) {
	near, far := connect(t)
	checkState(t, near, Open)
	reset(t, far)
	if _, err := near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v, want ECONNRESET", err)
	}
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read: %v, want the kernel's misleading EOF", err)
	}
	checkState(t, near, Closed)
}

func TestOrderlyEndIsSeen(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			if err := end(far); err != nil {
				t.Fatal(err)
			}
			if _, err := near.Read(make([]byte, 1)); err != io.EOF {
				t.Fatal(err)
			}
			checkState(t, near, PeerClosed)
		})
	}
}

func TestArrivalOfEndIsKnownLater(t *testing.T) {
	near, far := connect(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	const pause = 50 * time.Millisecond
	time.Sleep(pause)
	ended := time.Now()
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	if _, err := io.ReadAll(near); err != nil {
		t.Fatal(err)
	}
	ago, err := LastReceived(near)
	// The kernel's clock may be behind by a tick.
	const tick = 10 * time.Millisecond
	if most := time.Since(ended) + tick; err != nil || ago < pause-tick || ago > most {
		t.Errorf("%s ago, %v, want from %s to %s", ago, err, pause-tick, most)
	}
}

func TestConnectionWithoutSocketHasNoState(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if _, err := Of(near); !errors.Is(err, ErrNotTCP) {
		t.Errorf("error %v, want ErrNotTCP", err)
	}
}

// Guards against a look at a connection that takes the error which its reader waits for.
func TestLookDoesNotTakeResetFromReader(t *testing.T) {
	near, far := connect(t)
	checkQuiet(t, near, true)
	reset(t, far)
	checkQuiet(t, near, false)
	checkState(t, near, Closed)
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v, want ECONNRESET", err)
	}
}

func TestConnectionWithBytesOrEndIsNotQuiet(t *testing.T) {
	near, far := connect(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(arrivalTime)
	checkQuiet(t, near, false)
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	checkQuiet(t, near, true)
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(arrivalTime)
	checkQuiet(t, near, false)
}

// checkQuiet fails the test unless a connection is quiet or not, as wanted.
func checkQuiet(t *testing.T, conn net.Conn, want bool) {
	t.Helper()
	if quiet, err := IsQuiet(conn); quiet != want || err != nil {
		t.Errorf("quiet: %t, %v, want %t", quiet, err, want)
	}
}
