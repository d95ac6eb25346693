package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/membership"
)

// chooseProvider chooses among the agents that offer a plain service: by
// rendezvous hashing of the affinity key, or else the less loaded of two that
// the random number picks.
func (t *Table) chooseProvider(now time.Time, query Query, tried []string, random uint64) *membership.Agent {
	var trusted []*membership.Agent
	var suspected *membership.Agent
	for _, id := range t.members.Providers(query.Service) {
		agent := t.eligible(id, tried)
		switch {
		case agent == nil:
		case agent.Suspected(now):
			suspected = earliestTrusted(suspected, agent)
		default:
			trusted = append(trusted, agent)
		}
	}
	switch {
	case len(trusted) == 0:
		return suspected
	case query.AffinityKey != "":
		return owner(query.AffinityKey, trusted)
	default:
		return lessLoaded(trusted, random)
	}
}

func owner(key string, agents []*membership.Agent) *membership.Agent {
	best := agents[0]
	bestScore := membership.RendezvousScore(key, best.ID)
	for _, agent := range agents[1:] {
		score := membership.RendezvousScore(key, agent.ID)
		if score > bestScore {
			best = agent
			bestScore = score
		}
	}
	return best
}

// lessLoaded picks two different agents and returns the less loaded.
func lessLoaded(agents []*membership.Agent, random uint64) *membership.Agent {
	n := uint64(len(agents))
	first := random % n
	if n == 1 {
		return agents[first]
	}
	second := (random / n) % (n - 1)
	if second >= first {
		second++
	}
	if load(agents[second]) < load(agents[first]) {
		return agents[second]
	}
	return agents[first]
}

// load is the number of requests at an agent for each of its slots.
func load(agent *membership.Agent) float64 {
	requests := agent.Status.Running + agent.Status.Queued
	return float64(requests) / float64(max(1, agent.Status.Slots))
}
