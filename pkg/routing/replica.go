package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// chooseReplica chooses among the runners with a valid permit:
//
//   - the first, in the order of permits, that has the model loaded and an expected
//     wait of at most SpillWait;
//   - otherwise the one with the shortest wait that has it loaded or loading, unless
//     loading an additional replica is expected to be faster by SpillMargin;
//   - otherwise the first in the order of permits.
func (t *Table) chooseReplica(now time.Time, query Query, tried []string) *membership.Agent {
	id := placement.ModelVersion{Model: query.Model, Version: query.Version}
	var found replicaCandidates
	for _, permit := range t.placements[id] {
		if permit.Revoked {
			continue
		}
		agent := t.eligible(permit.Runner, tried)
		if agent == nil {
			continue
		}
		if agent.Suspected(now) {
			found.suspected = firstToRecover(found.suspected, agent)
			continue
		}
		state, wait := expectedWait(now, agent, id)
		if state == wire.ModelLoaded && wait <= SpillWait {
			return agent
		}
		found.add(agent, state, wait)
	}
	return found.best(query.SpillMargin)
}

// replicaCandidates holds the best runners with a permit found so far, by the state of
// the model there.
type replicaCandidates struct {
	// warm has the model loaded or loading, with the shortest wait.
	warm     *membership.Agent
	warmWait time.Duration
	// cold is the first one that would have to load it.
	cold      *membership.Agent
	coldWait  time.Duration
	suspected *membership.Agent
}

// add considers a runner that isn't suspected.
func (c *replicaCandidates) add(agent *membership.Agent, state wire.ModelState, wait time.Duration) {
	switch {
	case state == wire.ModelLoaded || state == wire.ModelLoading:
		if c.warm == nil || wait < c.warmWait {
			c.warm = agent
			c.warmWait = wait
		}
	case c.cold == nil:
		c.cold = agent
		c.coldWait = wait
	}
}

// best returns the runner to choose, or nil if there is none. A cold one must be faster
// by spillMargin.
func (c *replicaCandidates) best(spillMargin time.Duration) *membership.Agent {
	switch {
	case c.warm == nil && c.cold == nil:
		return c.suspected
	case c.warm == nil || (c.cold != nil && c.coldWait+spillMargin < c.warmWait):
		return c.cold
	default:
		return c.warm
	}
}

// expectedWait returns a model's state at an agent and the expected wait of a new
// request there, based on the agent's last status. A reported queue is assumed to
// have drained since the report. A load that hasn't started takes the reported time,
// or a fixed time if none was reported.
func expectedWait(now time.Time, agent *membership.Agent, id placement.ModelVersion) (wire.ModelState, time.Duration) {
	status, _ := agent.Model(id.Model, id.Version)
	switch status.State {
	case wire.ModelLoaded, wire.ModelLoading:
		reported := time.Duration(status.WaitMillis) * time.Millisecond
		return status.State, max(0, reported-now.Sub(agent.StatusAt))
	}
	if status.WaitMillis > 0 {
		return status.State, time.Duration(status.WaitMillis) * time.Millisecond
	}
	return status.State, expectedLoadTime(status.Cache)
}

func expectedLoadTime(tier wire.CacheTier) time.Duration {
	switch tier {
	case wire.CacheMemory:
		return loadTimeMemory
	case wire.CacheDisk:
		return loadTimeDisk
	default:
		return loadTimeRemote
	}
}
