package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// deliveryInterval is the time between two checks whether a detector lacks evidence.
	deliveryInterval = 50 * time.Millisecond
	// deliveryRetryInterval is the time until evidence is sent again that wasn't confirmed.
	deliveryRetryInterval = 200 * time.Millisecond
	// newEvidenceAge is the age up to which crashes are sent as new ones. With older ones,
	// the detector is given all that is known at once.
	newEvidenceAge = 2 * time.Second
	// handoverSpread is the time per entry over which the entries spread their handovers to
	// a detector, and maxHandoverSpread its limit.
	handoverSpread    = time.Millisecond
	maxHandoverSpread = 200 * time.Millisecond
)

// deliveryKey identifies a detector of a service.
type deliveryKey struct {
	service, host string
}

// delivery is what one process of a detector was given.
type delivery struct {
	instance uint64
	// isHandedOver is set once it has what was known when it was chosen or had begun.
	isHandedOver bool
	// sent is the number of the last crash that it has.
	sent uint64
	// dueAt is the time before which nothing is sent, isSending is set while a call runs.
	dueAt     time.Time
	isSending bool
}

// evidence is what a detector lacks.
type evidence struct {
	crashes []quarantine.Crash
	// last is the number of the last crash.
	last   uint64
	starts []quarantine.Start
	blocks []quarantine.Block
}

// isNew reports whether the evidence consists of new crashes only.
func (e *evidence) isNew(now time.Time) bool {
	isOld := func(crash quarantine.Crash) bool { return now.Sub(crash.At) > newEvidenceAge }
	return len(e.starts) == 0 && len(e.blocks) == 0 && !slices.ContainsFunc(e.crashes, isOld)
}

// tick updates the list of blocks, and gives the detectors what they lack.
func (c *quarantineClient) tick(now time.Time) {
	c.update(now)
	c.deliver(now)
	c.informNewWatchers(now)
}

// deliver gives each detector the evidence of this entry that its process doesn't have
// yet: new crashes, and all that is known if it has begun anew or was just selected.
func (c *quarantineClient) deliver(now time.Time) {
	node := c.node.Load()
	if node == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	agents := c.control.current().agents
	maps.DeleteFunc(c.deliveries, func(key deliveryKey, _ *delivery) bool { return agents[key.host] == nil })
	services := append(c.memory.Services(), c.list.Services()...)
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		detectors := c.detectorsOf(now, service)
		if len(detectors) > 0 && c.local[service] != nil {
			c.logger.Info("agents detect again what crashes servers", "belief", "quarantine:"+service, "service", service)
			delete(c.local, service)
			c.retired = append(c.retired, service)
		}
		for _, detector := range detectors {
			c.deliverTo(now, node, service, detector)
		}
	}
}

// deliverTo gives a detector what it lacks.
func (c *quarantineClient) deliverTo(now time.Time, node *wire.Node, service string, detector *agentState) {
	key := deliveryKey{service, detector.Host}
	instance := instanceOf(detector)
	to := c.deliveries[key]
	isFirst := to == nil || to.instance != instance
	if isFirst {
		to = &delivery{instance: instance}
		c.deliveries[key] = to
	}
	if to.isSending || now.Before(to.dueAt) {
		return
	}
	lacking := c.lacking(now, service, to)
	if len(lacking.crashes)+len(lacking.starts)+len(lacking.blocks) == 0 {
		to.isHandedOver = true
		return
	}
	if isFirst && !lacking.isNew(now) {
		to.dueAt = now.Add(c.handoverDelay())
		if now.Before(to.dueAt) {
			return
		}
	}
	to.isSending = true
	go c.sendEvidence(node, service, detector, to, lacking)
}

// instanceOf returns the identity of an agent's process; 0 if it is unknown.
func instanceOf(agent *agentState) uint64 {
	if agent.Status == nil || agent.Status.Quarantine == nil {
		return 0
	}
	return agent.Status.Quarantine.Instance
}

