package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpdrain"
)

// closeTimeout bounds the wait for requests on the HTTP connections of a stopped
// entry.
const closeTimeout = 2 * time.Second

// httpServer is an HTTP server with its connections.
type httpServer struct {
	http        *http.Server
	connections httpdrain.Connections
}

// newHTTPServer returns a server whose connections close after each response once
// draining reports true.
func newHTTPServer(handler http.Handler, draining func() bool) *httpServer {
	s := &httpServer{}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if draining() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
			httpdrain.ResponseComplete(r.Context())
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       httpdrain.WithConnection,
		ConnState:         s.connections.StateChanged,
	}
	return s
}

// listener returns a listener that tracks the connections that it accepts.
func (s *httpServer) listener(inner net.Listener) net.Listener {
	return s.connections.Listener(inner)
}

// stop closes the idle connections, waits for the requests on the others, and closes
// the server.
func (s *httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.connections.Close(ctx, httpdrain.IdleTime)
	_ = s.http.Close()
}
