package routing

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// SpillWait is the expected queue wait at a loaded replica above which the next
	// permit is considered.
	SpillWait = 250 * time.Millisecond

	// loadTimeMemory, loadTimeDisk and loadTimeRemote are the expected durations of a
	// load from each cache tier, which are compared with the wait in a queue.
	loadTimeMemory = 2 * time.Second
	loadTimeDisk   = 6 * time.Second
	loadTimeRemote = 20 * time.Second
)

// Table is an immutable snapshot of placements and members.
type Table struct {
	members    *membership.Snapshot
	placements map[placement.ModelVersion][]wire.Permit
}

// NewTable returns a table. The caller must not modify the placements afterwards.
func NewTable(members *membership.Snapshot, placements []wire.Placement) *Table {
	table := &Table{
		members:    members,
		placements: make(map[placement.ModelVersion][]wire.Permit, len(placements)),
	}
	for i := range placements {
		table.placements[placement.ModelVersionOf(&placements[i])] = placements[i].Permits
	}
	return table
}

// WithMembers returns a table with the same placements and the given members.
func (t *Table) WithMembers(members *membership.Snapshot) *Table {
	return &Table{members: members, placements: t.placements}
}

// Target is an agent to send a request to.
type Target struct {
	Agent   string
	Address string
	// Incarnation is the last one known, or empty.
	Incarnation string
}

// Query selects a target. It names either a model version or a service.
type Query struct {
	Model   string
	Version string
	Service string
	// AffinityKey routes requests with equal keys to the same agent; empty means no
	// affinity. It is used for plain services.
	AffinityKey string
	// SpillMargin is how much shorter the wait at an additional replica must be than
	// at a loaded one to justify loading it. The function SpillMargin computes it.
	SpillMargin time.Duration
}

// spillIdleTime is how long an additional replica is expected to be idle before it
// is unloaded.
const spillIdleTime = 5 * time.Minute

// SpillMargin converts the cost of an additional replica's idle time into a wait,
// using the site's weights for idle time and cold starts.
func SpillMargin(policy lists.Policy) time.Duration {
	if policy.ColdStartWeight <= 0 {
		return spillIdleTime
	}
	return time.Duration(policy.IdleWeight / policy.ColdStartWeight * float64(spillIdleTime))
}

// Agent returns the target with the given id if requests may be sent there.
func (t *Table) Agent(id string) (Target, bool) {
	agent, ok := t.members.Agent(id)
	if !ok || agent.Address == "" || t.members.Gone(id) {
		return Target{}, false
	}
	return targetOf(agent), true
}

// Choose returns the agent to try next, excluding those in tried. Leaving and
// removed agents are never chosen, suspected ones only if no other is left. The
// random number breaks ties between agents of a plain service.
func (t *Table) Choose(now time.Time, query Query, tried []string, random uint64) (Target, bool) {
	var agent *membership.Agent
	if query.Service != "" {
		agent = t.chooseProvider(now, query, tried, random)
	} else {
		agent = t.chooseReplica(now, query, tried)
	}
	if agent == nil {
		return Target{}, false
	}
	return targetOf(agent), true
}

// eligible returns the agent if it may receive new requests.
func (t *Table) eligible(id string, tried []string) *membership.Agent {
	agent, ok := t.members.Agent(id)
	if !ok || agent.Address == "" || agent.Leaving() {
		return nil
	}
	if t.members.Gone(id) || slices.Contains(tried, id) {
		return nil
	}
	return agent
}

func targetOf(agent *membership.Agent) Target {
	return Target{
		Agent:       agent.ID,
		Address:     agent.Address,
		Incarnation: agent.Status.Incarnation,
	}
}

// firstToRecover returns, of two suspected agents, the one whose suspicion expires
// first.
func firstToRecover(a, b *membership.Agent) *membership.Agent {
	if a == nil || b.SuspectedUntil.Before(a.SuspectedUntil) {
		return b
	}
	return a
}
