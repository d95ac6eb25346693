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
	var warm, cold, suspected *membership.Agent
	var warmWait, coldWait time.Duration
	for _, permit := range t.placements[id] {
		if permit.Revoked {
			continue
		}
		agent := t.eligible(permit.Runner, tried)
		if agent == nil {
			continue
		}
		if agent.Suspected(now) {
			suspected = firstToRecover(suspected, agent)
			continue
		}
		state, wait := expectedWait(now, agent, id)
		if state == wire.ModelLoaded && wait <= SpillWait {
			return agent
		}
		switch {
		case state == wire.ModelLoaded || state == wire.ModelLoading:
			if warm == nil || wait < warmWait {
				warm = agent
				warmWait = wait
			}
		case cold == nil:
			cold = agent
			coldWait = wait
		}
	}
	switch {
	case warm == nil && cold == nil:
		return suspected
	case warm == nil || (cold != nil && coldWait+query.SpillMargin < warmWait):
		return cold
	default:
		return warm
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
