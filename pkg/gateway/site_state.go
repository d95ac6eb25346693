package gateway

import (
	"maps"

	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

// leaderState is the last known state of the leader key.
type leaderState struct {
	// host is the leader's host ID; empty if there is none.
	host string
	// keyRevision is the revision of the key; zero if there is none.
	keyRevision int64
	// knownAt is the store revision at which this was the state.
	knownAt int64
}

// siteChange is a change of the site's hosts, placement and leader.
type siteChange struct {
	// complete is set if hosts, placement and leader are the complete state, and
	// includesAgents if the hosts include those of agents.
	complete       bool
	includesAgents bool
	asOf           int64
	hosts          []roster.Host
	removed        []string
	placement      *packing.Placement
	// history is nil if the change does not contain it.
	history *resumption.History
	// leader is nil if the change does not contain it.
	leader *leaderState
}

// applySiteChange applies a change of the site's hosts, placement and leader.
func (c *control) applySiteChange(change siteChange) {
	c.asOf = max(c.asOf, change.asOf)
	if change.complete {
		c.hosts = make(map[string]roster.Host)
	} else if len(change.hosts)+len(change.removed) > 0 {
		// Views share the map, so it is cloned.
		c.hosts = maps.Clone(c.hosts)
	}
	for _, host := range change.hosts {
		c.hosts[host.ID] = host
	}
	for _, id := range change.removed {
		delete(c.hosts, id)
	}
	c.removeUnlistedAgents(change)
	if change.complete && change.includesAgents && change.placement == nil && c.placement != nil {
		c.logger.Warn("the store has lost the active placement", "belief", "placement", "revision", c.placement.Revision)
		c.placementLost = true
	}
	if change.placement != nil && (c.placement == nil || change.placement.Revision >= c.placement.Revision) {
		c.setPlacement(change.placement)
	}
	if change.history != nil {
		c.setHistory(change.history)
	}
	// A watch may deliver an older state than the one that an election returned.
	if change.leader != nil && change.leader.knownAt >= c.leader.knownAt {
		c.setLeader(*change.leader)
	}
	c.publish()
}

func (c *control) setPlacement(placement *packing.Placement) {
	if c.placement == nil || placement.Revision > c.placement.Revision {
		c.logger.Info("placement activated", "belief", "placement", "revision", placement.Revision, "models", len(placement.Models))
	}
	c.placement = placement
	c.placementLost = false
}

func (c *control) setLeader(leader leaderState) {
	if leader.host != c.leader.host {
		c.logger.Info("leader changed", "belief", "leader", "leader", leader.host, "revision", leader.knownAt)
	}
	c.leader = leader
}
