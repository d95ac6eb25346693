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

// serve serves a stream by its first frame.
func (s *server) serve(ctx context.Context, _ wire.Peer, stream *wire.Stream, first *wire.Frame) bool {
	switch {
	case first.Sync != nil:
		s.serveSync(ctx, stream, first.Sync)
	case first.LoadRequest != nil:
		s.serveLoadRequest(stream, first.LoadRequest)
	default:
		return false
	}
	return true
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
