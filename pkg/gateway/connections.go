package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// reconnectDelay is the delay before a broken stream to an agent is reopened.
	// It doubles up to maxReconnectDelay until a status is received.
	reconnectDelay    = 300 * time.Millisecond
	maxReconnectDelay = 1200 * time.Millisecond
	// statusTimeout is the time without a status after which a stream counts as
	// broken.
	statusTimeout = 2500 * time.Millisecond
	// streamOpenTimeout limits the opening of a stream.
	streamOpenTimeout = time.Second
)

// agentConnections keeps a stream open to each agent that this entry subscribes
// to, receives statuses and sends the agents their placements. Only one goroutine
// uses it.
type agentConnections struct {
	self    string
	node    *wire.Node
	control *control
	logger  *slog.Logger
	open    map[string]*agentConnection
	wait    sync.WaitGroup
}

// agentConnection is the stream to one agent.
type agentConnection struct {
	host   roster.Host
	source *statusSource
	cancel context.CancelFunc
}

// follow opens and closes connections to match the given agents.
func (a *agentConnections) follow(ctx context.Context, agents map[string]roster.Host) {
	for id, open := range a.open {
		if host, ok := agents[id]; !ok || host.Revision != open.host.Revision {
			open.cancel()
			delete(a.open, id)
		}
	}
	for id, host := range agents {
		if a.open[id] != nil {
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		opened := &agentConnection{host: host, source: &statusSource{}, cancel: cancel}
		a.open[id] = opened
		a.wait.Go(func() { a.maintain(connCtx, opened) })
	}
}

// maintain keeps a stream to an agent open until ctx ends.
func (a *agentConnections) maintain(ctx context.Context, connection *agentConnection) {
	connected := true
	delay := reconnectDelay
	for ctx.Err() == nil {
		received, err := a.subscribe(ctx, connection)
		if ctx.Err() != nil {
			// The agent's status now comes from another source, or is not needed.
			return
		}
		a.control.loop.Do(func() { a.control.markAgentDisconnected(connection.host.ID, connection.source) })
		if received {
			connected = true
			delay = reconnectDelay
		}
		if connected {
			a.logger.Warn("agent connection lost", "belief", "agent:"+connection.host.ID, "agent", connection.host.ID, "error", err)
		}
		connected = false
		a.node.Retire(connection.host.ID)
		backoff.Sleep(ctx, delay)
		delay = min(2*delay, maxReconnectDelay)
	}
}

// subscribe opens a stream and receives statuses until it breaks. It reports
// whether a status was received.
func (a *agentConnections) subscribe(ctx context.Context, connection *agentConnection) (received bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	stream, err := a.node.Open(openCtx, connection.host.ID, connection.host.InternalAddress)
	cancel()
	if err != nil {
		return false, err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Frame{Subscribe: &wire.Subscribe{Entry: a.self}}); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { a.sendPlacements(stream, connection.host, ended) })
	defer sender.Wait()
	defer close(ended)
	return a.receiveStatuses(stream, connection)
}

func (a *agentConnections) receiveStatuses(stream *wire.Stream, connection *agentConnection) (received bool, err error) {
	for {
		stream.SetReadDeadline(time.Now().Add(statusTimeout))
		frame, err := stream.Receive()
		if err != nil {
			return received, err
		}
		if frame.RunnerStatus == nil {
			continue
		}
		received = true
		a.control.loop.Do(func() {
			a.control.applyAgentStatus(time.Now(), connection.source, connection.host.ID, frame.RunnerStatus)
		})
	}
}

// sendPlacements sends the agent its part of the placement and each change of it.
func (a *agentConnections) sendPlacements(stream *wire.Stream, host roster.Host, ended <-chan struct{}) {
	var last *wire.RunnerPlacement
	for {
		changed := a.control.changes()
		current := a.control.current()
		placement := current.placementFor(host)
		if placement != nil && needsPlacement(placement, last, current.agents[host.ID]) {
			if err := stream.Send(&wire.Frame{RunnerPlacement: omitKnownEngine(placement, last)}); err != nil {
				return
			}
			last = placement
		}
		select {
		case <-ended:
			return
		case <-changed:
		}
	}
}

// omitKnownEngine removes the engine description if it was sent before.
func omitKnownEngine(placement, last *wire.RunnerPlacement) *wire.RunnerPlacement {
	if last == nil || last.Engine != placement.Engine {
		return placement
	}
	reduced := *placement
	reduced.Engine = nil
	return &reduced
}

// needsPlacement reports whether an agent needs a placement: it differs from the
// last one, or the agent has rejected the last one because its revision was
// possibly out of date.
func needsPlacement(placement, last *wire.RunnerPlacement, state *agentState) bool {
	if last == nil {
		return true
	}
	if placement.Instance != last.Instance || placement.StartedAtMillis != last.StartedAtMillis || placement.Engine != last.Engine ||
		(placement.Revision > 0) != (last.Revision > 0) || !slices.EqualFunc(placement.Permits, last.Permits, samePermit) {
		return true
	}
	ignored := state != nil && state.Status != nil && state.Status.PlacementRevision < last.Revision
	return ignored && placement.AsOf > last.AsOf
}

// samePermit reports whether two permits differ at most in the demand rate.
func samePermit(a, b wire.ModelPermit) bool {
	a.Rate, b.Rate = 0, 0
	return a == b
}

// grantLoad grants an agent a load from the weight store.
func (a *agentConnections) grantLoad(ctx context.Context, host, internalAddress, model string) {
	ctx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	defer cancel()
	stream, err := a.node.Open(ctx, host, internalAddress)
	if err == nil {
		err = stream.Send(&wire.Frame{RunnerLoadGrant: &wire.RunnerLoadGrant{Model: model}})
		stream.Close()
	}
	if err != nil {
		a.logger.Warn("load grant not sent", "agent", host, "model", model, "error", err)
	}
}
