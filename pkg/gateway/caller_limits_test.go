package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/httpdrain"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

// ordinaryRequest is what callers send most.
const ordinaryRequest = "POST /a/b HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: u\r\nContent-Length: 40\r\nX-Request: r-0123456789abcdef01234567\r\nX-Model: model-000001\r\nX-Size-In-Tokens: 1000,100\r\nX-Budget-In-Milliseconds: 10000\r\n\r\n0123456789012345678901234567890123456789"

// BenchmarkOrdinaryRequest measures one request on an open connection, with and without the
// limits: its head and body are read, and it is answered.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := "plain"
		if limited {
			name = "limited"
		}
		b.Run(name, func(b *testing.B) { benchmarkRequests(b, limited) })
	}
}

func benchmarkRequests(b *testing.B, limited bool) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var connections httpdrain.Connections
	server := &http.Server{
		ConnContext: withCallerConnection,
		ConnState:   connections.StateChanged,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, failure := readBody(w, r, fleet.Limits{}, time.Now().Add(time.Minute))
			if failure != nil {
				b.Error(failure.reason)
			}
			_, _ = w.Write(body)
		}),
	}
	listener := inner
	if limited {
		resources := callerlimits.Resources{Memory: 256 << 20, Descriptors: 4096}
		pool := memory.NewPool(resources.PoolLimits(), memoryWait, func() {})
		limit := callerlimits.NewListener(inner, pool, func() fleet.Limits { return fleet.Limits{MaxHeaderBytes: 16 << 10} }, func(callerlimits.Cause) {})
		server.ConnState = connStates(connections.StateChanged, limit.StateChanged)
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		go limit.Sweep(ctx)
		listener = limit
	}
	go func() { _ = server.Serve(connections.Listener(listener)) }()
	defer server.Close()
	connection, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(connection, ordinaryRequest); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
