package membership

import (
	"maps"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/platform"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// GoneAfter is how long a host must be continuously absent from the
	// platform's list, and silent, before it counts as gone.
	GoneAfter = 30 * time.Second
	// UnlistedGoneAfter replaces GoneAfter for hosts that this process knows
	// only from stored permits and has never seen in the list itself.
	UnlistedGoneAfter = 10 * time.Minute
	// UnreachableAfter is how long calls to an agent must fail before its
	// replicas are replaced.
	UnreachableAfter = 5 * time.Second

	// forgetAfter bounds how long a host that is gone is remembered; its permits
	// are removed long before.
	forgetAfter = 7 * 24 * time.Hour

	suspicionBase = 500 * time.Millisecond
	suspicionMax  = 30 * time.Second
	// maxRetired bounds the earlier incarnations remembered for each host.
	maxRetired = 8
)

// View merges the sources into one view. It is not safe for concurrent use.
type View struct {
	agents   map[string]*Agent
	entries  map[string]*Entry
	hosts    map[string]*hostRecord
	services map[string][]string
	last     *Snapshot
}

// hostRecord holds what the view remembers of a host beyond its snapshot.
type hostRecord struct {
	listed bool
	// seen tells whether the list has ever shown the host.
	seen bool
	// named tells whether a stored permit has named the host.
	named bool
	// silentSince is when the host was last listed or heard of.
	silentSince time.Time
	gone        bool
	failures    int
	retired     []string
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		agents:   make(map[string]*Agent),
		entries:  make(map[string]*Entry),
		hosts:    make(map[string]*hostRecord),
		services: make(map[string][]string),
	}
}

// HostsListed takes one full reading of the platform's list. An empty list is
// taken for a failure of the platform and ignored, as the reader's own host
// stands in every valid one.
func (v *View) HostsListed(now time.Time, hosts []platform.Host) {
	if len(hosts) == 0 {
		return
	}
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.ID] = true
		v.hostListed(now, host)
	}
	for id, record := range v.hosts {
		if !listed[id] {
			v.hostAbsent(now, id, record)
		}
	}
	v.indexServices()
	v.last = nil
}

func (v *View) hostListed(now time.Time, host platform.Host) {
	record := v.record(now, host.ID)
	record.listed = true
	record.seen = true
	record.gone = false
	record.silentSince = now
	if host.Role == platform.RoleEntry {
		entry := v.entry(host.ID)
		entry.FailureDomain = host.FailureDomain
		entry.Region = host.Region
		entry.Address = host.Address
		entry.Leaving = host.State == platform.HostLeaving
		v.entries[host.ID] = &entry
		return
	}
	agent := v.agent(host.ID)
	agent.FailureDomain = host.FailureDomain
	agent.Region = host.Region
	agent.Address = host.Address
	agent.Listed = true
	agent.ListLeaving = host.State == platform.HostLeaving
	agent.listServices = host.Services
	v.agents[host.ID] = &agent
}

// hostAbsent handles a host that the newest list doesn't show.
func (v *View) hostAbsent(now time.Time, id string, record *hostRecord) {
	record.listed = false
	delete(v.entries, id)
	if agent, ok := v.agents[id]; ok && agent.Listed {
		changed := *agent
		changed.Listed = false
		v.agents[id] = &changed
	}
	limit := GoneAfter
	if !record.seen {
		limit = UnlistedGoneAfter
	}
	if now.Sub(record.silentSince) < limit {
		return
	}
	delete(v.agents, id)
	if !record.seen && !record.named {
		delete(v.hosts, id)
		return
	}
	record.gone = true
	if now.Sub(record.silentSince) >= forgetAfter {
		delete(v.hosts, id)
	}
}

// PermitsNamed tells the view of hosts that stored permits name. Only hosts that
// some entry saw in the list are granted permits, so one of them that stays
// absent and silent for UnlistedGoneAfter counts as gone although this process
// started too late to have seen it.
func (v *View) PermitsNamed(now time.Time, hostIDs []string) {
	for _, id := range hostIDs {
		v.record(now, id).named = true
	}
}

