package entry

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxSyncWait bounds how long a Sync is held back.
const maxSyncWait = 30 * time.Second

// server answers the streams that agents and other entries open.
type server struct {
	control *control
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
		s.serveLoadAsk(stream, frame.LoadRequest)
	default:
		s.control.logger.Warn("unexpected frame", "peer", peer.Host)
		stream.Cancel()
	}
}

func (s *server) serveSync(ctx context.Context, stream *wire.Stream, sync *wire.Sync) {
	wait := min(time.Duration(sync.WaitMillis)*time.Millisecond, maxSyncWait)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	update := s.control.feed.wait(waitCtx, sync)
	_ = stream.Send(&wire.Frame{Update: update})
}

func (s *server) serveLoadAsk(stream *wire.Stream, ask *wire.LoadRequest) {
	var slot wire.LoadGrant
	if !s.control.loop.Do(func() { slot = s.control.coordinator.Request(time.Now(), *ask) }) {
		return
	}
	_ = stream.Send(&wire.Frame{LoadGrant: &slot})
}
