package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// guardRetry is the time between two tries to take the guard address.
const guardRetry = 250 * time.Millisecond

// acquireGuard takes the guard address. The kernel frees it only when the
// holding process is dead, so a frozen predecessor keeps this process from
// giving orders to the same backend server. It waits until the address is free
// or ctx ends.
func acquireGuard(ctx context.Context, address string, logger *slog.Logger) (net.Listener, error) {
	waiting := false
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !waiting {
			logger.Warn("guard address is held, waiting for the other agent to end", "address", address, "error", err)
			waiting = true
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("guard address %s: %w", address, err)
		case <-time.After(guardRetry):
		}
	}
}
