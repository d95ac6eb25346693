package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// instanceLockRetryInterval is the interval between attempts to acquire the
// instance lock address.
const instanceLockRetryInterval = 250 * time.Millisecond

// acquireInstanceLock listens on the instance lock address, so that only one agent
// runs per backend server. The kernel frees the address only when the process that
// holds it has ended, so that a suspended predecessor keeps this process from
// sending orders to the same backend server. It waits until the address is free or
// ctx ends.
func acquireInstanceLock(ctx context.Context, address string, logger *slog.Logger) (net.Listener, error) {
	waiting := false
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !waiting {
			logger.Warn("instance lock address in use, waiting for the other agent to exit", "address", address, "error", err)
			waiting = true
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("acquire the instance lock address %s: %w", address, err)
		case <-time.After(instanceLockRetryInterval):
		}
	}
}
