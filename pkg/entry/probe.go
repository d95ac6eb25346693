package entry

import (
	"context"
	"math/rand/v2"
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
	// probeSample is how many agents a round asks at random, beside the runners
	// of the models that this entry decides on.
	probeSample = 8
	// probeAtOnce bounds the probes in flight.
	probeAtOnce = 16
	// maxProbes bounds the probes of one round.
	maxProbes = 64
)

// prober asks agents for their status: the runners of the models that this
// entry decides on, those that never said anything, and a few at random.
type prober struct {
	self    string
	control *control
	node    *wire.Node
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
	agents := members.Agents()
	chosen := make(map[string]bool)
	var round []*membership.Agent
	add := func(agent *membership.Agent) {
		if agent.Address != "" && !chosen[agent.ID] && len(round) < maxProbes {
			chosen[agent.ID] = true
			round = append(round, agent)
		}
	}
	entries := entryIDs(members)
	for _, known := range p.control.feed.allPlacements() {
		if membership.RendezvousOwner(placement.Of(&known).String(), entries) != p.self {
			continue
		}
		for _, permit := range known.Permits {
			if agent, ok := members.Agent(permit.Runner); ok {
				add(agent)
			}
		}
	}
	for _, agent := range agents {
		if !agent.HasStatus {
			add(agent)
		}
	}
	for range min(probeSample, len(agents)) {
		add(agents[rand.N(len(agents))])
	}
	return round
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
