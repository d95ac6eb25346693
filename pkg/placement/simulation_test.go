package placement

import (
	"fmt"
	"slices"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// simulation models the permit protocol with a few models, runners and deciders, a
// store, an engine for each runner, and a network that delays and loses writes.
// Every event is a move, so that a test can draw moves or explore all of them.
type simulation struct {
	fenced   bool
	hostLoss bool
	// bounded limits revisions, incarnations and writes in flight, and lets
	// deciders read only directly before they decide. Writes are delayed anyway,
	// so this excludes no history.
	bounded   bool
	maxRev    int64
	revision  int64
	stored    []wire.Placement
	history   []wire.Placement
	views     [][]wire.Placement
	runners   []*simulatedRunner
	network   []write
	epochs    []int64
	record    *recorder
	violation string
}

type simulatedRunner struct {
	dead        bool
	incarnation int
	fence       int
	loaded      []bool
	// crashedOrders are load orders of crashed agents that still arrive.
	crashedOrders []int
	agents        []*simulatedAgent
}

type simulatedAgent struct {
	incarnation int
	enforcer    *PermitEnforcer
	queue       []EnforcerAction
	orders      []int
	responses   []Unloaded
}

type write struct {
	change      Change
	max         int
	runner      int
	incarnation int
	call        int64
}

type move struct {
	actor  int
	format string
	args   []any
	run    func(*simulation)
}

func (m move) String() string { return fmt.Sprintf(m.format, m.args...) }

// maxRelayedVersions limits the past values that an entry may still relay.
const maxRelayedVersions = 6

func newSimulation(models, runners, deciders int) *simulation {
	s := &simulation{stored: make([]wire.Placement, models), epochs: make([]int64, models)}
	for m := range s.stored {
		s.stored[m] = wire.Placement{Model: fmt.Sprint("m", m), Version: "1"}
	}
	for range runners {
		s.runners = append(s.runners, &simulatedRunner{loaded: make([]bool, models)})
	}
	s.views = make([][]wire.Placement, deciders)
	return s
}

func runnerID(r int) string { return fmt.Sprint("r", r) }

func (s *simulation) modelIndex(id ModelVersion) int {
	return slices.IndexFunc(s.stored, func(p wire.Placement) bool { return ModelVersionOf(&p) == id })
}

func (s *simulation) clone() *simulation {
	c := *s
	c.stored = slices.Clone(s.stored)
	c.history = slices.Clone(s.history)
	c.views = slices.Clone(s.views)
	c.network = slices.Clone(s.network)
	c.epochs = slices.Clone(s.epochs)
	c.runners = make([]*simulatedRunner, len(s.runners))
	for i, r := range s.runners {
		copied := *r
		copied.loaded = slices.Clone(r.loaded)
		copied.crashedOrders = slices.Clone(r.crashedOrders)
		copied.agents = make([]*simulatedAgent, len(r.agents))
		for j, a := range r.agents {
			agent := *a
			agent.queue, agent.orders, agent.responses = slices.Clone(a.queue), slices.Clone(a.orders), slices.Clone(a.responses)
			enforcer := *a.enforcer
			enforcer.models = make(map[ModelVersion]*modelState)
			for id, m := range a.enforcer.models {
				copiedState := *m
				enforcer.models[id] = &copiedState
			}
			agent.enforcer = &enforcer
			copied.agents[j] = &agent
		}
		c.runners[i] = &copied
	}
	return &c
}

// fingerprint is equal for simulations that behave alike.
func (s *simulation) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, s.revision, s.stored, s.history, s.views, s.network, s.epochs)
	for _, r := range s.runners {
		fmt.Fprint(&b, "|", r.dead, r.incarnation, r.fence, r.loaded, r.crashedOrders)
		for _, a := range r.agents {
			fmt.Fprint(&b, ";", a.incarnation, a.queue, a.orders, a.responses, a.enforcer.readRevision, a.enforcer.engineRead)
			for _, p := range s.stored {
				if m := a.enforcer.models[ModelVersionOf(&p)]; m != nil {
					fmt.Fprint(&b, *m)
				}
			}
		}
	}
	return b.String()
}

