package httpjson

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// uploadBytes is the size of a request whose writes have to wait for the server, and
	// smallBuffer that of the server's receive buffer.
	uploadBytes = 4 << 20
	smallBuffer = 4 << 10
	// resetExchanges is the number of exchanges, resetWait the time between the response and
	// the reset of its connection.
	resetExchanges = 50
	resetWait      = 2 * time.Millisecond
)

// serveEarly starts a server that responds to each request before it has read its body, and
// resets the connection.
func serveEarly(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { respondEarly(conn.(*net.TCPConn), response) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return "http://" + listener.Addr().String()
}

func respondEarly(conn *net.TCPConn, response string) {
	defer conn.Close()
	if conn.SetReadBuffer(smallBuffer) != nil {
		return
	}
	if _, err := bufio.NewReader(conn).Peek(1); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response)
	time.Sleep(resetWait)
	_ = conn.SetLinger(0)
}

// Guards against a reset that the transport's writer takes and that then looks like the end
// of a body.
func TestBodyCutOffDuringUploadIsNotDecoded(t *testing.T) {
	address := serveEarly(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"values":[1,2`)
	client := &http.Client{Transport: NewTransport(1), CheckRedirect: RefuseRedirect}
	defer client.CloseIdleConnections()
	unseen := 0
	for range resetExchanges {
		response, err := client.Post(address, "application/json", bytes.NewReader(make([]byte, uploadBytes)))
		if err != nil {
			continue
		}
		var values struct{ Values []int }
		err = Decode(response.Body, uploadBytes, &values)
		_ = response.Body.Close()
		if err == nil {
			t.Errorf("decoded %v of a body that was cut off", values)
		}
		if !errors.Is(err, syscall.ECONNRESET) {
			unseen++
		}
	}
	t.Logf("%d of %d bodies ended without ECONNRESET", unseen, resetExchanges)
}
