package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// chooseReplica chooses among the runners with a standing permit:
//
//   - the first, in the order of permits, that has the model loaded and a wait
//     up to SpillWait;
//   - else the one that has it loaded or loading and the shortest wait, unless
//     loading a further replica is expected to be faster by SpillMargin;
//   - else the first in the order of permits.
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
			suspected = earliestTrusted(suspected, agent)
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

// expectedWait returns a model's state at an agent and the time a new request
// would wait there, by the agent's last status. A queue that was reported some
// time ago has drained for as long; a load that hasn't begun takes as long as was
// reported, or a fixed time where nothing was.
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
	return status.State, coldLoad(status.Cache)
}

func coldLoad(tier wire.CacheTier) time.Duration {
	switch tier {
	case wire.CacheMemory:
		return coldLoadMemory
	case wire.CacheDisk:
		return coldLoadDisk
	default:
		return coldLoadRemote
	}
}
