package gateway

import (
	"maps"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// agentSaid takes in what an agent says of itself on a stream.
func (c *control) agentSaid(now time.Time, from *source, host string, change *wire.RunnerStatus) {
	from.hear(now)
	listed := c.hosts[host]
	before := c.agents[host]
	row := &directory.AgentRecord{}
	if before != nil {
		*row = *before.AgentRecord
	}
	row.Host = host
	row.Inner = listed.InternalAddress
	row.FailureDomain = listed.FailureDomain
	row.Runner = listed.Runner
	if before == nil || before.from != from || !before.Connected {
		c.logger.Info("agent heard", "belief", "agent:"+host, "agent", host, "plan", change.PlacementRevision, "models", len(change.Models))
	}
	row = row.With(change)
	row.Connected = true
	c.setAgent(host, &agentState{AgentRecord: row, from: from})
	c.publishStatuses()
}

// agentLost notes that the stream on which an agent was heard broke.
func (c *control) agentLost(host string, from *source) {
	state := c.agents[host]
	if state == nil || state.from != from || !state.Connected {
		return
	}
	c.setAgent(host, state.disconnected())
	c.publishStatuses()
}

func (a *agentState) disconnected() *agentState {
	row := *a.AgentRecord
	row.Connected = false
	return &agentState{AgentRecord: &row, from: a.from}
}

// ownAgents returns the agents for a change. Views share the map, so it is copied
// once for each of them.
func (c *control) ownAgents() map[string]*agentState {
	if c.agentsShared {
		c.agents = maps.Clone(c.agents)
		c.agentsShared = false
	}
	return c.agents
}

// setAgent replaces what is known of an agent.
func (c *control) setAgent(host string, state *agentState) { c.ownAgents()[host] = state }

func (c *control) deleteAgent(host string) { delete(c.ownAgents(), host) }

// statusTTL is how long an agent's status counts after its source was heard. It
// covers the time in which another relay is found for one that is lost.
const statusTTL = 1800 * time.Millisecond

// hears tells whether somebody hears the agent. It may be called on nil.
func (a *agentState) hears(now time.Time) bool {
	if a == nil || !a.Connected {
		return false
	}
	age := a.from.age(now)
	return age >= 0 && age < statusTTL
}

// relaySaid takes in what a relay says of agents. complete tells that there are no
// others.
func (c *control) relaySaid(now time.Time, from *source, update *wire.SiteUpdate, complete bool) {
	from.hear(now)
	if len(update.Agents)+len(update.RemovedAgents) == 0 && !complete {
		return
	}
	named := make(map[string]bool, len(update.Agents))
	for i := range update.Agents {
		said := &update.Agents[i]
		named[said.Host] = true
		var before *directory.AgentRecord
		if known := c.agents[said.Host]; known != nil && known.from == from {
			before = known.AgentRecord
		}
		c.setAgent(said.Host, &agentState{AgentRecord: directory.Apply(before, said), from: from})
	}
	for _, host := range update.RemovedAgents {
		c.deleteAgent(host)
	}
	if complete {
		c.informed = true
		for host := range c.agents {
			if !named[host] {
				c.deleteAgent(host)
			}
		}
	}
	c.publishStatuses()
}

// expireAgents notes which agents nobody hears any more.
func (c *control) expireAgents(now time.Time) {
	if c.isSettled(now) {
		c.informed = true
	}
	expired := false
	for host, state := range c.agents {
		if state.Connected && !state.hears(now) {
			c.setAgent(host, state.disconnected())
			expired = true
		}
	}
	if expired {
		c.publishStatuses()
	}
}

// forgetAgents drops the agents whose hosts are no longer listed.
func (c *control) forgetAgents(change siteChange) {
	for _, id := range change.gone {
		c.deleteAgent(id)
	}
	if !change.complete || !change.listsAgents {
		return
	}
	for id := range c.agents {
		if c.hosts[id].Role != keys.RoleAgent {
			c.deleteAgent(id)
		}
	}
}
