package membership

import "slices"

// Snapshot returns the current view. It rebuilds only what has changed since the
// last one.
func (v *View) Snapshot() *Snapshot {
	if v.lastSnapshot != nil {
		return v.lastSnapshot
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
	v.lastSnapshot = &Snapshot{
		agents:   v.agents.share(),
		entries:  v.sortedEntries,
		services: v.services,
		absent:   v.absent,
	}
	return v.lastSnapshot
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
	previous, ok := v.agents.get(agent.ID)
	if !ok || !slices.Equal(previous.Services(), agent.Services()) {
		v.services = nil
	}
	v.agents.set(&agent)
	v.lastSnapshot = nil
}

func (v *View) removeAgent(id string) {
	if v.agents.remove(id) {
		v.services = nil
		v.lastSnapshot = nil
	}
}

func (v *View) setEntry(entry Entry) {
	v.entries[entry.ID] = &entry
	v.sortedEntries = nil
	v.lastSnapshot = nil
}

func (v *View) removeEntry(id string) {
	if v.entries[id] == nil {
		return
	}
	delete(v.entries, id)
	v.sortedEntries = nil
	v.lastSnapshot = nil
}

func (v *View) setPresence(record *hostRecord, presence presence) {
	if record.presence == presence {
		return
	}
	record.presence = presence
	v.absent = nil
	v.lastSnapshot = nil
}

// agent returns a copy of an agent for modification.
func (v *View) agent(id string) Agent {
	if agent, ok := v.agents.get(id); ok {
		return *agent
	}
	return Agent{ID: id}
}

// entry returns a copy of an entry for modification.
func (v *View) entry(id string) Entry {
	if entry, ok := v.entries[id]; ok {
		return *entry
	}
	return Entry{ID: id}
}
