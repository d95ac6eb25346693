package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// detectorsPerService is the number of agents that detect what crashes the servers
	// of a service, so that a block survives the loss of one.
	detectorsPerService = 2
	// evidenceTimeout limits the time to send evidence to a detector.
	evidenceTimeout = time.Second
	// listUpdateInterval is the maximum time between two updates of the list, as blocks end
	// with time and detectors are lost with time.
	listUpdateInterval = 250 * time.Millisecond
	// detectorLabel separates the choice of detectors from other choices among the agents.
	detectorLabel = "detector "
)

// quarantineClient sends evidence on what crashes servers to the detectors, and applies
// their blocks. All entries choose the same agents as detectors of a service. A site
// without agents has one detector in each entry. It is safe for concurrent use.
type quarantineClient struct {
	control *control
	node    *atomic.Pointer[wire.Node]
	logger  *slog.Logger
	list    quarantine.List
	// self is this entry's host. startup is nil if blocks aren't learned from other entries.
	self    string
	startup *startup

	mu sync.Mutex
	// applied is the view whose statuses the list contains, as of appliedAt.
	applied   *view
	appliedAt time.Time
	// decoded holds the agents' last decisions, by host, and watchers those that have
	// anything under suspicion.
	decoded  map[string]decodedState
	watchers map[string]*watcher
	// local holds this entry's own detectors while no agent responds, by service, and
	// retired those that have ended since the last update.
	local   map[string]*quarantine.Detector
	retired []string
	// memory is this entry's evidence, deliveries is what each detector was given of it.
	memory     quarantine.Memory
	deliveries map[deliveryKey]*delivery
}

// decodedState is what an agent has published, with times instead of ages. Ages hold for
// the moment of receipt only, so each value is decoded once.
type decodedState struct {
	published *wire.Quarantine
	state     *quarantine.State
}

func newQuarantineClient(c *control, node *atomic.Pointer[wire.Node], logger *slog.Logger) *quarantineClient {
	return &quarantineClient{
		control:    c,
		node:       node,
		logger:     logger,
		decoded:    make(map[string]decodedState),
		local:      make(map[string]*quarantine.Detector),
		deliveries: make(map[deliveryKey]*delivery),
		watchers:   make(map[string]*watcher),
	}
}

// check returns the block that a request matches; false if there is none.
func (c *quarantineClient) check(now time.Time, fingerprints []quarantine.Fingerprint) (quarantine.Refusal, bool) {
	if len(fingerprints) == 0 {
		return quarantine.Refusal{}, false
	}
	c.update(now)
	return c.list.Check(now, fingerprints)
}

// blocks returns the signatures in force.
func (c *quarantineClient) blocks(now time.Time) []quarantine.Signature {
	c.update(now)
	return c.list.Blocks()
}

// update applies the newest statuses of the agents.
func (c *quarantineClient) update(now time.Time) {
	current := c.control.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.applied == current && len(c.local) == 0 && now.Sub(c.appliedAt) < listUpdateInterval {
		return
	}
	c.applied, c.appliedAt = current, now
	states := c.publishedStates(now, current)
	for _, service := range c.retired {
		states[detectorLabel+service] = &quarantine.State{}
	}
	c.retired = nil
	for service, detector := range c.local {
		c.logBlockChanges(now, service, detector.Update(now))
		if state := detector.State(); state != nil {
			states[detectorLabel+service] = state
		}
	}
	c.logListChanges(c.list.Update(now, states))
}

// logListChanges logs the blocks that this entry has learned or dropped.
func (c *quarantineClient) logListChanges(changes []quarantine.ListChange) {
	for _, change := range changes {
		if change.Reason == "" {
			c.logger.Info("block learned", "belief", "block", "signature", change.Signature, "agent", change.Detector)
			continue
		}
		c.logger.Info("block dropped", "belief", "block", "signature", change.Signature, "agent", change.Detector,
			"reason", change.Reason, "block_age_ms", change.Age.Milliseconds())
	}
}

// publishedStates returns the decisions of the agents that respond, by host.
func (c *quarantineClient) publishedStates(now time.Time, current *view) map[string]*quarantine.State {
	states := make(map[string]*quarantine.State)
	hasBlocks := c.list.HasBlocks()
	for host, agent := range current.agents {
		if agent.AgentRecord == nil || agent.Status == nil || agent.Status.Quarantine == nil || !agent.isFresh(now) {
			continue
		}
		if !hasBlocks && agent.Status.Quarantine.IsEmpty() {
			delete(c.decoded, host)
			continue
		}
		known := c.decoded[host]
		if known.published != agent.Status.Quarantine {
			known = decodedState{agent.Status.Quarantine, decodeState(now, agent.Status.Quarantine)}
			c.decoded[host] = known
		}
		states[host] = known.state
	}
	for host := range c.decoded {
		if current.agents[host] == nil {
			delete(c.decoded, host)
		}
	}
	return states
}

func decodeState(now time.Time, published *wire.Quarantine) *quarantine.State {
	state := &quarantine.State{
		Watched: published.Watched, Blocks: published.Blocks, Instance: published.Instance,
	}
	for i, signature := range published.Ended[:min(len(published.Ended), len(published.EndedMillis))] {
		state.Ended = append(state.Ended, quarantine.EndedBlock{Signature: signature, At: wire.Ago(now, published.EndedMillis[i])})
	}
	for _, kept := range published.Kept {
		state.Kept = append(state.Kept, kept.Decode(now))
	}
	return state
}

