package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

// memoryWait is how long a request waits for memory before it is refused.
const memoryWait = 300 * time.Millisecond

// limitMemory creates the pool of what callers may hold, and limits the heap.
func (g *Gateway) limitMemory() error {
	resources, err := callerlimits.ProcessResources(g.config.Limits.MemoryMB, g.config.Limits.MaxDescriptors)
	if err != nil {
		return fmt.Errorf("find the limits of the process: %w", err)
	}
	limits := resources.PoolLimits()
	g.callerMemory = memory.NewPool(limits, memoryWait, func() { g.observer.limitExceeded(callerlimits.CutOff) })
	// The heap's limit has memory collected earlier; it fails nothing.
	debug.SetMemoryLimit(resources.HeapLimit())
	g.logger.Info("memory limited", "memory_bytes", resources.Memory, "callers_bytes", limits.Total, "heap_bytes", resources.HeapLimit(),
		"descriptors", resources.Descriptors, "caller_connections", limits.MaxClaims)
	return nil
}

// limitCallers returns a listener that bounds what its connections hold, and starts its
// sweep.
func (g *Gateway) limitCallers(ctx context.Context, inner net.Listener) *callerlimits.Listener {
	limited := callerlimits.NewListener(inner, g.callerMemory, g.control.limits, g.observer.limitExceeded)
	g.wait.Go(func() { limited.Sweep(ctx) })
	return limited
}

// limits returns the limits of the configuration; zero before the first one.
func (c *control) limits() fleet.Limits {
	table := c.current().table
	if table == nil {
		return fleet.Limits{}
	}
	return table.Configuration().Limits
}

// connStates returns a ConnState callback that calls all of the given ones.
func connStates(callbacks ...func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(connection net.Conn, state http.ConnState) {
		for _, callback := range callbacks {
			callback(connection, state)
		}
	}
}

// updateMemoryGauges updates the gauges of what callers hold.
func (g *Gateway) updateMemoryGauges() {
	held, connections := g.callerMemory.Held()
	for kind, bytes := range held {
		g.observer.metrics.HeldBytes(kind.String(), bytes)
	}
	g.observer.metrics.CallerConnections(connections)
}

// limitExceeded records that a request was refused or a connection closed by a limit.
func (o *observer) limitExceeded(cause callerlimits.Cause) {
	o.metrics.LimitExceeded(string(cause))
	if cause != callerlimits.Idle && o.limitSampler.Allow(time.Now()) {
		o.logger.Warn("caller exceeded a limit", "cause", string(cause))
	}
}
