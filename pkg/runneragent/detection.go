package runneragent

import (
	"maps"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxDetectors limits the services for which an agent detects what crashes their
// servers.
const maxDetectors = 256

// blockAgeInterval is the time after which the ages of blocks are published again, so that
// gateways that join later learn them.
const blockAgeInterval = 10 * time.Second

// detectorOf returns the detector of a service; nil if there are too many.
func (c *controller) detectorOf(service string) *quarantine.Detector {
	detector := c.detectors[service]
	if detector == nil && len(c.detectors) < maxDetectors {
		c.logger.Info("detector begins without evidence", "belief", "quarantine:"+service, "service", service)
		detector = &quarantine.Detector{}
		c.detectors[service] = detector
	}
	return detector
}

// crashReported records what a gateway reports of a crash.
func (c *controller) crashReported(now time.Time, gateway string, report *wire.CrashReport) {
	detector := c.detectorOf(report.Service)
	if detector == nil {
		c.logger.Warn("crash report ignored, too many services", "service", report.Service)
		return
	}
	crash, begun := report.Decode(now), 0
	for _, suspect := range crash.Suspects {
		if suspect.Begun {
			begun++
		}
	}
	c.logger.Info("crash of a backend server reported", "entry", gateway, "service", report.Service, "backend", report.Server,
		"age_ms", report.AgeMillis, "suspects", len(crash.Suspects), "begun", begun, "known_starts", len(crash.Starts))
	c.applyBlockChanges(now, report.Service, detector.RecordCrash(now, crash))
}

// evidenceHandedOver records what a gateway knows, as this agent may have begun without it.
func (c *controller) evidenceHandedOver(now time.Time, gateway string, handover *wire.EvidenceHandover) {
	detector := c.detectorOf(handover.Service)
	if detector == nil {
		c.logger.Warn("evidence ignored, too many services", "service", handover.Service, "entry", gateway)
		return
	}
	received := quarantine.Handover{
		Starts: wire.DecodeStarts(now, handover.Starts),
		Blocks: wire.DecodeBlocks(now, handover.Blocks, handover.Kept),
	}
	known := 0
	for i := range handover.Crashes {
		crash := handover.Crashes[i].Decode(now)
		received.Crashes = append(received.Crashes, crash)
		if detector.Knows(crash.Report) {
			known++
		}
	}
	c.logger.Info("evidence on crashes handed over", "belief", "quarantine:"+handover.Service, "entry", gateway, "service", handover.Service,
		"crashes", len(received.Crashes), "known", known, "starts", len(received.Starts), "blocks", len(received.Blocks))
	c.metrics.EvidenceHandover()
	c.applyBlockChanges(now, handover.Service, detector.HandOver(now, received))
}

// startsReported records responses that have started.
func (c *controller) startsReported(now time.Time, report *wire.StartReport) {
	starts := wire.DecodeStarts(now, report.Starts)
	for service, detector := range c.detectors {
		if service == report.Service || report.Service == "" {
			c.applyBlockChanges(now, service, detector.RecordStarts(now, starts))
		}
	}
}

// updateDetectors blocks what there is enough evidence against by now.
func (c *controller) updateDetectors(now time.Time) {
	for service, detector := range c.detectors {
		c.applyBlockChanges(now, service, detector.Update(now))
	}
}

// applyBlockChanges logs changed blocks and publishes what has changed.
func (c *controller) applyBlockChanges(now time.Time, service string, changes []quarantine.BlockChange) {
	for _, change := range changes {
		c.metrics.BlockChange(change.Change.String())
		c.logger.Warn("requests that crash servers: block changed", change.Attributes(now, service)...)
	}
	published := c.describeDetectors(now)
	isRecent := len(published.Blocks)+len(published.Ended) == 0 || now.Sub(c.quarantinedAt) < blockAgeInterval
	if isRecent && published.SameDecisions(c.quarantine) {
		return
	}
	c.quarantine, c.quarantinedAt = published, now
	c.publish(now)
}

// describeDetectors returns what all detectors have decided.
func (c *controller) describeDetectors(now time.Time) *wire.Quarantine {
	published := &wire.Quarantine{Instance: c.quarantine.Instance}
	for _, service := range slices.Sorted(maps.Keys(c.detectors)) {
		state := c.detectors[service].State()
		if state == nil {
			continue
		}
		published.Watched = append(published.Watched, state.Watched...)
		for _, ended := range state.Ended {
			published.Ended = append(published.Ended, ended.Signature)
			published.EndedMillis = append(published.EndedMillis, wire.AgeMillis(now, ended.At))
		}
		published.Blocks = append(published.Blocks, state.Blocks...)
		for _, kept := range state.Kept {
			kept.Service = service
			published.Kept = append(published.Kept, wire.EncodeKeptBlock(now, kept))
		}
	}
	slices.Sort(published.Watched)
	return published
}
