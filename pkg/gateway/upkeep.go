package gateway

import (
	"context"
	"time"
)

// keepUp passes on to the request path what follows from changes of the control
// state, until ctx ends: how many entries share the retry budget, and which
// backend servers are gone.
func (g *Gateway) keepUp(ctx context.Context) {
	addresses := make(map[string]bool)
	for ctx.Err() == nil {
		changed := g.control.changes()
		current := g.control.current()
		if entries := current.entries(); entries > 0 {
			g.handler.budget.SetEntries(entries)
		}
		addresses = g.forgetServers(current, addresses)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// forgetServers drops what is kept of servers that are gone, and returns the
// addresses of those that aren't.
func (g *Gateway) forgetServers(current *view, before map[string]bool) map[string]bool {
	ids := make(map[string]bool)
	addresses := make(map[string]bool)
	for _, servers := range current.servers {
		for _, s := range servers {
			ids[s.ID] = true
			addresses[s.Address] = true
		}
	}
	for address := range before {
		if !addresses[address] {
			g.pool.Forget(address)
		}
	}
	g.handler.tracker.Prune(func(id string) bool { return ids[id] })
	g.handler.gate.Sweep(time.Now())
	return addresses
}
