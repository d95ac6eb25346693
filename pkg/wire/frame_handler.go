package wire

import (
	"context"
	"log/slog"
)

// FrameHandler is a Handler that serves streams by their first frame.
type FrameHandler struct {
	// Serve serves a stream, which is closed when it returns true. It returns false if
	// no stream begins with such a frame; the stream is then cancelled. If it panics,
	// the node cancels the stream, so that it never ends in order by accident.
	Serve  func(ctx context.Context, peer Peer, stream *Stream, first *Frame) bool
	Logger *slog.Logger
}

var _ Handler = (*FrameHandler)(nil)

// ServeStream implements Handler.
func (h *FrameHandler) ServeStream(ctx context.Context, peer Peer, stream *Stream) {
	first, err := stream.ReceiveFirst()
	if err != nil {
		stream.Cancel()
		return
	}
	if !h.Serve(ctx, peer, stream, first) {
		h.Logger.Warn("unexpected frame received from a peer", "peer", peer.Host)
		stream.Cancel()
		return
	}
	stream.Close()
}
