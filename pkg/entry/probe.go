package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// probeInterval is the mean interval of the rounds of probes.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeSubset is the number of agents that this entry probes in turn, in
	// addition to the runners of the models that it decides on. The subset changes
	// only with the set of agents, so that its connections stay open.
	probeSubset = 32
	// probesPerRound is how many agents of the subset are probed in one round.
	probesPerRound = 8
	// smallFleetAgents is the number of agents up to which all agents without a
	// status are probed in every round.
	smallFleetAgents = 64
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 16
)

// prober probes agents for their status: the runners of the models that this entry
// decides on, agents that it must notify that their host is leaving, and a subset
// of all agents in turn.
type prober struct {
	self      string
	control   *controlState
	node      *wire.Node
	ownership *ownership
	// ids holds the agents of the last round, subset those of them that are probed in
	// turn, starting at nextIndex.
	ids       []string
	subset    []string
	nextIndex int
}

func newProber(self string, c *controlState, node *wire.Node) *prober {
	return &prober{self: self, control: c, node: node, ownership: newOwnership(self)}
}

// run probes agents until ctx ends.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.probeOnce(ctx)
		backoff.Sleep(ctx, probeInterval/2+rand.N(probeInterval))
	}
}

func (p *prober) probeOnce(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, agent := range p.chooseAgents() {
		slots <- struct{}{}
		wait.Go(func() {
			p.probe(ctx, agent)
			<-slots
		})
	}
	wait.Wait()
}

// chooseAgents returns the agents of one round, without duplicates.
func (p *prober) chooseAgents() []*membership.Agent {
	members := p.control.current().members
	p.ownership.update(members)
	round := &probeRound{members: members, chosen: make(map[string]bool)}
	for _, known := range p.control.syncState.allPlacements() {
		if !p.ownership.owns(placement.ModelVersionOf(&known)) {
			continue
		}
		for _, permit := range known.Permits {
			round.add(permit.Runner)
		}
	}
	agents := members.Agents()
	for _, agent := range agents {
		if p.mustProbe(agent, len(agents)) {
			round.add(agent.ID)
		}
	}
	for _, id := range p.nextOfSubset(agents) {
		round.add(id)
	}
	return round.agents
}

// mustProbe reports whether an agent is probed in each round: in a small fleet
// until its status is known, and by one entry while the host list marks its host as
// leaving, since the agent's leaving state expires without repeated notification.
func (p *prober) mustProbe(agent *membership.Agent, fleet int) bool {
	if !agent.HasStatus && fleet <= smallFleetAgents {
		return true
	}
	if !agent.ListLeaving {
		return false
	}
	return membership.RendezvousOwner(agent.ID, p.ownership.entries) == p.self
}

// nextOfSubset returns the next part of the subset.
func (p *prober) nextOfSubset(agents []*membership.Agent) []string {
	ids := make([]string, 0, len(agents))
	for _, agent := range agents {
		ids = append(ids, agent.ID)
	}
	if !slices.Equal(ids, p.ids) {
		p.ids = ids
		p.subset = membership.RendezvousRank(p.self, ids)
		p.subset = p.subset[:min(probeSubset, len(p.subset))]
	}
	var next []string
	for range min(probesPerRound, len(p.subset)) {
		next = append(next, p.subset[p.nextIndex%len(p.subset)])
		p.nextIndex++
	}
	return next
}

// probeRound collects the agents of one round.
type probeRound struct {
	members *membership.Snapshot
	chosen  map[string]bool
	agents  []*membership.Agent
}

func (r *probeRound) add(id string) {
	agent, ok := r.members.Agent(id)
	if !ok || agent.Address == "" || r.chosen[id] {
		return
	}
	r.chosen[id] = true
	r.agents = append(r.agents, agent)
}

func entryIDs(members *membership.Snapshot) []string {
	var ids []string
	for _, entry := range members.Entries() {
		if !entry.Leaving {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

func (p *prober) probe(ctx context.Context, agent *membership.Agent) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := p.node.Call(callCtx, agent.ID, agent.Address, &wire.Frame{Probe: &wire.Probe{Leaving: agent.ListLeaving}})
	if ctx.Err() != nil {
		return
	}
	p.control.loop.Do(func() {
		now := time.Now()
		if err != nil || response.Status == nil {
			p.control.callFailed(now, agent.ID)
			return
		}
		p.control.callSucceeded(now, agent.ID)
		p.control.statusReceived(now, response.Status)
	})
}
