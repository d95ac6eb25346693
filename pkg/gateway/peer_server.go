package gateway

import (
	"context"
	"log/slog"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// peerServer serves the streams that other entries open.
type peerServer struct {
	relay   *relayServer
	limiter *limiterServer
	quotas  *quotaServer
	logger  *slog.Logger
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
	case peer.Role == keys.RoleEntry && frame.QuotaRequest != nil:
		defer stream.Close()
		s.quotas.serve(peer.Host, stream, frame.QuotaRequest)
	default:
		s.logger.Warn("unexpected frame received from a peer", "peer", peer.Host)
		stream.Cancel()
	}
}
