package keys

import (
	"crypto/tls"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Identify returns the peer of a connection as the type of the internal protocol.
func Identify(state tls.ConnectionState) (wire.Peer, error) {
	id, role, err := PeerIdentity(state)
	if err != nil {
		return wire.Peer{}, err
	}
	return wire.Peer{Host: id, Role: role}, nil
}
