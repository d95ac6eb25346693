package membership

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// GoneAfter is how long a host must be continuously absent from this
	// process's readings of the platform's list, and silent, before it counts as
	// gone.
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
	agents  *agentMap
	entries map[string]*Entry
	hosts   map[string]*hostRecord
	// services, sortedEntries, absent and last belong to the last snapshot; nil
	// after a change.
	services      map[string][]string
	sortedEntries []*Entry
	absent        map[string]presence
	last          *Snapshot
}

// hostRecord holds what the view remembers of a host beyond its snapshot.
type hostRecord struct {
	// seen tells whether the list has ever shown the host.
	seen bool
	// named tells whether a stored permit has named the host.
	named bool
	// silentSince is when the host was last listed or heard of.
	silentSince time.Time
	// absentSince is the first reading since then that lacks the host; zero means
	// none.
	absentSince time.Time
	presence    presence
	failures    int
	retired     []string
}

// presence is what absence and silence prove.
type presence uint8

const (
	present presence = iota
	// missing hosts may be gone, which only readings of the list can show.
	missing
	gone
)

// NewView returns an empty view.
func NewView() *View {
	return &View{
		agents:  newAgentMap(),
		entries: make(map[string]*Entry),
		hosts:   make(map[string]*hostRecord),
	}
}

// HostsListed takes one full reading of the platform's list by this process. An
// empty list is taken for a failure of the platform and ignored, as the reader's
// own host stands in every valid one.
func (v *View) HostsListed(now time.Time, hosts []hostlist.Host) {
	v.listTaken(now, hosts, v.hostAbsent)
}

// HostsRelayed takes a list that another process read, or an earlier reading once
// more. It may be old, so that a host's absence from it proves nothing: the host
// becomes missing, and is gone only after readings by this process.
func (v *View) HostsRelayed(now time.Time, hosts []hostlist.Host) {
	v.listTaken(now, hosts, v.hostUnlisted)
}

func (v *View) listTaken(now time.Time, hosts []hostlist.Host, unlisted func(time.Time, string, *hostRecord)) {
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
			unlisted(now, id, record)
		}
	}
}

func (v *View) hostListed(now time.Time, host hostlist.Host) {
	record := v.record(now, host.ID)
	record.seen = true
	v.alive(now, record)
	if host.Role == hostlist.RoleEntry {
		v.entryListed(host)
		return
	}
	v.agentListed(host)
}

func (v *View) entryListed(host hostlist.Host) {
	entry := v.entry(host.ID)
	before := entry
	entry.FailureDomain = host.FailureDomain
	entry.Region = host.Region
	entry.Address = host.Address
	entry.Leaving = host.State == hostlist.Leaving
	if entry != before || v.entries[host.ID] == nil {
		v.setEntry(entry)
	}
}

func (v *View) agentListed(host hostlist.Host) {
	agent := v.agent(host.ID)
	before := agent.listing
	agent.listing = listing{
		FailureDomain: host.FailureDomain,
		Region:        host.Region,
		Address:       host.Address,
		Listed:        true,
		ListLeaving:   host.State == hostlist.Leaving,
	}
	if agent.listing == before && slices.Equal(agent.listServices, host.Services) {
		return
	}
	agent.listServices = host.Services
	v.setAgent(agent)
}

// hostAbsent handles a host that a reading of the list doesn't show.
func (v *View) hostAbsent(now time.Time, id string, record *hostRecord) {
	if record.absentSince.IsZero() {
		record.absentSince = now
	}
	v.hostUnlisted(now, id, record)
	if record.presence == missing && now.Sub(record.absentSince) >= GoneAfter {
		v.setPresence(record, gone)
	}
}

// hostUnlisted handles a host that the newest list doesn't show.
func (v *View) hostUnlisted(now time.Time, id string, record *hostRecord) {
	v.removeEntry(id)
	if agent := v.agent(id); agent.Listed {
		agent.Listed = false
		v.setAgent(agent)
	}
	silence := now.Sub(record.silentSince)
	limit := GoneAfter
	if !record.seen {
		limit = UnlistedGoneAfter
	}
	if silence < limit {
		return
	}
	v.removeAgent(id)
	known := record.seen || record.named
	if !known || silence >= forgetAfter {
		v.setPresence(record, present)
		delete(v.hosts, id)
		return
	}
	if record.presence == present {
		v.setPresence(record, missing)
	}
}

// HostsPermitted tells the view of hosts that stored permits name. Only hosts that
// some entry saw in the list are granted permits, so one of them that stays
// absent and silent for UnlistedGoneAfter counts as gone although this process
// started too late to have seen it.
func (v *View) HostsPermitted(now time.Time, hostIDs []string) {
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
	agent.HasStatus = true
	agent.Status = status
	agent.StatusAt = now
	v.alive(now, record)
	clearSuspicion(&agent, record)
	v.setAgent(agent)
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

// CallSucceeded notes that a call to a host was answered, which ends suspicion.
func (v *View) CallSucceeded(now time.Time, hostID string) {
	record, ok := v.hosts[hostID]
	if !ok {
		return
	}
	v.alive(now, record)
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

// Snapshot returns the current view. Only what changed since the last one is
// rebuilt.
func (v *View) Snapshot() *Snapshot {
	if v.last != nil {
		return v.last
	}
	if v.services == nil {
		v.services = indexServices(v.agents)
	}
	if v.sortedEntries == nil {
		v.sortedEntries = sortedEntries(v.entries)
	}
	if v.absent == nil {
		v.absent = absentHosts(v.hosts)
	}
	v.last = &Snapshot{
		agents:   v.agents.share(),
		entries:  v.sortedEntries,
		services: v.services,
		absent:   v.absent,
	}
	return v.last
}

func indexServices(agents *agentMap) map[string][]string {
	index := make(map[string][]string)
	for agent := range agents.all {
		for _, service := range agent.Services() {
			index[service] = append(index[service], agent.ID)
		}
	}
	for _, ids := range index {
		slices.Sort(ids)
	}
	return index
}

func absentHosts(hosts map[string]*hostRecord) map[string]presence {
	absent := make(map[string]presence)
	for id, record := range hosts {
		if record.presence != present {
			absent[id] = record.presence
		}
	}
	return absent
}

func (v *View) setAgent(agent Agent) {
	before, ok := v.agents.get(agent.ID)
	if !ok || !slices.Equal(before.Services(), agent.Services()) {
		v.services = nil
	}
	v.agents.set(&agent)
	v.last = nil
}

func (v *View) removeAgent(id string) {
	if v.agents.remove(id) {
		v.services = nil
		v.last = nil
	}
}

func (v *View) setEntry(entry Entry) {
	v.entries[entry.ID] = &entry
	v.sortedEntries = nil
	v.last = nil
}

func (v *View) removeEntry(id string) {
	if v.entries[id] == nil {
		return
	}
	delete(v.entries, id)
	v.sortedEntries = nil
	v.last = nil
}

func (v *View) setPresence(record *hostRecord, presence presence) {
	if record.presence == presence {
		return
	}
	record.presence = presence
	v.absent = nil
	v.last = nil
}

// alive notes a sign of life.
func (v *View) alive(now time.Time, record *hostRecord) {
	record.silentSince = now
	record.absentSince = time.Time{}
	v.setPresence(record, present)
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
	if agent, ok := v.agents.get(id); ok {
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
