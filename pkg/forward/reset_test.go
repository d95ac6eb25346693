package forward

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// unframedHeader is the header of a response that ends with its connection.
const unframedHeader = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

func resetConnection(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// Guards against a look at busy connections that takes a reset before the reader sees it.
func TestResetIsSeenAfterHasOpen(t *testing.T) {
	looked := make(chan struct{})
	pool, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, _, err := readRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, unframedHeader+"a part")
		<-looked
		resetConnection(conn.(*net.TCPConn))
	})
	response, err := pool.Send(t.Context(), address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if time.Sleep(closeDelay); !pool.HasOpen(address, time.Now()) {
		t.Fatal("the connection isn't open before its reset")
	}
	close(looked)
	time.Sleep(closeDelay)
	if pool.HasOpen(address, time.Now()) {
		t.Error("the connection is open after its reset")
	}
	if body, err := io.ReadAll(response); err == nil {
		t.Errorf("a reset response %q looks complete", body)
	}
}
