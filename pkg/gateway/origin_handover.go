package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// handoversPerStream is the number of agents that get the origin of a stream whose agent
	// may have lost it, so that it survives the loss of one.
	handoversPerStream = 2
	// handoverTimeout limits the time to send an origin to an agent.
	handoverTimeout = time.Second
	// handoverInterval is the time between two tries to hand an origin over.
	handoverInterval = 500 * time.Millisecond
	// handoverLabel separates the choice of these agents from other choices among them.
	handoverLabel = "stream "
)

// errNotHandedOver means that no agent confirmed the receipt of an origin.
var errNotHandedOver = errors.New("no agent has received the origin")

// watchLease has the origin handed over once the agent that recorded it with the lease is
// gone. If none did, it is handed over at once, unless a single version is in service, which
// needs no record.
func (x *exchange) watchLease() {
	origin, agent := *x.origin, x.lastAgent
	handOver := func() { x.handOverOrigin(origin, agent) }
	if x.lease.isModelLease() {
		x.unwatchLease = context.AfterFunc(x.lease.stream.Context(), handOver)
		return
	}
	x.unwatchLease = func() bool { return false }
	if len(x.recentVersions(origin.RecordedAt)) != 1 {
		go handOver()
	}
}

// endLeaseWatch ends the watch of the lease, which is about to be released.
func (x *exchange) endLeaseWatch() {
	if x.unwatchLease != nil {
		x.unwatchLease()
	}
	x.unwatchLease = nil
}

// handOverAtEnd hands the origin of a stream over that its caller may resume, if the agent
// that recorded it may be gone.
func (x *exchange) handOverAtEnd() {
	if x.origin != nil && x.mayBeResumed() {
		go x.handOverOrigin(*x.origin, x.lastAgent)
	}
}

// handOverOrigin gives an origin to other agents than the one that recorded it, which is
// the last choice. It tries again while none receives it, until the caller can't come back
// or this entry stops. Any goroutine may call it once the stream has an event.
func (x *exchange) handOverOrigin(origin resumption.Origin, recordedBy string) {
	node := x.handler.node.Load()
	if node == nil {
		return
	}
	until := origin.RecordedAt.Add(x.originRetention(origin.RecordedAt))
	for {
		err := x.sendOrigin(node, origin, x.handoverAgents(recordedBy))
		if err == nil {
			return
		}
		backoff.Sleep(x.handler.queued, handoverInterval)
		if x.handler.queued.Err() != nil || !time.Now().Before(until) {
			x.logger.Warn("origin of a stream not handed over", "stream", x.stream, "software", origin.Software, "error", err)
			return
		}
	}
}

// handoverAgents returns agents that respond, first those that other entries ask first for
// the origins of streams of the request's model.
func (x *exchange) handoverAgents(recordedBy string) []agentAddress {
	likely, others := x.originAgents()
	ranked := append(x.rankAgents(likely), x.rankAgents(others)...)
	var agents, last []agentAddress
	for _, agent := range ranked {
		if agent.host == recordedBy {
			last = append(last, agent)
		} else {
			agents = append(agents, agent)
		}
	}
	agents = append(agents, last...)
	return agents[:min(len(agents), handoversPerStream)]
}

// rankAgents sorts agents by rendezvous hashing, so that the streams are spread over them.
func (x *exchange) rankAgents(agents []agentAddress) []agentAddress {
	addresses := make(map[string]string, len(agents))
	hosts := make([]string, len(agents))
	for i, agent := range agents {
		addresses[agent.host] = agent.internalAddress
		hosts[i] = agent.host
	}
	ranked := make([]agentAddress, len(agents))
	for i, host := range membership.RendezvousRank(handoverLabel+x.stream, hosts) {
		ranked[i] = agentAddress{host, addresses[host]}
	}
	return ranked
}

// sendOrigin sends an origin to agents, all at once. The error means that none of them has
// received it.
func (x *exchange) sendOrigin(node *wire.Node, origin resumption.Origin, agents []agentAddress) error {
	now := time.Now()
	frame := &wire.Frame{OriginHandover: &wire.OriginHandover{
		StreamID:   x.stream,
		Origin:     *wire.NewStreamOrigin(now, origin),
		KeepMillis: uint32(x.originRetention(now).Milliseconds()),
	}}
	results := make(chan error, len(agents))
	for _, agent := range agents {
		go func() { results <- sendHandover(node, agent, frame) }()
	}
	received, failure := 0, errNotHandedOver
	for range agents {
		if err := <-results; err != nil {
			failure = fmt.Errorf("%w: %w", failure, err)
		} else {
			received++
		}
	}
	if received == 0 {
		return failure
	}
	x.logger.Info("origin of a stream handed over", "stream", x.stream, "software", origin.Software, "agents", len(agents), "received", received)
	return nil
}

// sendHandover sends a handover to an agent and waits until the agent has applied it.
func sendHandover(node *wire.Node, agent agentAddress, frame *wire.Frame) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	_, err := node.Call(ctx, agent.host, agent.internalAddress, frame)
	if errors.Is(err, io.EOF) {
		// The agent sends nothing and ends the call.
		return nil
	}
	return err
}
