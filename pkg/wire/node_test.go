package wire_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// discard is a handler that ends each stream at once.
type discard struct{}

func (discard) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) { stream.Close() }

// newNode opens a node of a role that talks with nodes of another one.
func newNode(t *testing.T, host, role, peers string, handler wire.Handler) *wire.Node {
	t.Helper()
	ephemeral, err := keys.NewEphemeralCredentials(make([]byte, 32), host, role, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	node, err := wire.NewNode(wire.NodeConfig{
		Address:   "127.0.0.1:0",
		ServerTLS: ephemeral.ServerConfig(peers),
		ClientTLS: ephemeral.ClientConfig(peers),
		Identify:  keys.Identify,
		Handler:   handler,
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
		node := newNode(t, "entry-1", keys.RoleEntry, keys.RoleAgent, discard{})
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

// panicking fails at its first stream and answers later ones.
type panicking struct{ served atomic.Int64 }

func (p *panicking) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	if _, err := stream.ReceiveFirst(); err != nil {
		return
	}
	if p.served.Add(1) == 1 {
		var update *wire.SiteUpdate
		update.Agents[0].Status = nil
	}
	_ = stream.Send(&wire.Frame{Accepted: &wire.Accepted{}})
}

// A message that its handler can't cope with ends its stream, not the process.
func TestPanickingHandlerEndsItsStreamOnly(t *testing.T) {
	agent := newNode(t, "runner-1", keys.RoleAgent, keys.RoleEntry, &panicking{})
	t.Cleanup(agent.Close)
	entry := newNode(t, "entry-1", keys.RoleEntry, keys.RoleAgent, discard{})
	t.Cleanup(entry.Close)
	for try, wantAnswer := range []bool{false, true} {
		stream, err := entry.Open(t.Context(), "runner-1", agent.Address())
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&wire.Frame{Acquire: &wire.Acquire{}}); err != nil {
			t.Fatal(err)
		}
		stream.SetReadDeadline(time.Now().Add(5 * time.Second))
		frame, err := stream.Receive()
		if gotAnswer := err == nil && frame.Accepted != nil; gotAnswer != wantAnswer {
			t.Errorf("stream %d: frame %+v, error %v, want an answer: %v", try, frame, err, wantAnswer)
		}
		stream.Cancel()
	}
}
