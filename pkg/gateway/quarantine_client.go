package gateway

import (
	"context"
	"log/slog"
	"math"
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

	mu sync.Mutex
	// applied is the view whose statuses the list contains.
	applied *view
	// local holds the detectors of a site without agents, by service.
	local map[string]*quarantine.Detector
}

func newQuarantineClient(c *control, node *atomic.Pointer[wire.Node], logger *slog.Logger) *quarantineClient {
	return &quarantineClient{control: c, node: node, logger: logger, local: make(map[string]*quarantine.Detector)}
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
	if c.applied == current && len(c.local) == 0 {
		return
	}
	c.applied = current
	states := make(map[string]*quarantine.State)
	for host, state := range current.agents {
		if state.AgentRecord == nil || state.Status == nil || state.Status.Quarantine == nil {
			continue
		}
		published := state.Status.Quarantine
		states[host] = &quarantine.State{Watched: published.Watched, Blocks: published.Blocks}
	}
	for service, detector := range c.local {
		c.logBlockChanges(now, service, detector.Update(now))
		if state := detector.State(); state != nil {
			states[detectorLabel+service] = state
		}
	}
	for _, change := range c.list.Update(now, states) {
		if change.Reason == "" {
			c.logger.Info("block learned", "belief", "block", "signature", change.Signature, "agent", change.Detector)
			continue
		}
		c.logger.Info("block dropped", "belief", "block", "signature", change.Signature, "agent", change.Detector,
			"reason", change.Reason, "block_age_ms", change.Age.Milliseconds())
	}
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
	detectors := c.detectorsOf(now, observed.service)
	if len(detectors) == 0 {
		c.detectLocally(now, observed.service, func(detector *quarantine.Detector) []quarantine.BlockChange {
			return detector.RecordCrash(now, quarantine.Crash{Server: observed.server, At: observed.at, Suspects: suspects, Starts: starts})
		})
		return
	}
	c.sendAll(detectors, &wire.Frame{CrashReport: &wire.CrashReport{
		Service:         observed.service,
		Server:          observed.server.ID,
		StartedAtMillis: observed.server.StartedAtMillis,
		AgeMillis:       ageMillis(now, observed.at),
		Suspects:        encodeSuspects(suspects),
		Starts:          encodeStarts(now, starts),
	}})
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
	detectors := c.detectorsOf(now, service)
	if len(detectors) == 0 {
		c.detectLocally(now, service, func(detector *quarantine.Detector) []quarantine.BlockChange {
			return detector.RecordStarts(now, starts)
		})
		return
	}
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
		encoded[i] = wire.ResponseStart{Fingerprint: start.Fingerprint, AgeMillis: ageMillis(now, start.At)}
	}
	return encoded
}

// ageMillis returns the time since an event, in milliseconds.
func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
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