// StatusReceived takes what an agent says of itself and tells whether it was
// news. A late status, of an earlier sequence or incarnation, is ignored.
func (v *View) StatusReceived(now time.Time, status wire.Status) bool {
	if status.Runner == "" {
		return false
	}
	record := v.record(now, status.Runner)
	agent := v.agent(status.Runner)
	if slices.Contains(record.retired, status.Incarnation) {
		return false
	}
	known := agent.Status.Incarnation
	if known == status.Incarnation && agent.HasStatus && status.Sequence <= agent.Status.Sequence {
		return false
	}
	if agent.HasStatus && known != status.Incarnation {
		record.retire(known)
	}
	reindex := !slices.Equal(agent.Status.Services, status.Services)
	agent.HasStatus = true
	agent.Status = status
	agent.StatusAt = now
	record.alive(now)
	clearSuspicion(&agent, record)
	v.agents[status.Runner] = &agent
	if reindex {
		v.indexServices()
	}
	v.last = nil
	return true
}

// CallFailed notes that a call to a host got no answer. The host is suspected
// for a time that doubles with each failure that follows the end of a
// suspicion.
func (v *View) CallFailed(now time.Time, hostID string) {
	record, ok := v.hosts[hostID]
	if !ok {
		return
	}
	if agent, isAgent := v.agents[hostID]; isAgent {
		if now.Before(agent.SuspectedUntil) {
			return
		}
		changed := *agent
		if record.failures == 0 {
			changed.FailingSince = now
		}
		changed.SuspectedUntil = record.suspect(now)
		v.agents[hostID] = &changed
	}
	if entry, isEntry := v.entries[hostID]; isEntry {
		if now.Before(entry.SuspectedUntil) {
			return
		}
		changed := *entry
		changed.SuspectedUntil = record.suspect(now)
		v.entries[hostID] = &changed
	}
	v.last = nil
}

// CallSucceeded notes that a call to a host was answered, which ends suspicion.
func (v *View) CallSucceeded(now time.Time, hostID string) {
	record, ok := v.hosts[hostID]
	if !ok {
		return
	}
	record.alive(now)
	if record.failures == 0 {
		return
	}
	if agent, isAgent := v.agents[hostID]; isAgent {
		changed := *agent
		clearSuspicion(&changed, record)
		v.agents[hostID] = &changed
	}
	if entry, isEntry := v.entries[hostID]; isEntry {
		changed := *entry
		changed.SuspectedUntil = time.Time{}
		record.failures = 0
		v.entries[hostID] = &changed
	}
	v.last = nil
}

// Snapshot returns the current view. It is rebuilt only after a change.
func (v *View) Snapshot() *Snapshot {
	if v.last != nil {
		return v.last
	}
	gone := make(map[string]bool)
	for id, record := range v.hosts {
		if record.gone {
			gone[id] = true
		}
	}
	v.last = &Snapshot{
		agents:   maps.Clone(v.agents),
		entries:  sortedEntries(v.entries),
		services: v.services,
		gone:     gone,
	}
	return v.last
}

// indexServices rebuilds the index from service to agents. The old index stays
// untouched, as snapshots share it.
func (v *View) indexServices() {
	index := make(map[string][]string)
	for id, agent := range v.agents {
		for _, service := range agent.Services() {
			index[service] = append(index[service], id)
		}
	}
	for _, ids := range index {
		slices.Sort(ids)
	}
	v.services = index
}

func (v *View) record(now time.Time, id string) *hostRecord {
	record, ok := v.hosts[id]
	if !ok {
		record = &hostRecord{silentSince: now}
		v.hosts[id] = record
	}
	return record
}

// agent returns a copy that may be changed and stored.
func (v *View) agent(id string) Agent {
	if agent, ok := v.agents[id]; ok {
		return *agent
	}
	return Agent{ID: id}
}

// entry returns a copy that may be changed and stored.
func (v *View) entry(id string) Entry {
	if entry, ok := v.entries[id]; ok {
		return *entry
	}
	return Entry{ID: id}
}

func (r *hostRecord) alive(now time.Time) {
	r.silentSince = now
	r.gone = false
}

func (r *hostRecord) suspect(now time.Time) time.Time {
	wait := suspicionBase << r.failures
	if wait >= suspicionMax {
		return now.Add(suspicionMax)
	}
	r.failures++
	return now.Add(wait)
}

func (r *hostRecord) retire(incarnation string) {
	r.retired = append(r.retired, incarnation)
	if len(r.retired) > maxRetired {
		r.retired = r.retired[1:]
	}
}

func clearSuspicion(agent *Agent, record *hostRecord) {
	record.failures = 0
	agent.SuspectedUntil = time.Time{}
	agent.FailingSince = time.Time{}
}
