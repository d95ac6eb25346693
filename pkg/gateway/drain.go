package gateway

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpdrain"
)

const (
	// drainNotice is how long a stopping entry accepts new connections after its
	// readiness check fails, so that the load balancer removes it first.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is the time reserved before the platform kills the process.
	drainMargin = 300 * time.Millisecond
	// queuedMargin is how long before the end of draining the requests that still
	// wait for a runner are refused.
	queuedMargin = 1200 * time.Millisecond
	// cutOffTime limits the wait for the requests that were cut off, cutOffCheckInterval is
	// the time between two checks.
	cutOffTime          = 50 * time.Millisecond
	cutOffCheckInterval = 2 * time.Millisecond
)

// isReady reports to the load balancer whether to send new connections to this
// entry.
func (g *Gateway) isReady() bool {
	current := g.control.current()
	return !g.stopped.Load() && current.table != nil && len(current.servers) > 0
}

// drain waits for the load balancer to remove this entry, then closes the listener
// and the idle connections and waits for the requests in flight. Requests that still
// arrive on connections in use are refused if they may outlast it.
func (g *Gateway) drain() {
	started := time.Now()
	end := started.Add(time.Duration(g.config.DrainMillis)*time.Millisecond - drainMargin)
	g.logger.Info("draining", "in_flight", g.handler.inFlight.Load())
	g.handler.stop.begin(started)
	g.stopped.Store(true)
	g.handler.closing.Store(true)
	cancelTimer := time.AfterFunc(time.Until(end)-queuedMargin, g.handler.cancelQueued)
	defer cancelTimer.Stop()
	time.Sleep(drainNotice)
	g.handler.drainEnd.Store(&end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	open := g.callerConnections.Close(ctx, httpdrain.IdleTime)
	inFlight := g.handler.inFlight.Load()
	g.cutOff()
	_ = g.readinessServer.Close()
	g.logger.Info("stopped", "in_flight", inFlight, "connections", open, "unrecorded", g.handler.inFlight.Load())
}

// cutOff ends the requests that are left, and waits until their ends are recorded.
func (g *Gateway) cutOff() {
	g.endRequests(errDrainEnded)
	g.awaitRequests()
	_ = g.callerServer.Close()
	g.awaitRequests()
}

// awaitRequests waits until no request is in flight, for at most cutOffTime.
func (g *Gateway) awaitRequests() {
	for end := time.Now().Add(cutOffTime); g.handler.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(cutOffCheckInterval)
	}
}
