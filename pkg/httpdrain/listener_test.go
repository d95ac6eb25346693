package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// failedListener fails to accept connections.
type failedListener struct{ *pipeListener }

var errAccept = errors.New("accept failed")

func (failedListener) Accept() (net.Conn, error) { return nil, errAccept }

// TestFailedListenerDoesNotDelayClose has a server end with an error of its listener before
// it is stopped.
func TestFailedListenerDoesNotDelayClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var connections Connections
		server := &http.Server{ConnState: connections.StateChanged, ReadHeaderTimeout: time.Second}
		inner := failedListener{&pipeListener{closed: make(chan struct{})}}
		if err := server.Serve(connections.Listener(inner)); !errors.Is(err, errAccept) {
			t.Fatalf("serve: %v, want %v", err, errAccept)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		begun := time.Now()
		if open := connections.Close(ctx, quiet); open != 0 {
			t.Errorf("%d connections open", open)
		}
		if took := time.Since(begun); took > quiet {
			t.Errorf("closed after %s", took)
		}
	})
}