// problem returns a decider's possible input: a runner may be leaving, and the
// models have some number of replicas or are unlisted.
func (s *simulation) problem(view []wire.Placement, replicas, leaving int) *Problem {
	problem := &Problem{ListsRevision: 1, Current: view}
	for i, r := range s.runners {
		problem.Runners = append(problem.Runners, Runner{
			ID: runnerID(i), FailureDomain: runnerID(i), MemoryMiB: 10, FreeMemoryMiB: 10,
			Leaving: i == leaving, Gone: r.dead,
		})
	}
	for _, p := range s.stored {
		if replicas > 0 {
			problem.Models = append(problem.Models, lists.Model{Name: p.Model, Version: p.Version, MemoryMiB: 1, MaxReplicas: replicas})
		}
	}
	return problem
}

func (s *simulation) moves() []move {
	var moves []move
	actor := 0
	add := func(run func(*simulation), format string, args ...any) {
		moves = append(moves, move{actor, format, args, run})
	}
	for d := range s.views {
		if !s.bounded {
			add(func(s *simulation) { s.read(d) }, "decider %d reads", d)
		}
		for replicas := range 3 {
			for leaving := -1; leaving < len(s.runners); leaving++ {
				if !s.bounded || s.inBounds(d, replicas, leaving) {
					add(func(s *simulation) { s.decide(d, replicas, leaving) },
						"decider %d decides for %d replicas, runner %d leaving", d, replicas, leaving)
				}
			}
		}
	}
	actor++
	for i := range s.network {
		add(func(s *simulation) { s.deliver(i, true, true) }, "write %d arrives", i)
		add(func(s *simulation) { s.deliver(i, true, false) }, "write %d arrives, its response is lost", i)
		add(func(s *simulation) { s.deliver(i, false, false) }, "write %d is lost", i)
	}
	for i, r := range s.runners {
		actor++
		if r.dead {
			continue
		}
		startable := len(r.agents) == 0 || (s.fenced && len(r.agents) == 1)
		if startable && !(s.bounded && r.incarnation == 2) {
			add(func(s *simulation) { s.startAgent(i) }, "r%d starts", i)
		}
		if s.hostLoss {
			add(func(s *simulation) { s.loseHost(i) }, "r%d dies", i)
		}
		if len(r.crashedOrders) > 0 {
			add(func(s *simulation) { s.executeCrashedOrder(i) }, "r%d executes an order of a crashed agent", i)
		}
		for j, a := range r.agents {
			s.agentMoves(i, j, func(run func(*simulation), what string, arg int) {
				add(run, "r%d#%d "+what+" %d", i, a.incarnation, arg)
			})
		}
	}
	return moves
}

func (s *simulation) agentMoves(i, j int, add func(run func(*simulation), what string, arg int)) {
	a := s.runners[i].agents[j]
	add(func(s *simulation) { s.crash(i, j) }, "crashes", 0)
	add(func(s *simulation) { s.engineRead(i, j) }, "reads engine", 0)
	add(func(s *simulation) { s.storeRead(i, j) }, "reads store", 0)
	for h := max(0, len(s.history)-maxRelayedVersions); h < len(s.history); h++ {
		add(func(s *simulation) { s.step(i, j, PlacementRelayed{s.history[h]}) }, "receives change", h)
	}
	for m := range s.stored {
		add(func(s *simulation) { s.load(i, j, m) }, "loads model", m)
		add(func(s *simulation) { s.evict(i, j, m) }, "evicts model", m)
	}
	if len(a.orders) > 0 {
		add(func(s *simulation) { s.executeOrder(i, j) }, "engine receives load order for", a.orders[0])
	}
	if len(a.queue) > 0 {
		add(func(s *simulation) { s.performAction(i, j) }, "acts", 0)
	}
	if len(a.responses) > 0 {
		add(func(s *simulation) { s.response(i, j) }, "gets a response", 0)
	}
}