// reportCrash sends a crash to the detectors of its service.
func (c *quarantineClient) reportCrash(observed crash) {
	now := time.Now()
	suspects := make([]quarantine.Suspect, len(observed.suspects))
	for i, suspect := range observed.suspects {
		suspects[i] = quarantine.Suspect{Fingerprints: suspect.fingerprints, Begun: suspect.begun}
	}
	// A detector that can't keep all suspects keeps the first ones.
	slices.SortStableFunc(suspects, func(a, b quarantine.Suspect) int { return compareBool(b.Begun, a.Begun) })
	starts := c.list.Starts(now, suspects)
	reported := quarantine.Crash{Report: rand.Uint64(), Server: observed.server, At: observed.at, Suspects: suspects, Starts: starts}
	c.keep(now, observed.service, reported)
	c.giveToKeepers(observed.service, &reported)
	if len(c.detectorsOf(now, observed.service)) == 0 {
		c.detectLocally(now, observed.service, func(detector *quarantine.Detector) []quarantine.BlockChange {
			return detector.RecordCrash(now, reported)
		})
		return
	}
	c.deliver(now)
}

// keep records a crash, to be given to the detectors.
func (c *quarantineClient) keep(now time.Time, service string, reported quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memory.RecordCrash(now, service, reported) {
		c.logger.Warn("crash not reported, too many services", "service", service, "backend", reported.Server.ID)
	}
}

// recordStart records the start of a response, and reports it to the detectors if the
// request is under suspicion.
func (c *quarantineClient) recordStart(now, startedAt time.Time, service string, fingerprints quarantine.Fingerprints) {
	c.update(now)
	watched := c.list.RecordStart(now, startedAt, fingerprints)
	if len(watched) == 0 {
		return
	}
	starts := make([]quarantine.Start, len(watched))
	for i, fingerprint := range watched {
		starts[i] = quarantine.Start{Fingerprint: fingerprint, At: startedAt}
	}
	c.mu.Lock()
	c.memory.RecordStarts(service, starts)
	c.mu.Unlock()
	detectors := c.detectorsOf(now, service)
	if len(detectors) == 0 {
		c.detectLocally(now, service, func(detector *quarantine.Detector) []quarantine.BlockChange {
			return detector.RecordStarts(now, starts)
		})
		return
	}
	c.mu.Lock()
	detectors = append(detectors, c.otherWatchers(watched, detectors)...)
	c.mu.Unlock()
	c.giveStartsToKeepers(service, starts)
	c.sendAll(detectors, &wire.Frame{StartReport: &wire.StartReport{Service: service, Starts: encodeStarts(now, starts)}})
}

// detectorsOf returns the agents that detect what crashes the servers of a service: the first ones, in
// an order that all entries agree on, of those that respond.
func (c *quarantineClient) detectorsOf(now time.Time, service string) []*agentState {
	agents := c.control.current().agents
	var responding []string
	for host, state := range agents {
		if state.isFresh(now) {
			responding = append(responding, host)
		}
	}
	ranked := membership.RendezvousRank(detectorLabel+service, responding)
	detectors := make([]*agentState, min(len(ranked), detectorsPerService))
	for i := range detectors {
		detectors[i] = agents[ranked[i]]
	}
	return detectors
}

// detectLocally applies evidence to this entry's own detector of a service.
func (c *quarantineClient) detectLocally(now time.Time, service string, apply func(*quarantine.Detector) []quarantine.BlockChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	detector := c.local[service]
	if detector == nil {
		detector = &quarantine.Detector{}
		c.local[service] = detector
	}
	c.logBlockChanges(now, service, apply(detector))
}

func (c *quarantineClient) logBlockChanges(now time.Time, service string, changes []quarantine.BlockChange) {
	for _, change := range changes {
		c.logger.Warn("requests that crash servers: block changed", change.Attributes(now, service)...)
	}
}

// sendAll sends a frame to several agents without waiting.
func (c *quarantineClient) sendAll(detectors []*agentState, frame *wire.Frame) {
	node := c.node.Load()
	if node == nil {
		return
	}
	for _, detector := range detectors {
		go c.send(node, detector, frame)
	}
}

func (c *quarantineClient) send(node *wire.Node, detector *agentState, frame *wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	stream, err := node.Open(ctx, detector.Host, detector.InternalAddress)
	if err == nil {
		err = stream.Send(frame)
		stream.Close()
	}
	if err != nil {
		c.logger.Warn("evidence on a crash not sent to its detector", "agent", detector.Host, "error", err)
	}
}

func encodeSuspects(suspects []quarantine.Suspect) []wire.CrashSuspect {
	encoded := make([]wire.CrashSuspect, len(suspects))
	for i, suspect := range suspects {
		encoded[i] = wire.CrashSuspect{Fingerprints: suspect.Fingerprints, Begun: suspect.Begun}
	}
	return encoded
}

func encodeStarts(now time.Time, starts []quarantine.Start) []wire.ResponseStart {
	encoded := make([]wire.ResponseStart, len(starts))
	for i, start := range starts {
		encoded[i] = wire.ResponseStart{Fingerprint: start.Fingerprint, AgeMillis: wire.AgeMillis(now, start.At)}
	}
	return encoded
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
