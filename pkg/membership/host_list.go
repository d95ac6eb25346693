package membership

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
)

// HostsListed applies a complete read of the platform's list by this process. An
// empty list is treated as a failure of the platform and ignored, because every
// valid list contains the reader's own host.
func (v *View) HostsListed(now time.Time, hosts []hostlist.Host) {
	v.applyList(now, hosts, v.hostAbsent)
}

// HostsRelayed applies a list that another process read, or repeats an earlier
// read. The list may be old, so the absence of a host proves nothing: the host
// becomes missing, and is gone only after reads by this process.
func (v *View) HostsRelayed(now time.Time, hosts []hostlist.Host) {
	v.applyList(now, hosts, v.hostUnlisted)
}

func (v *View) applyList(now time.Time, hosts []hostlist.Host, unlisted func(time.Time, string, *hostRecord)) {
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
	record.everListed = true
	v.recordContact(now, record)
	if host.Role == hostlist.RoleEntry {
		v.entryListed(host)
		return
	}
	v.agentListed(host)
}

func (v *View) entryListed(host hostlist.Host) {
	entry := v.entry(host.ID)
	previous := entry
	entry.FailureDomain = host.FailureDomain
	entry.Region = host.Region
	entry.Address = host.Address
	entry.Leaving = host.State == hostlist.Leaving
	if entry != previous || v.entries[host.ID] == nil {
		v.setEntry(entry)
	}
}

func (v *View) agentListed(host hostlist.Host) {
	agent := v.agent(host.ID)
	previous := agent.listing
	agent.listing = listing{
		FailureDomain: host.FailureDomain,
		Region:        host.Region,
		Address:       host.Address,
		Listed:        true,
		ListLeaving:   host.State == hostlist.Leaving,
	}
	if agent.listing == previous && slices.Equal(agent.listServices, host.Services) {
		return
	}
	agent.listServices = host.Services
	v.setAgent(agent)
}

// hostAbsent processes the absence of a host from a list that this process read.
func (v *View) hostAbsent(now time.Time, id string, record *hostRecord) {
	if record.absentSince.IsZero() {
		record.absentSince = now
	}
	v.hostUnlisted(now, id, record)
	if record.presence == missing && now.Sub(record.absentSince) >= GoneAfter {
		v.setPresence(record, gone)
	}
}

// hostUnlisted processes the absence of a host from the newest list.
func (v *View) hostUnlisted(now time.Time, id string, record *hostRecord) {
	v.removeEntry(id)
	if agent := v.agent(id); agent.Listed {
		agent.Listed = false
		v.setAgent(agent)
	}
	sinceContact := now.Sub(record.lastContact)
	limit := GoneAfter
	if !record.everListed {
		limit = UnlistedGoneAfter
	}
	if sinceContact < limit {
		return
	}
	v.removeAgent(id)
	known := record.everListed || record.hasPermit
	if !known || sinceContact >= recordTTL {
		v.setPresence(record, present)
		delete(v.hosts, id)
		return
	}
	if record.presence == present {
		v.setPresence(record, missing)
	}
}
