package httpdrain

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// tlsVersions are the versions that servers accept.
var tlsVersions = map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13}

// dialTLS starts a server with tracked connections below TLS and returns a connection to it
// after the handshake.
func dialTLS(t *testing.T, connections *Connections, version uint16) *caller {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.Listener = connections.Listener(server.Listener)
	server.Config.ConnState = connections.StateChanged
	server.StartTLS()
	t.Cleanup(server.Close)
	config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.MinVersion, config.MaxVersion = version, version
	config.NextProtos = nil
	conn, err := tls.Dial("tcp", server.Listener.Addr().String(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// TestUnusedTLSConnectionIsClosed has no request follow the handshake.
func TestUnusedTLSConnectionIsClosed(t *testing.T) {
	for name, version := range tlsVersions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var connections Connections
			dialTLS(t, &connections, version)
			ctx, cancel := context.WithTimeout(t.Context(), 10*quiet)
			defer cancel()
			if open := connections.Close(ctx, quiet); open != 0 {
				t.Errorf("%d connections open", open)
			}
		})
	}
}

// TestRequestOverTLSAfterCloseIsAnswered has a request begin before the connections are
// closed, in the same way as TestRequestAfterCloseIsAnswered.
func TestRequestOverTLSAfterCloseIsAnswered(t *testing.T) {
	for name, version := range tlsVersions {
		for _, before := range []int{1, 10, headerSize} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var connections Connections
				c := dialTLS(t, &connections, version)
				c.send(t, requestText[:before])
				closed := make(chan int, 1)
				go func() { closed <- connections.Close(t.Context(), quiet) }()
				time.Sleep(3 * quiet)
				c.send(t, requestText[before:])
				c.expectResponse(t)
				_ = c.Close()
				if open := <-closed; open != 0 {
					t.Errorf("%d connections open", open)
				}
			})
		}
	}
}
