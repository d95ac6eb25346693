package gateway

import (
	"context"
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// peerServer serves the streams that other entries open.
type peerServer struct {
	relay      *relayServer
	limiter    *limiterServer
	quarantine *quarantineClient
	quotas     *quotaServer
	logger     *slog.Logger
}

var _ wire.Handler = (*peerServer)(nil)

// ServeStream implements wire.Handler.
func (s *peerServer) ServeStream(ctx context.Context, peer wire.Peer, stream *wire.Stream) {
	frame, err := stream.ReceiveFirst()
	switch {
	case err != nil:
		stream.Cancel()
	case peer.Role == keys.RoleEntry && frame.Follow != nil:
		defer stream.Cancel()
		s.relay.serve(ctx, stream, frame.Follow)
	case peer.Role == keys.RoleEntry && frame.RateTokenRequest != nil:
		defer stream.Close()
		s.limiter.serve(stream, frame.RateTokenRequest)
	case peer.Role == keys.RoleEntry && frame.CrashReport != nil:
		defer stream.Close()
		s.quarantine.keepForPeer(time.Now(), frame.CrashReport)
	case peer.Role == keys.RoleEntry && frame.StartReport != nil:
		defer stream.Close()
		s.quarantine.keepStartsForPeer(time.Now(), frame.StartReport)
	case peer.Role == keys.RoleEntry && frame.BlockQuery != nil:
		defer stream.Close()
		s.quarantine.answerQuery(time.Now(), stream)
	case peer.Role == keys.RoleEntry && frame.QuotaRequest != nil:
		defer stream.Close()
		s.quotas.serve(peer.Host, stream, frame.QuotaRequest)
	default:
		s.logger.Warn("unexpected frame received from a peer", "peer", peer.Host)
		stream.Cancel()
	}
}