// inBounds limits a bounded simulation to one replica and to one write of each
// decider.
func (s *simulation) inBounds(d, replicas, leaving int) bool {
	writes := 0
	for _, sent := range s.network {
		if sent.runner < 0 {
			writes++
		}
	}
	return s.revision < s.maxRev && writes <= d && replicas < 2 && leaving < 1
}

func (s *simulation) read(d int) { s.views[d] = slices.Clone(s.stored) }

func (s *simulation) decide(d, replicas, leaving int) {
	if s.bounded {
		s.read(d)
		defer func() { s.views[d] = nil }()
	}
	if s.views[d] == nil {
		return
	}
	for _, change := range (Decider{}).Decide(s.problem(s.views[d], replicas, leaving)) {
		s.network = append(s.network, write{change: change, max: replicas, runner: -1, call: s.record.now()})
	}
}

// deliver completes a write, applied or not, with or without a response.
func (s *simulation) deliver(i int, arrives, acknowledged bool) {
	sent := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	before := s.stored[s.modelIndex(ModelVersionOf(&sent.change.Placement))]
	applied := arrives && s.apply(&sent.change, sent.max)
	if applied {
		s.record.recordWrite(&sent, &before, acknowledged)
	}
	if sent.runner < 0 {
		return
	}
	for j, a := range s.runners[sent.runner].agents {
		id := ModelVersionOf(&sent.change.Placement)
		switch {
		case a.incarnation != sent.incarnation:
		case applied && acknowledged:
			s.step(sent.runner, j, Removed{Model: id, Revision: s.revision})
		default:
			s.step(sent.runner, j, RemoveFailed{Model: id})
		}
	}
}

func (s *simulation) apply(change *Change, limit int) bool {
	m := s.modelIndex(ModelVersionOf(&change.Placement))
	if s.stored[m].Revision != change.ExpectRevision {
		return false
	}
	s.revision++
	for _, permit := range change.Placement.Permits {
		if permitOf(s.stored[m].Permits, permit.Runner) >= 0 {
			continue
		}
		if permit.Epoch <= s.epochs[m] {
			s.violation = fmt.Sprintf("epoch %d granted after %d", permit.Epoch, s.epochs[m])
		}
		s.epochs[m] = permit.Epoch
	}
	if change.Granted > 0 && len(change.Placement.Permits) > limit {
		s.violation = fmt.Sprintf("%d permits for %d replicas", len(change.Placement.Permits), limit)
	}
	s.stored[m] = change.Placement
	s.stored[m].Revision = s.revision
	s.history = append(s.history, s.stored[m])
	return true
}

func (s *simulation) startAgent(r int) {
	runner := s.runners[r]
	runner.incarnation++
	runner.agents = append(runner.agents, &simulatedAgent{incarnation: runner.incarnation, enforcer: NewPermitEnforcer(runnerID(r))})
}

func (s *simulation) crash(r, j int) {
	runner := s.runners[r]
	if !s.fenced {
		runner.crashedOrders = append(runner.crashedOrders, runner.agents[j].orders...)
	}
	runner.agents = slices.Delete(runner.agents, j, j+1)
}

// executeCrashedOrder executes a load order that a crashed agent had sent.
func (s *simulation) executeCrashedOrder(r int) {
	runner := s.runners[r]
	runner.loaded[runner.crashedOrders[0]] = true
	runner.crashedOrders = runner.crashedOrders[1:]
}

func (s *simulation) loseHost(r int) {
	runner := s.runners[r]
	runner.dead = true
	for m := range runner.loaded {
		s.recordUse(opUnload, r, m, 0)
	}
	runner.agents, runner.crashedOrders = nil, nil
	clear(runner.loaded)
}

