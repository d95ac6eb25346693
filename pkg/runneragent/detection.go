package runneragent

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxDetectors limits the services for which an agent detects what crashes their
// servers.
const maxDetectors = 256

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
	crash := quarantine.Crash{
		Server: backpressure.Incarnation{ID: report.Server, StartedAtMillis: report.StartedAtMillis},
		At:     ago(now, report.AgeMillis),
		Starts: startsOf(now, report.Starts),
	}
	begun := 0
	for _, suspect := range report.Suspects {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Fingerprints: suspect.Fingerprints, Begun: suspect.Begun})
		if suspect.Begun {
			begun++
		}
	}
	c.logger.Info("crash of a backend server reported", "entry", gateway, "service", report.Service, "backend", report.Server,
		"age_ms", report.AgeMillis, "suspects", len(crash.Suspects), "begun", begun, "known_starts", len(crash.Starts))
	c.applyBlockChanges(now, report.Service, detector.RecordCrash(now, crash))
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
	published := c.describeDetectors()
	if published.Equal(c.quarantine) {
		return
	}
	c.quarantine = published
	c.publish(now)
}

// describeDetectors returns what all detectors have decided; nil without evidence.
func (c *controller) describeDetectors() *wire.Quarantine {
	var published *wire.Quarantine
	for _, detector := range c.detectors {
		state := detector.State()
		if state == nil {
			continue
		}
		if published == nil {
			published = &wire.Quarantine{}
		}
		published.Watched = append(published.Watched, state.Watched...)
		published.Blocks = append(published.Blocks, state.Blocks...)
	}
	if published != nil {
		slices.Sort(published.Watched)
		slices.SortFunc(published.Blocks, slices.Compare[quarantine.Signature])
	}
	return published
}

func ago(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

func startsOf(now time.Time, reported []wire.ResponseStart) []quarantine.Start {
	starts := make([]quarantine.Start, len(reported))
	for i, start := range reported {
		starts[i] = quarantine.Start{Fingerprint: start.Fingerprint, At: ago(now, start.AgeMillis)}
	}
	return starts
}
