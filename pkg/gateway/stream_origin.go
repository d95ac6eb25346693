package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// handoversPerStream is the number of agents that get the origin of a stream that broke
	// off, so that it survives the loss of one.
	handoversPerStream = 2
	// handoverTimeout limits the time to send an origin to an agent.
	handoverTimeout = time.Second
	// handoverLabel separates the choice of these agents from other choices among them.
	handoverLabel = "stream "
)

// streamOrigins holds the origins of the streams that this entry has served, for callers
// that resume them. The zero value is empty. It is safe for concurrent use.
type streamOrigins struct {
	mu      sync.Mutex
	records resumption.Records
}

// put records an origin, and reports whether another one had to be dropped for it.
func (o *streamOrigins) put(now time.Time, stream string, origin resumption.Origin, retention time.Duration) (dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Put(now, stream, origin, retention)
}

func (o *streamOrigins) find(now time.Time, stream string) (resumption.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Find(now, stream)
}

func (o *streamOrigins) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Len()
}

// streamID returns the ID of the stream that a request begins or resumes; empty if its
// response can't be resumed.
func streamID(route *fleet.Route, requestID, lastEventID, resumes string) string {
	switch {
	case route.Kind != fleet.Streaming || !route.Resumable:
		return ""
	case lastEventID != "" && resumes != "":
		return resumes
	default:
		return requestID
	}
}

// hasEvents reports whether the caller has an event of the stream.
func (x *exchange) hasEvents() bool {
	return x.caller.LastEventID != "" || x.progress.events.Count() > 0
}

// originRetention is how long the origin of the stream is kept from now on: as long as its
// caller may come back.
func (x *exchange) originRetention(now time.Time) time.Duration {
	until := x.deadline
	if byCaller := x.arrived.Add(x.caller.Budget); byCaller.After(until) {
		until = byCaller
	}
	return resumption.RetentionFor(until.Sub(now))
}

// recordOrigin records where the stream began once it has an event, before the event is
// sent to the caller. If no agent has recorded it, it is handed over at once.
func (x *exchange) recordOrigin(backend *server) {
	if x.stream == "" || x.origin != nil || x.progress.events.Count() == 0 {
		return
	}
	now := time.Now()
	x.origin = &resumption.Origin{
		Service:    x.service,
		Software:   backend.Software,
		Attempt:    resumption.Attempt{RequestID: x.caller.RequestID, Ordinal: x.leaseRequests},
		Confirmed:  true,
		RecordedAt: now,
	}
	if x.handler.origins.put(now, x.stream, *x.origin, x.originRetention(now)) {
		x.handler.observer.originDropped(now)
	}
	if !x.leased {
		x.handOverOrigin()
	}
}

// streamAttempt describes the stream to the agent from which a lease is requested; nil if
// the response can't be resumed.
func (x *exchange) streamAttempt(now time.Time, s *server) *wire.StreamAttempt {
	if x.stream == "" {
		return nil
	}
	x.leaseRequests++
	return &wire.StreamAttempt{
		StreamID:        x.stream,
		Service:         x.service,
		Software:        s.Software,
		Ordinal:         x.leaseRequests,
		StartedAtMillis: s.StartedAtMillis,
		KeepMillis:      uint32(x.originRetention(now).Milliseconds()),
		Begun:           x.hasEvents(),
	}
}

// handOverAtEnd hands the origin of a stream over that its caller may resume, if the agent
// that recorded it may be gone.
func (x *exchange) handOverAtEnd() {
	if x.origin != nil && x.mayBeResumed() {
		x.handOverOrigin()
	}
}

// handOverOrigin gives the origin of the stream to other agents than that of its server.
func (x *exchange) handOverOrigin() {
	node := x.handler.node.Load()
	if node == nil {
		return
	}
	now := time.Now()
	frame := &wire.Frame{OriginHandover: &wire.OriginHandover{
		StreamID:   x.stream,
		Origin:     *wire.NewStreamOrigin(now, *x.origin),
		KeepMillis: uint32(x.originRetention(now).Milliseconds()),
	}}
	for _, agent := range x.handoverAgents() {
		go sendOrigin(node, agent, frame, x.logger)
	}
}

// mayBeResumed reports whether the response has ended such that the caller may resume it
// and the agent of its server may be gone: if it broke off, or if the caller left while
// the agent doesn't respond.
func (x *exchange) mayBeResumed() bool {
	switch x.result.outcome {
	case outcomeBroken:
		return true
	case outcomeCallerLeft:
		return !x.handler.control.current().agents[x.lastAgent].isFresh(time.Now())
	default:
		return false
	}
}

// handoverAgents returns agents that respond and that other entries ask for the origins of
// streams of the request's model.
func (x *exchange) handoverAgents() []agentAddress {
	likely, _ := x.originAgents()
	addresses := make(map[string]string, len(likely))
	var hosts []string
	for _, agent := range likely {
		if agent.host != x.lastAgent {
			addresses[agent.host] = agent.internalAddress
			hosts = append(hosts, agent.host)
		}
	}
	ranked := membership.RendezvousRank(handoverLabel+x.stream, hosts)
	agents := make([]agentAddress, min(len(ranked), handoversPerStream))
	for i := range agents {
		agents[i] = agentAddress{ranked[i], addresses[ranked[i]]}
	}
	return agents
}

// sendOrigin sends an origin to an agent.
func sendOrigin(node *wire.Node, agent agentAddress, frame *wire.Frame, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	stream, err := node.Open(ctx, agent.host, agent.internalAddress)
	if err == nil {
		err = stream.Send(frame)
		stream.Close()
	}
	if err != nil {
		logger.Warn("origin of a stream not handed over", "agent", agent.host, "error", err)
		return
	}
	logger.Info("origin of a stream handed over", "agent", agent.host, "stream", frame.OriginHandover.StreamID,
		"software", frame.OriginHandover.Origin.Software)
}
