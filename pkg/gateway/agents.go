package gateway

import (
	"maps"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// applyAgentStatus applies a status update received on an agent's stream.
func (c *control) applyAgentStatus(now time.Time, source *statusSource, host string, change *wire.RunnerStatus) {
	source.markReceived(now)
	listed := c.hosts[host]
	before := c.agents[host]
	record := &directory.AgentRecord{}
	if before != nil {
		*record = *before.AgentRecord
	}
	record.Host = host
	record.InternalAddress = listed.InternalAddress
	record.FailureDomain = listed.FailureDomain
	record.Runner = listed.Runner
	if before == nil || before.source != source || !before.Connected {
		c.logger.Info("agent connected", "belief", "agent:"+host, "agent", host, "plan", change.PlacementRevision, "models", len(change.Models))
	}
	record = record.With(change)
	record.Connected = true
	c.setAgent(host, &agentState{AgentRecord: record, source: source})
	c.publishStatuses()
}

// markAgentDisconnected records that the stream to an agent broke, unless a newer
// stream has replaced it.
func (c *control) markAgentDisconnected(host string, source *statusSource) {
	state := c.agents[host]
	if state == nil || state.source != source || !state.Connected {
		return
	}
	c.setAgent(host, state.disconnected())
	c.publishStatuses()
}

func (a *agentState) disconnected() *agentState {
	record := *a.AgentRecord
	record.Connected = false
	return &agentState{AgentRecord: &record, source: a.source}
}

// writableAgents returns the agents for modification. Views share the map, so it is
// cloned before the first change after each view.
func (c *control) writableAgents() map[string]*agentState {
	if c.agentsShared {
		c.agents = maps.Clone(c.agents)
		c.agentsShared = false
	}
	return c.agents
}

// setAgent replaces the state of an agent.
func (c *control) setAgent(host string, state *agentState) { c.writableAgents()[host] = state }

func (c *control) deleteAgent(host string) { delete(c.writableAgents(), host) }

// statusTTL is how long an agent's status is valid after its source last sent a
// message. It covers the time needed to fail over to another relay.
const statusTTL = 1800 * time.Millisecond

// isFresh reports whether the agent's status is still valid. It may be called on
// nil.
func (a *agentState) isFresh(now time.Time) bool {
	if a == nil || !a.Connected {
		return false
	}
	age := a.source.age(now)
	return age >= 0 && age < statusTTL
}

// applyRelayUpdate applies a relay's update on agents. If complete is set, the
// update lists all agents and the others are removed.
func (c *control) applyRelayUpdate(now time.Time, source *statusSource, update *wire.SiteUpdate, complete bool) {
	source.markReceived(now)
	if len(update.Agents)+len(update.RemovedAgents) == 0 && !complete {
		return
	}
	listed := make(map[string]bool, len(update.Agents))
	for i := range update.Agents {
		received := &update.Agents[i]
		listed[received.Host] = true
		var before *directory.AgentRecord
		if known := c.agents[received.Host]; known != nil && known.source == source {
			before = known.AgentRecord
		}
		c.setAgent(received.Host, &agentState{AgentRecord: directory.Apply(before, received), source: source})
	}
	for _, host := range update.RemovedAgents {
		c.deleteAgent(host)
	}
	if complete {
		c.agentsKnown = true
		for host := range c.agents {
			if !listed[host] {
				c.deleteAgent(host)
			}
		}
	}
	c.publishStatuses()
}

// expireAgents marks the agents whose status has expired as disconnected.
func (c *control) expireAgents(now time.Time) {
	if c.hasCompleteView(now) {
		c.agentsKnown = true
	}
	expired := false
	for host, state := range c.agents {
		if state.Connected && !state.isFresh(now) {
			c.setAgent(host, state.disconnected())
			expired = true
		}
	}
	if expired {
		c.publishStatuses()
	}
}

// removeUnlistedAgents removes the agents whose hosts are no longer listed.
func (c *control) removeUnlistedAgents(change siteChange) {
	for _, id := range change.removed {
		c.deleteAgent(id)
	}
	if !change.complete || !change.includesAgents {
		return
	}
	for id := range c.agents {
		if c.hosts[id].Role != keys.RoleAgent {
			c.deleteAgent(id)
		}
	}
}
