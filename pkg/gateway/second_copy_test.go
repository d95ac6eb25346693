package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// rejectingServer rejects the first request on each connection as not run, with a second
// copy of the rejection before the next response on it, and runs all others.
type rejectingServer struct {
	rejected atomic.Bool
	runs     atomic.Int32
}

func (s *rejectingServer) serve(conn net.Conn) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\n" + endSiteHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	requests := bufio.NewReader(conn)
	copyDue := ""
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.rejected.CompareAndSwap(false, true) {
			copyDue = rejection
			_, _ = io.WriteString(conn, rejection)
			continue
		}
		s.runs.Add(1)
		_, _ = fmt.Fprint(conn, copyDue+"HTTP/1.1 200 OK\r\n"+endSiteHeader+"Content-Length: 0\r\n\r\n")
		copyDue = ""
	}
}

// Guards against a request that counts as not run, by a second copy of its first rejection, while it runs.
func TestSecondSendIsNotAnsweredByCopyOfRejection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rejecting := &rejectingServer{}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer conn.Close()
				rejecting.serve(conn)
			})
		}
	})
	x := testExchange(plainCodec{}, &fleet.Route{Destinations: []fleet.Destination{{Service: testService}}})
	x.outgoing.ID = "r-1"
	x.handler = newEndHandler(t, newControl(discardLogger()))
	x.machine = x.newMachine()
	t.Cleanup(func() {
		_ = listener.Close()
		x.handler.pool.CloseIdle(listener.Addr().String())
		serving.Wait()
	})
	backend := &server{Backend: &fleet.Backend{ID: "i-1", Address: listener.Addr().String()}}
	sendAndDiscard := func() *attempt.Event {
		event, response := x.send(t.Context(), backend)
		if response != nil {
			response.Discard()
		}
		return event
	}
	if event := sendAndDiscard(); event == nil || *event != attempt.NotRun {
		t.Fatalf("event %v of the first send, want a rejection", event)
	}
	if event := sendAndDiscard(); event != nil || rejecting.runs.Load() != 1 {
		t.Errorf("event %v of the second send and %d runs, want the answer of its run", event, rejecting.runs.Load())
	}
}
