package runneragent

import (
	"maps"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
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
	crash, begun := crashOf(now, report)
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
	received := quarantine.Handover{Starts: startsOf(now, handover.Starts)}
	known := 0
	for i := range handover.Crashes {
		crash, _ := crashOf(now, &handover.Crashes[i])
		received.Crashes = append(received.Crashes, crash)
		if detector.Knows(crash.Report) {
			known++
		}
	}
	for i, signature := range handover.Blocks[:min(len(handover.Blocks), len(handover.Kept))] {
		received.Blocks = append(received.Blocks, quarantine.Block{Signature: signature, KeptBlock: handover.Kept[i].Decode(now)})
	}
	c.logger.Info("evidence on crashes handed over", "belief", "quarantine:"+handover.Service, "entry", gateway, "service", handover.Service,
		"crashes", len(received.Crashes), "known", known, "starts", len(received.Starts), "blocks", len(received.Blocks))
	c.metrics.EvidenceHandover()
	c.applyBlockChanges(now, handover.Service, detector.HandOver(now, received))
}

// crashOf returns a reported crash, and the number of its suspects whose responses had begun.
func crashOf(now time.Time, report *wire.CrashReport) (crash quarantine.Crash, begun int) {
	crash = quarantine.Crash{
		Report: report.Report,
		Server: backpressure.Incarnation{ID: report.Server, StartedAtMillis: report.StartedAtMillis},
		At:     wire.Ago(now, report.AgeMillis),
		Starts: startsOf(now, report.Starts),
	}
	for _, suspect := range report.Suspects {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Fingerprints: suspect.Fingerprints, Begun: suspect.Begun})
		if suspect.Begun {
			begun++
		}
	}
	return crash, begun
}

// startsReported records responses that have started.
func (c *controller) startsReported(now time.Time, report *wire.StartReport) {
	if detector := c.detectors[report.Service]; detector != nil {
		c.applyBlockChanges(now, report.Service, detector.RecordStarts(now, startsOf(now, report.Starts)))
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
	isRecent := len(published.Blocks) == 0 || now.Sub(c.quarantinedAt) < blockAgeInterval
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
		published.Ended = append(published.Ended, state.Ended...)
		published.Blocks = append(published.Blocks, state.Blocks...)
		for _, kept := range state.Kept {
			kept.Service = service
			published.Kept = append(published.Kept, wire.EncodeKeptBlock(now, kept))
		}
	}
	slices.Sort(published.Watched)
	return published
}

func startsOf(now time.Time, reported []wire.ResponseStart) []quarantine.Start {
	starts := make([]quarantine.Start, len(reported))
	for i, start := range reported {
		starts[i] = quarantine.Start{Fingerprint: start.Fingerprint, At: wire.Ago(now, start.AgeMillis)}
	}
	return starts
}
