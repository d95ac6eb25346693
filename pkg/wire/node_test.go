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

// discard is a handler that closes each stream immediately.
type discard struct{}

func (discard) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) { stream.Close() }

// newNode opens a node of one role that communicates with nodes of another role.
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

// TestOpenWhileClosing opens streams while the node closes. Open must not start a
// dial after Close has stopped waiting for dials: this caused a panic that ended the
// process.
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

// panicking is a handler that panics on its first stream and responds on later ones.
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

// TestHandlerPanicEndsOnlyItsStream checks that a message which makes its handler
// panic ends its stream, but not the process.
func TestHandlerPanicEndsOnlyItsStream(t *testing.T) {
	agent := newNode(t, "runner-1", keys.RoleAgent, keys.RoleEntry, &panicking{})
	t.Cleanup(agent.Close)
	entry := newNode(t, "entry-1", keys.RoleEntry, keys.RoleAgent, discard{})
	t.Cleanup(entry.Close)
	for try, wantResponse := range []bool{false, true} {
		stream, err := entry.Open(t.Context(), "runner-1", agent.Address())
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&wire.Frame{Acquire: &wire.Acquire{}}); err != nil {
			t.Fatal(err)
		}
		stream.SetReadDeadline(time.Now().Add(5 * time.Second))
		frame, err := stream.Receive()
		if gotResponse := err == nil && frame.Accepted != nil; gotResponse != wantResponse {
			t.Errorf("stream %d: frame %+v, error %v, want a response: %v", try, frame, err, wantResponse)
		}
		stream.Cancel()
	}
}