// refused reports whether the engine refuses the agent's fencing token.
func (s *simulation) refused(r int, a *simulatedAgent) bool {
	return a.incarnation < s.runners[r].fence
}

func (s *simulation) engineRead(r, j int) {
	runner := s.runners[r]
	a := runner.agents[j]
	if s.refused(r, a) || len(runner.crashedOrders) > 0 {
		return
	}
	runner.fence = a.incarnation
	var loadedModels []ModelVersion
	for m, loaded := range runner.loaded {
		if loaded {
			loadedModels = append(loadedModels, ModelVersionOf(&s.stored[m]))
		}
	}
	s.step(r, j, EngineRead{Loaded: loadedModels})
}

func (s *simulation) step(r, j int, event EnforcerEvent) {
	a := s.runners[r].agents[j]
	a.queue = append(a.queue, a.enforcer.Step(event)...)
}

func (s *simulation) load(r, j, m int) {
	a := s.runners[r].agents[j]
	if epoch, ok := a.enforcer.BeginLoad(s.stored[m].Model, "1"); ok && !slices.Contains(a.orders, m) {
		a.orders = append(a.orders, m)
		if !s.refused(r, a) {
			s.recordUse(opLoad, r, m, epoch)
		}
	}
}

func (s *simulation) executeOrder(r, j int) {
	a := s.runners[r].agents[j]
	if !s.refused(r, a) {
		s.runners[r].loaded[a.orders[0]] = true
	}
	a.orders = a.orders[1:]
}

func (s *simulation) evict(r, j, m int) {
	a := s.runners[r].agents[j]
	if a.enforcer.MayServe(s.stored[m].Model, "1") && len(a.orders)+len(a.responses) == 0 && !s.refused(r, a) {
		s.unload(r, m)
		a.responses = append(a.responses, Unloaded{Model: ModelVersionOf(&s.stored[m])})
	}
}

func (s *simulation) unload(r, m int) {
	s.runners[r].loaded[m] = false
	s.recordUse(opUnload, r, m, 0)
}

// recordUse records the start or the end of a replica's use of its permit, which
// takes effect at the engine immediately.
func (s *simulation) recordUse(kind opKind, r, m int, epoch int64) {
	at := s.record.now()
	s.record.add(at, at, permitOp{s.stored[m].Model, runnerID(r), kind, epoch})
}

func (s *simulation) storeRead(r, j int) {
	s.step(r, j, PlacementRead{Revision: s.revision, Placements: slices.Clone(s.stored)})
}

func (s *simulation) response(r, j int) {
	a := s.runners[r].agents[j]
	response := a.responses[0]
	a.responses = a.responses[1:]
	s.step(r, j, response)
}

func (s *simulation) performAction(r, j int) {
	a := s.runners[r].agents[j]
	action := a.queue[0]
	a.queue = a.queue[1:]
	switch action := action.(type) {
	case Unload:
		for len(a.orders) > 0 {
			s.executeOrder(r, j)
		}
		if s.refused(r, a) {
			return
		}
		s.unload(r, s.modelIndex(action.Model))
		a.responses = append(a.responses, Unloaded(action))
	case RemovePermit:
		s.network = append(s.network, write{change: action.Change, runner: r, incarnation: a.incarnation, call: s.record.now()})
	case ReadPlacement:
		s.step(r, j, PlacementChanged{s.stored[s.modelIndex(action.Model)]})
	}
}

// check returns a description of the violated invariant: a replica without permit,
// or a violation found by an earlier move.
func (s *simulation) check() string {
	for r, runner := range s.runners {
		for m, loaded := range runner.loaded {
			if loaded && permitOf(s.stored[m].Permits, runnerID(r)) < 0 {
				return fmt.Sprintf("%s is loaded on %s without permit", s.stored[m].Model, runnerID(r))
			}
		}
	}
	return s.violation
}
