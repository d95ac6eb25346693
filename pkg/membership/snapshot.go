package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Agent is one agent as an entry sees it. It is immutable.
type Agent struct {
	ID string
	listing
	// HasStatus tells whether Status holds the agent's own word.
	HasStatus bool
	Status    wire.Status
	StatusAt  time.Time
	// SuspectedUntil is the end of the suspicion after failed calls.
	SuspectedUntil time.Time
	// FailingSince is the first failed call since the last answer; zero if the
	// last call was answered.
	FailingSince time.Time

	listServices []string
}

// listing is what the platform's list says of an agent.
type listing struct {
	FailureDomain string
	Region        string
	// Address is the UDP address of the agent; empty until it is listed.
	Address string
	// Listed tells whether the newest list shows the host.
	Listed bool
	// ListLeaving tells whether the list shows the host as leaving.
	ListLeaving bool
}

// Leaving tells whether the agent gets no new work, by the list or by its own
// word.
func (a *Agent) Leaving() bool {
	return a.ListLeaving || a.Status.Leaving
}

// Services names the plain services behind the agent; empty for a runner.
func (a *Agent) Services() []string {
	if len(a.Status.Services) > 0 {
		return a.Status.Services
	}
	return a.listServices
}

// Suspected tells whether calls failed lately.
func (a *Agent) Suspected(now time.Time) bool {
	return now.Before(a.SuspectedUntil)
}

// Unreachable tells whether calls have failed for UnreachableAfter.
func (a *Agent) Unreachable(now time.Time) bool {
	return !a.FailingSince.IsZero() && now.Sub(a.FailingSince) >= UnreachableAfter
}

// Model returns the state of a model by the agent's last status.
func (a *Agent) Model(model, version string) (wire.ModelStatus, bool) {
	for i := range a.Status.Models {
		status := &a.Status.Models[i]
		if status.Model == model && status.Version == version {
			return *status, true
		}
	}
	return wire.ModelStatus{}, false
}

// Entry is one entry host. It is immutable.
type Entry struct {
	ID             string
	FailureDomain  string
	Region         string
	Address        string
	Leaving        bool
	SuspectedUntil time.Time
}

// Snapshot is an immutable view of the members.
type Snapshot struct {
	agents   *agentMap
	entries  []*Entry
	services map[string][]string
	absent   map[string]presence
}

// Agent returns an agent that isn't gone.
func (s *Snapshot) Agent(id string) (*Agent, bool) {
	return s.agents.get(id)
}

// Agents returns all agents that aren't gone, sorted by id.
func (s *Snapshot) Agents() []*Agent {
	return slices.SortedFunc(s.agents.all, func(a, b *Agent) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// Providers returns the sorted ids of the agents that offer a service. The
// caller must not change the slice.
func (s *Snapshot) Providers(service string) []string {
	return s.services[service]
}

// Entries returns the listed entries, sorted by id. The caller must not change
// the slice.
func (s *Snapshot) Entries() []*Entry {
	return s.entries
}

// Gone tells whether a host was listed and has since been silent and, in this
// process's own readings, absent for GoneAfter. A host that was never listed
// isn't gone.
func (s *Snapshot) Gone(hostID string) bool {
	return s.absent[hostID] == gone
}

// Missing tells whether a host has been silent and in no list for GoneAfter but
// isn't known to be gone. Readings of the list show whether it is.
func (s *Snapshot) Missing(hostID string) bool {
	return s.absent[hostID] == missing
}

func sortedEntries(entries map[string]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b *Entry) int {
		return strings.Compare(a.ID, b.ID)
	})
}
