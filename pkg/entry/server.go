package entry

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxSyncTimeout bounds how long a Sync waits for changes.
const maxSyncTimeout = 30 * time.Second

// server handles the streams that agents and other entries open.
type server struct {
	control *controlState
}

// ServeStream implements wire.Handler.
func (s *server) ServeStream(ctx context.Context, peer wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.ReceiveFirst()
	if err != nil {
		return
	}
	switch {
	case frame.Sync != nil:
		s.serveSync(ctx, stream, frame.Sync)
	case frame.LoadRequest != nil:
		s.serveLoadRequest(stream, frame.LoadRequest)
	default:
		s.control.logger.Warn("unexpected frame received from a peer", "peer", peer.Host)
		stream.Cancel()
	}
}

func (s *server) serveSync(ctx context.Context, stream *wire.Stream, sync *wire.Sync) {
	wait := min(time.Duration(sync.WaitMillis)*time.Millisecond, maxSyncTimeout)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	update := s.control.syncState.waitForUpdate(waitCtx, sync)
	_ = stream.Send(&wire.Frame{Update: update})
}

func (s *server) serveLoadRequest(stream *wire.Stream, request *wire.LoadRequest) {
	var grant wire.LoadGrant
	if !s.control.loop.Do(func() { grant = s.control.coordinator.Request(time.Now(), *request) }) {
		return
	}
	_ = stream.Send(&wire.Frame{LoadGrant: &grant})
}