// lacking returns the evidence that a detector wasn't given.
func (c *quarantineClient) lacking(now time.Time, service string, to *delivery) *evidence {
	e := &evidence{}
	e.crashes, e.last = c.memory.Since(now, service, to.sent)
	if !to.isHandedOver {
		e.starts = c.memory.Starts(now, service)
		e.blocks = c.list.Kept(service)
	}
	return e
}

// handoverDelay draws the time until a handover, so that those of many entries don't arrive
// at once.
func (c *quarantineClient) handoverDelay() time.Duration {
	entries := 0
	for _, host := range c.control.current().hosts {
		if host.Role == keys.RoleEntry {
			entries++
		}
	}
	return time.Duration(rand.Int64N(int64(min(time.Duration(entries)*handoverSpread, maxHandoverSpread)) + 1))
}

// sendEvidence sends evidence to a detector and records what it has confirmed.
func (c *quarantineClient) sendEvidence(node *wire.Node, service string, detector *agentState, to *delivery, lacking *evidence) {
	if to.instance == 0 {
		// An agent of an earlier version doesn't know handovers.
		lacking.starts, lacking.blocks = nil, nil
	}
	err := c.callDetector(node, service, detector, to.instance != 0, lacking)
	now := time.Now()
	c.mu.Lock()
	to.isSending = false
	if err == nil {
		to.isHandedOver = true
		to.sent = lacking.last
	} else {
		to.dueAt = now.Add(deliveryRetryInterval)
	}
	c.mu.Unlock()
	if err != nil {
		c.logger.Warn("evidence on a crash not sent to its detector", "agent", detector.Host, "service", service, "error", err)
		return
	}
	if !lacking.isNew(now) {
		c.logger.Info("evidence handed over to a detector", "agent", detector.Host, "service", service,
			"crashes", len(lacking.crashes), "starts", len(lacking.starts), "blocks", len(lacking.blocks))
	}
}

// callDetector sends evidence and waits until the agent has applied it.
func (c *quarantineClient) callDetector(node *wire.Node, service string, detector *agentState, mayHandOver bool, lacking *evidence) error {
	now := time.Now()
	if mayHandOver && !lacking.isNew(now) {
		return confirm(node, detector.Host, detector.InternalAddress, &wire.Frame{EvidenceHandover: c.encodeHandover(now, service, lacking)})
	}
	for i := range lacking.crashes {
		if err := confirm(node, detector.Host, detector.InternalAddress, &wire.Frame{CrashReport: c.encodeCrash(now, service, &lacking.crashes[i])}); err != nil {
			return err
		}
	}
	return nil
}

// confirm sends a frame to a host, which ends the call once it has applied it.
func confirm(node *wire.Node, host, internalAddress string, frame *wire.Frame) error {
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
	defer cancel()
	_, err := node.Call(ctx, host, internalAddress, frame)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("send evidence to %s: %w", host, err)
}

func (c *quarantineClient) encodeHandover(now time.Time, service string, lacking *evidence) *wire.EvidenceHandover {
	handover := &wire.EvidenceHandover{Service: service, Starts: encodeStarts(now, lacking.starts)}
	for i := range lacking.crashes {
		handover.Crashes = append(handover.Crashes, *c.encodeCrash(now, service, &lacking.crashes[i]))
	}
	handover.Blocks, handover.Kept = wire.EncodeBlocks(now, lacking.blocks)
	return handover
}

// encodeCrash returns the report of a crash, with the last starts that are known by now, and
// those that the entry which has seen it knew.
func (c *quarantineClient) encodeCrash(now time.Time, service string, crash *quarantine.Crash) *wire.CrashReport {
	return &wire.CrashReport{
		Service:         service,
		Server:          crash.Server.ID,
		StartedAtMillis: crash.Server.StartedAtMillis,
		AgeMillis:       wire.AgeMillis(now, crash.At),
		Suspects:        encodeSuspects(crash.Suspects),
		Starts:          encodeStarts(now, append(c.list.Starts(now, crash.Suspects), crash.Starts...)),
		Report:          crash.Report,
	}
}
