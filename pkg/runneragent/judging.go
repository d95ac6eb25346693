package runneragent

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// maxJudges bounds the services for which an agent judges crashes.
const maxJudges = 256

// judgeOf returns the judge of a service; nil if there are too many.
func (c *controller) judgeOf(service string) *quarantine.Judge {
	judge := c.judges[service]
	if judge == nil && len(c.judges) < maxJudges {
		judge = &quarantine.Judge{}
		c.judges[service] = judge
	}
	return judge
}

// crashReported records what a gateway reports of a crash.
func (c *controller) crashReported(now time.Time, gateway string, report *wire.CrashReport) {
	judge := c.judgeOf(report.Service)
	if judge == nil {
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
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Fingerprints: fingerprintsOf(suspect.Fingerprints), Begun: suspect.Begun})
		if suspect.Begun {
			begun++
		}
	}
	c.logger.Info("crash of a backend server reported", "entry", gateway, "service", report.Service, "backend", report.Server,
		"age_ms", report.AgeMillis, "suspects", len(crash.Suspects), "begun", begun, "known_starts", len(crash.Starts))
	c.applyVerdicts(now, report.Service, judge.RecordCrash(now, crash))
}

// startsReported records responses that have started.
func (c *controller) startsReported(now time.Time, report *wire.StartReport) {
	if judge := c.judges[report.Service]; judge != nil {
		c.applyVerdicts(now, report.Service, judge.RecordStarts(now, startsOf(now, report.Starts)))
	}
}

// updateJudges convicts what the evidence suffices for by now.
func (c *controller) updateJudges(now time.Time) {
	for service, judge := range c.judges {
		c.applyVerdicts(now, service, judge.Update(now))
	}
}

// applyVerdicts logs changed verdicts and publishes what has changed.
func (c *controller) applyVerdicts(now time.Time, service string, changes []quarantine.Verdict) {
	for _, change := range changes {
		c.metrics.Verdict(change.Change.String())
		c.logger.Warn("verdict on requests that crash servers changed", "belief", "quarantine:"+service, "service", service,
			"change", change.Change.String(), "signature", change.Signature, "crashes", change.Crashes, "begun", change.Begun,
			"first_crash_age_ms", now.Sub(change.FirstCrash).Milliseconds())
	}
	published := c.describeJudges()
	if published.Equal(c.quarantine) {
		return
	}
	c.quarantine = published
	c.publish(now)
}

// describeJudges returns what all judges have decided; nil without evidence.
func (c *controller) describeJudges() *wire.Quarantine {
	var published *wire.Quarantine
	for _, judge := range c.judges {
		state := judge.State()
		if state == nil {
			continue
		}
		if published == nil {
			published = &wire.Quarantine{}
		}
		for _, fingerprint := range state.Watched {
			published.Watched = append(published.Watched, uint64(fingerprint))
		}
		for _, signature := range state.Verdicts {
			verdict := make([]uint64, len(signature))
			for i, fingerprint := range signature {
				verdict[i] = uint64(fingerprint)
			}
			published.Verdicts = append(published.Verdicts, verdict)
		}
	}
	if published != nil {
		slices.Sort(published.Watched)
		slices.SortFunc(published.Verdicts, slices.Compare)
	}
	return published
}

func ago(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

func startsOf(now time.Time, reported []wire.ResponseStart) []quarantine.Start {
	starts := make([]quarantine.Start, len(reported))
	for i, start := range reported {
		starts[i] = quarantine.Start{Fingerprint: quarantine.Fingerprint(start.Fingerprint), At: ago(now, start.AgeMillis)}
	}
	return starts
}

func fingerprintsOf(values []uint64) []quarantine.Fingerprint {
	fingerprints := make([]quarantine.Fingerprint, len(values))
	for i, value := range values {
		fingerprints[i] = quarantine.Fingerprint(value)
	}
	return fingerprints
}
