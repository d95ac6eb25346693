package membership

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// GoneAfter is how long a host must be unresponsive and continuously absent
	// from the lists that this process reads before it counts as gone.
	GoneAfter = 30 * time.Second
	// UnlistedGoneAfter replaces GoneAfter for hosts that this process knows only
	// from stored permits and has never seen in the list.
	UnlistedGoneAfter = 10 * time.Minute
	// UnreachableAfter is how long calls to an agent must fail before its
	// replicas are replaced.
	UnreachableAfter = 5 * time.Second

	// recordTTL is how long the record of a host that is gone is stored. Its
	// permits are removed long before.
	recordTTL = 7 * 24 * time.Hour

	// minSuspicion and maxSuspicion limit how long a host is suspected after a
	// failed call.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 30 * time.Second
	// maxRetiredIncarnations limits the earlier incarnations stored for each host.
	maxRetiredIncarnations = 8
)

// View merges the sources into one view. It is not safe for concurrent use.
type View struct {
	agents  *agentMap
	entries map[string]*Entry
	hosts   map[string]*hostRecord
	// services, sortedEntries, absent and lastSnapshot cache parts of the last
	// snapshot; nil after a change.
	services      map[string][]string
	sortedEntries []*Entry
	absent        map[string]presence
	lastSnapshot  *Snapshot
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		agents:  newAgentMap(),
		entries: make(map[string]*Entry),
		hosts:   make(map[string]*hostRecord),
	}
}

// HostsPermitted records the hosts that stored permits name. Permits are granted
// only to hosts that some entry saw in the list. If such a host stays absent and
// unresponsive for UnlistedGoneAfter, it counts as gone even if this process
// started too late to have seen it listed.
func (v *View) HostsPermitted(now time.Time, hostIDs []string) {
	for _, id := range hostIDs {
		v.record(now, id).hasPermit = true
	}
}

// StatusReceived applies an agent's status and reports whether it was an update. A
// late status with an earlier sequence number or incarnation is ignored.
func (v *View) StatusReceived(now time.Time, status wire.Status) bool {
	if status.Runner == "" {
		return false
	}
	record := v.record(now, status.Runner)
	agent := v.agent(status.Runner)
	if slices.Contains(record.retiredIncarnations, status.Incarnation) {
		return false
	}
	previous := agent.Status.Incarnation
	if previous == status.Incarnation && agent.HasStatus && status.Sequence <= agent.Status.Sequence {
		return false
	}
	if agent.HasStatus && previous != status.Incarnation {
		record.retire(previous)
	}
	agent.HasStatus = true
	agent.Status = status
	agent.StatusAt = now
	v.recordContact(now, record)
	clearSuspicion(&agent, record)
	v.setAgent(agent)
	return true
}

// CallFailed records that a call to a host got no response. The host is suspected
// for a period that doubles with each failure after the end of the previous
// suspicion.
func (v *View) CallFailed(now time.Time, hostID string) {
	record, ok := v.hosts[hostID]
	if !ok {
		return
	}
	if agent, ok := v.agents.get(hostID); ok && !agent.Suspected(now) {
		changed := *agent
		if record.failures == 0 {
			changed.FailingSince = now
		}
		changed.SuspectedUntil = record.suspect(now)
		v.setAgent(changed)
	}
	if entry, ok := v.entries[hostID]; ok && !now.Before(entry.SuspectedUntil) {
		changed := *entry
		changed.SuspectedUntil = record.suspect(now)
		v.setEntry(changed)
	}
}

// CallSucceeded records that a call to a host got a response, which ends its
// suspicion.
func (v *View) CallSucceeded(now time.Time, hostID string) {
	record, ok := v.hosts[hostID]
	if !ok {
		return
	}
	v.recordContact(now, record)
	if record.failures == 0 {
		return
	}
	record.failures = 0
	if agent, ok := v.agents.get(hostID); ok {
		changed := *agent
		clearSuspicion(&changed, record)
		v.setAgent(changed)
	}
	if entry, ok := v.entries[hostID]; ok {
		changed := *entry
		changed.SuspectedUntil = time.Time{}
		v.setEntry(changed)
	}
}
