package wire_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// discard is a handler that ends each stream at once.
type discard struct{}

func (discard) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) { stream.Close() }

func newNode(t *testing.T) *wire.Node {
	t.Helper()
	ephemeral, err := keys.NewEphemeral(make([]byte, 32), "entry-1", keys.RoleEntry, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	node, err := wire.NewNode(wire.NodeConfig{
		Address:   "127.0.0.1:0",
		ServerTLS: ephemeral.ServerConfig(keys.RoleAgent),
		ClientTLS: ephemeral.ClientConfig(keys.RoleAgent),
		Identify:  keys.Identify,
		Handler:   discard{},
		Logger:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// Goroutines that still open streams while the node closes must not start work
// that Close no longer waits for: the process ended with a panic there.
func TestOpenWhileClosing(t *testing.T) {
	const rounds, callers = 200, 4
	for range rounds {
		node := newNode(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				for ctx.Err() == nil {
					_, _ = node.Open(ctx, "runner-1", "no address")
				}
			})
		}
		node.Close()
		_, err := node.Open(t.Context(), "runner-1", "no address")
		var failure *wire.Error
		if !errors.Is(err, wire.ErrClosed) || !errors.As(err, &failure) || !failure.NotSent {
			t.Fatalf("open after Close: %v, want ErrClosed, not sent", err)
		}
		cancel()
		wait.Wait()
	}
}
