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
	// probeInterval is the time between two rounds of probes.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeSubset is how many agents this entry asks in turn, beside the runners
	// of the models that it decides on. The subset stays the same while the
	// agents do, so that its connections stay open.
	probeSubset = 32
	// probeTurn is how many of the subset are asked in one round.
	probeTurn = 8
	// smallFleet is the number of agents up to which all that never said anything
	// are asked at once.
	smallFleet = 64
	// probeAtOnce bounds the probes in flight.
	probeAtOnce = 16
)

// prober asks agents for their status: the runners of the models that this
// entry decides on, those that it must tell that they are leaving, and a subset
// of all in turn.
type prober struct {
	self      string
	control   *control
	node      *wire.Node
	ownership *ownership
	// ids and subset hold the agents of the last round, and which of them are
	// asked in turn from turn on.
	ids    []string
	subset []string
	turn   int
}

func newProber(self string, c *control, node *wire.Node) *prober {
	return &prober{self: self, control: c, node: node, ownership: newOwnership(self)}
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.round(ctx)
		backoff.Sleep(ctx, probeInterval/2+rand.N(probeInterval))
	}
}

func (p *prober) round(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, probeAtOnce)
	for _, agent := range p.choose() {
		slots <- struct{}{}
		wait.Go(func() {
			p.probe(ctx, agent)
			<-slots
		})
	}
	wait.Wait()
}

// choose returns the agents of one round, without duplicates.
func (p *prober) choose() []*membership.Agent {
	members := p.control.current().members
	p.ownership.update(members)
	round := &probeRound{members: members, chosen: make(map[string]bool)}
	for _, known := range p.control.feed.allPlacements() {
		if !p.ownership.owns(placement.ModelVersionOf(&known)) {
			continue
		}
		for _, permit := range known.Permits {
			round.add(permit.Runner)
		}
	}
	agents := members.Agents()
	for _, agent := range agents {
		if p.mustAsk(agent, len(agents)) {
			round.add(agent.ID)
		}
	}
	for _, id := range p.nextTurn(agents) {
		round.add(id)
	}
	return round.agents
}

// mustAsk tells whether an agent is asked in each round: in a small fleet until
// it has said something, and by one entry while the host list shows its host as
// leaving, since the agent must be told again and again.
func (p *prober) mustAsk(agent *membership.Agent, fleet int) bool {
	if !agent.HasStatus && fleet <= smallFleet {
		return true
	}
	if !agent.ListLeaving {
		return false
	}
	return membership.RendezvousOwner(agent.ID, p.ownership.entries) == p.self
}

// nextTurn returns the next part of the subset.
func (p *prober) nextTurn(agents []*membership.Agent) []string {
	ids := make([]string, 0, len(agents))
	for _, agent := range agents {
		ids = append(ids, agent.ID)
	}
	if !slices.Equal(ids, p.ids) {
		p.ids = ids
		p.subset = membership.RendezvousRank(p.self, ids)
		p.subset = p.subset[:min(probeSubset, len(p.subset))]
	}
	var turn []string
	for range min(probeTurn, len(p.subset)) {
		turn = append(turn, p.subset[p.turn%len(p.subset)])
		p.turn++
	}
	return turn
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
	answer, err := p.node.Call(callCtx, agent.ID, agent.Address, &wire.Frame{Probe: &wire.Probe{Leaving: agent.ListLeaving}})
	if ctx.Err() != nil {
		return
	}
	p.control.loop.Do(func() {
		now := time.Now()
		if err != nil || answer.Status == nil {
			p.control.callFailed(now, agent.ID)
			return
		}
		p.control.callSucceeded(now, agent.ID)
		p.control.statusReceived(now, answer.Status)
	})
}
