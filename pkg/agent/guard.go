package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// guardRetryInterval is the pause between attempts to listen on the guard address.
const guardRetryInterval = 250 * time.Millisecond

// acquireGuard listens on the guard address, which serves as a host-local lock.
// The kernel frees the address only when the process that holds it has ended, so
// that a suspended predecessor keeps this process from sending commands to the
// same backend server. It waits until the address is free or ctx ends.
func acquireGuard(ctx context.Context, address string, logger *slog.Logger) (net.Listener, error) {
	waiting := false
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !waiting {
			logger.Warn("guard address in use, waiting for the other agent to exit", "address", address, "error", err)
			waiting = true
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("guard address %s: %w", address, err)
		case <-time.After(guardRetryInterval):
		}
	}
}
