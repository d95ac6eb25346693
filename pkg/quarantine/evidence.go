package quarantine

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
)

// Suspect is a request that may have crashed its server.
type Suspect struct {
	Fingerprints []Fingerprint
	// Begun is set if the server had just begun a response to the request: a stream
	// has its header and no event yet.
	Begun bool
}

// Start is the start of a response that the server survived.
type Start struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Crash is what one host reports of the crash of a server.
type Crash struct {
	// Report identifies the report, which may arrive more than once; 0 if it doesn't.
	Report   uint64
	Server   backpressure.Incarnation
	At       time.Time
	Suspects []Suspect
	// Starts are the last starts of the suspects' fingerprints that the host knows of.
	Starts []Start
}

const (
	// simultaneousWindow is the time between two crashes up to which they count as
	// one: servers that share a cause, such as a loss of power, crash together.
	simultaneousWindow = 100 * time.Millisecond
	// maxIncidents and incidentRetention limit the evidence that a detector keeps.
	maxIncidents      = 32
	incidentRetention = 10 * time.Minute
	// maxFingerprintsPerIncident limits the memory of one incident.
	maxFingerprintsPerIncident = 512
)

// incident is one or more simultaneous crashes.
type incident struct {
	at       time.Time
	servers  []backpressure.Incarnation
	reports  []uint64
	suspects []Suspect
	// begun holds the fingerprints of the suspects, and whether the response to one
	// with it had begun.
	begun map[Fingerprint]bool
	// anyBegun is set if the response to some suspect had begun. It is then a more
	// likely cause than requests that waited.
	anyBegun bool
	// size is the number of fingerprints of all suspects.
	size int
}

func newIncident(at time.Time) *incident {
	return &incident{at: at, begun: make(map[Fingerprint]bool)}
}

// report returns the first report of the incident; 0 if it isn't known.
func (i *incident) report() uint64 {
	if len(i.reports) == 0 {
		return 0
	}
	return i.reports[0]
}

// isOf reports whether the incident includes a crash.
func (i *incident) isOf(crash *Crash) bool {
	return slices.Contains(i.servers, crash.Server) || crash.At.Sub(i.at).Abs() <= simultaneousWindow
}

// add adds what a host reports of a crash.
func (i *incident) add(crash *Crash) {
	if !slices.Contains(i.servers, crash.Server) {
		i.servers = append(i.servers, crash.Server)
	}
	if crash.Report != 0 {
		i.reports = append(i.reports, crash.Report)
	}
	for _, suspect := range crash.Suspects {
		if i.size+len(suspect.Fingerprints) > maxFingerprintsPerIncident {
			return
		}
		i.size += len(suspect.Fingerprints)
		i.suspects = append(i.suspects, suspect)
		i.anyBegun = i.anyBegun || suspect.Begun
		for _, fingerprint := range suspect.Fingerprints {
			i.begun[fingerprint] = i.begun[fingerprint] || suspect.Begun
		}
	}
}

// hasTogether reports whether one suspect has both fingerprints.
func (i *incident) hasTogether(a, b Fingerprint) bool {
	return slices.ContainsFunc(i.suspects, func(suspect Suspect) bool {
		return slices.Contains(suspect.Fingerprints, a) && slices.Contains(suspect.Fingerprints, b)
	})
}

// hasMatch reports whether a suspect matches a signature.
func (i *incident) hasMatch(signature Signature) bool {
	return slices.ContainsFunc(i.suspects, func(suspect Suspect) bool { return signature.Matches(suspect.Fingerprints) })
}
