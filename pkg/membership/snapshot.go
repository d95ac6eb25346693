package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Agent is an entry's view of one agent. It is immutable.
type Agent struct {
	ID string
	listing
	// HasStatus indicates that Status was reported by the agent.
	HasStatus bool
	Status    wire.Status
	StatusAt  time.Time
	// SuspectedUntil is the end of the suspicion after failed calls.
	SuspectedUntil time.Time
	// FailingSince is the time of the first failed call since the last response;
	// zero if the last call succeeded.
	FailingSince time.Time

	listServices []string
}

// listing is an agent's entry in the platform's list.
type listing struct {
	FailureDomain string
	Region        string
	// Address is the UDP address of the agent; empty until the agent is listed.
	Address string
	// Listed indicates that the newest list contains the host.
	Listed bool
	// ListLeaving indicates that the list marks the host as leaving.
	ListLeaving bool
}

// Leaving reports whether the agent gets no new requests, according to the list or
// to its own status.
func (a *Agent) Leaving() bool {
	return a.ListLeaving || a.Status.Leaving
}

// Services returns the plain services behind the agent; empty for a runner.
func (a *Agent) Services() []string {
	if len(a.Status.Services) > 0 {
		return a.Status.Services
	}
	return a.listServices
}

// Suspected reports whether calls to the agent failed recently.
func (a *Agent) Suspected(now time.Time) bool {
	return now.Before(a.SuspectedUntil)
}

// Unreachable reports whether calls have been failing for UnreachableAfter.
func (a *Agent) Unreachable(now time.Time) bool {
	return !a.FailingSince.IsZero() && now.Sub(a.FailingSince) >= UnreachableAfter
}

// Model returns the state of a model according to the agent's last status.
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

// Agent returns an agent, unless it is gone.
func (s *Snapshot) Agent(id string) (*Agent, bool) {
	return s.agents.get(id)
}

// Agents returns all agents that aren't gone, sorted by id.
func (s *Snapshot) Agents() []*Agent {
	return slices.SortedFunc(s.agents.all, func(a, b *Agent) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// Providers returns the sorted ids of the agents that provide a service. The caller
// must not change the slice.
func (s *Snapshot) Providers(service string) []string {
	return s.services[service]
}

// Entries returns the listed entries, sorted by id. The caller must not change
// the slice.
func (s *Snapshot) Entries() []*Entry {
	return s.entries
}

// Gone reports whether a host was listed and has since been unresponsive and, in
// the lists read by this process, absent for GoneAfter. A host that was never
// listed isn't gone.
func (s *Snapshot) Gone(hostID string) bool {
	return s.absent[hostID] == gone
}

// Missing reports whether a host has been unresponsive and absent from all lists
// for GoneAfter without being known as gone. Further reads of the list decide
// that.
func (s *Snapshot) Missing(hostID string) bool {
	return s.absent[hostID] == missing
}

func sortedEntries(entries map[string]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b *Entry) int {
		return strings.Compare(a.ID, b.ID)
	})
}
