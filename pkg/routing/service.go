package routing

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/membership"
)

// chooseProvider chooses among the agents that offer a plain service: by rendezvous
// hashing of the affinity key if there is one, otherwise the less loaded of two
// agents selected by the random number.
func (t *Table) chooseProvider(now time.Time, query Query, tried []string, random uint64) *membership.Agent {
	ids := t.members.Providers(query.Service)
	if query.AffinityKey == "" {
		if agent := t.lessLoadedOfTwo(now, ids, tried, random); agent != nil {
			return agent
		}
	}
	var best, suspected *membership.Agent
	for _, id := range ids {
		agent := t.eligible(id, tried)
		switch {
		case agent == nil:
		case agent.Suspected(now):
			suspected = firstToRecover(suspected, agent)
		case best == nil || isBetter(query, agent, best):
			best = agent
		}
	}
	if best == nil {
		return suspected
	}
	return best
}

// isBetter compares by affinity key, or by load if there is none.
func isBetter(query Query, a, b *membership.Agent) bool {
	if query.AffinityKey == "" {
		return load(a) < load(b)
	}
	return membership.RendezvousScore(query.AffinityKey, a.ID) > membership.RendezvousScore(query.AffinityKey, b.ID)
}

// lessLoadedOfTwo selects two different agents and returns the less loaded one that
// is eligible, or nil.
func (t *Table) lessLoadedOfTwo(now time.Time, ids, tried []string, random uint64) *membership.Agent {
	n := uint64(len(ids))
	if n < 2 {
		return nil
	}
	first := random % n
	second := (first + 1 + (random/n)%(n-1)) % n
	var best *membership.Agent
	for _, i := range [...]uint64{first, second} {
		agent := t.eligible(ids[i], tried)
		if agent == nil || agent.Suspected(now) {
			continue
		}
		if best == nil || load(agent) < load(best) {
			best = agent
		}
	}
	return best
}

// load returns the number of requests at an agent per slot.
func load(agent *membership.Agent) float64 {
	requests := agent.Status.Running + agent.Status.Queued
	return float64(requests) / float64(max(1, agent.Status.Slots))
}
