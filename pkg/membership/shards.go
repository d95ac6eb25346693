package membership

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of the agent map. A change copies only one
// shard, so taking a snapshot after each status remains cheap with thousands of
// agents.
const shardCount = 64

// agentMap is a copy-on-write map of agents. Copies share their unchanged shards.
type agentMap struct {
	seed   maphash.Seed
	shards [shardCount]map[string]*Agent
	// shared marks the shards that are also part of a copy. They are cloned
	// before a change.
	shared [shardCount]bool
}

func newAgentMap() *agentMap {
	return &agentMap{seed: maphash.MakeSeed()}
}

func (m *agentMap) shard(id string) int {
	return int(maphash.String(m.seed, id) % shardCount)
}

func (m *agentMap) get(id string) (*Agent, bool) {
	agent, ok := m.shards[m.shard(id)][id]
	return agent, ok
}

func (m *agentMap) set(agent *Agent) {
	m.writable(m.shard(agent.ID))[agent.ID] = agent
}

// remove removes an agent and reports whether it was present.
func (m *agentMap) remove(id string) bool {
	_, ok := m.get(id)
	if ok {
		delete(m.writable(m.shard(id)), id)
	}
	return ok
}

func (m *agentMap) writable(i int) map[string]*Agent {
	switch {
	case m.shards[i] == nil:
		m.shards[i] = make(map[string]*Agent)
	case m.shared[i]:
		m.shards[i] = maps.Clone(m.shards[i])
	}
	m.shared[i] = false
	return m.shards[i]
}

// share returns an immutable copy.
func (m *agentMap) share() *agentMap {
	for i := range m.shared {
		m.shared[i] = true
	}
	return &agentMap{seed: m.seed, shards: m.shards}
}

// all calls yield for each agent.
func (m *agentMap) all(yield func(*Agent) bool) {
	for _, shard := range m.shards {
		for _, agent := range shard {
			if !yield(agent) {
				return
			}
		}
	}
}
