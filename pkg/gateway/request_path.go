package gateway

import (
	"context"
	"time"
)

// syncRequestPath updates the request path after changes of the control state
// until ctx ends: the number of entries that share the retry budget, and the
// removed backend servers.
func (g *Gateway) syncRequestPath(ctx context.Context) {
	addresses := make(map[string]bool)
	for ctx.Err() == nil {
		changed := g.control.changes()
		current := g.control.current()
		if entries := current.entries(); entries > 0 {
			g.handler.budget.SetEntries(entries)
		}
		addresses = g.pruneServers(current, addresses)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// pruneServers discards the connections and state of removed servers, and
// returns the addresses of the present ones.
func (g *Gateway) pruneServers(current *view, previous map[string]bool) map[string]bool {
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for _, servers := range current.servers {
		for _, s := range servers {
			ids[s.ID] = true
			addresses[s.Address] = true
		}
	}
	for address := range previous {
		if !addresses[address] {
			g.pool.CloseIdle(address)
		}
	}
	g.handler.tracker.Prune(func(id string) bool { return ids[id] })
	now := time.Now()
	g.handler.gate.Sweep(now)
	g.handler.limits.Sweep(now)
	g.handler.limiters.server.limiter.Sweep(now)
	return addresses
}
