package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashesKept and maxStartsKept limit what a host keeps of one service for
	// incidentRetention; maxServicesKept limits the services.
	maxCrashesKept  = 96
	maxStartsKept   = 256
	maxServicesKept = 256
)

// keptCrash is a crash with its number in the order of arrival, from 1.
type keptCrash struct {
	Crash
	number uint64
	// isForeign is set if another host has seen it, which may be lost.
	isForeign bool
}

// serviceEvidence is what a host has seen of the crashes of one service's servers.
type serviceEvidence struct {
	crashes []keptCrash
	starts  map[Fingerprint]time.Time
}

// Memory is the evidence of one host, by service, so that the detectors can be given it
// again. The zero value is empty.
type Memory struct {
	services map[string]*serviceEvidence
	last     uint64
}

// RecordCrash keeps a crash that the host has seen, and reports whether it has room for
// the service.
func (m *Memory) RecordCrash(now time.Time, service string, crash Crash) bool {
	return m.record(now, service, keptCrash{Crash: crash})
}

// RecordForeignCrash keeps a crash that another host has seen, which may be lost.
func (m *Memory) RecordForeignCrash(now time.Time, service string, crash Crash) bool {
	return m.record(now, service, keptCrash{Crash: crash, isForeign: true})
}

func (m *Memory) record(now time.Time, service string, crash keptCrash) bool {
	evidence := m.service(service)
	if evidence == nil {
		return false
	}
	m.last++
	crash.number = m.last
	evidence.crashes = append(evidence.crashes, crash)
	m.expire(now)
	if excess := len(evidence.crashes) - maxCrashesKept; excess > 0 {
		evidence.crashes = slices.Delete(evidence.crashes, 0, excess)
	}
	return true
}

// RecordStarts keeps starts of responses to requests under suspicion. Those beyond the
// limit replace older ones.
func (m *Memory) RecordStarts(service string, starts []Start) {
	evidence := m.service(service)
	if evidence == nil {
		return
	}
	for _, start := range starts {
		evidence.starts[start.Fingerprint] = later(evidence.starts[start.Fingerprint], start.At)
	}
	for len(evidence.starts) > maxStartsKept {
		oldest := Fingerprint(0)
		for fingerprint, at := range evidence.starts {
			if first, ok := evidence.starts[oldest]; !ok || at.Before(first) {
				oldest = fingerprint
			}
		}
		delete(evidence.starts, oldest)
	}
}

// service returns the evidence on a service; nil if there are too many.
func (m *Memory) service(service string) *serviceEvidence {
	evidence := m.services[service]
	if evidence != nil || len(m.services) >= maxServicesKept {
		return evidence
	}
	if m.services == nil {
		m.services = make(map[string]*serviceEvidence)
	}
	evidence = &serviceEvidence{starts: make(map[Fingerprint]time.Time)}
	m.services[service] = evidence
	return evidence
}

// expire discards old evidence.
func (m *Memory) expire(now time.Time) {
	for service, evidence := range m.services {
		evidence.crashes = slices.DeleteFunc(evidence.crashes, func(c keptCrash) bool { return now.Sub(c.At) > incidentRetention })
		for fingerprint, at := range evidence.starts {
			if now.Sub(at) > historyRetention {
				delete(evidence.starts, fingerprint)
			}
		}
		if len(evidence.crashes) == 0 && len(evidence.starts) == 0 {
			delete(m.services, service)
		}
	}
}

// Services returns the services with evidence.
func (m *Memory) Services() []string {
	services := make([]string, 0, len(m.services))
	for service := range m.services {
		services = append(services, service)
	}
	return services
}

// Since returns the crashes of a service after a number, oldest first, and the number of
// the last one. 0 stands for all of them; after another number, those that other hosts have
// seen are left out, as these report them.
func (m *Memory) Since(now time.Time, service string, after uint64) (crashes []Crash, last uint64) {
	evidence := m.services[service]
	if evidence == nil {
		return nil, after
	}
	last = after
	for _, kept := range evidence.crashes {
		if kept.number <= after || (kept.isForeign && after > 0) {
			continue
		}
		if now.Sub(kept.At) <= incidentRetention {
			crashes = append(crashes, kept.Crash)
			last = kept.number
		}
	}
	return crashes, last
}

// Starts returns the last starts of a service that were under suspicion.
func (m *Memory) Starts(now time.Time, service string) []Start {
	evidence := m.services[service]
	if evidence == nil {
		return nil
	}
	var starts []Start
	for fingerprint, at := range evidence.starts {
		if now.Sub(at) <= historyRetention {
			starts = append(starts, Start{Fingerprint: fingerprint, At: at})
		}
	}
	return starts
}
