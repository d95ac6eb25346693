package placement

import (
	"fmt"
	"slices"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// world is the permit protocol of a few models, runners and deciders around a
// store, an engine for each runner and a network that delays and loses writes.
// All that happens is a move, so that a test can draw moves or try them all.
type world struct {
	fenced   bool
	hostLoss bool
	// bounded worlds have few revisions, incarnations and writes in flight, and
	// deciders that read just before they decide: as writes are delayed anyway,
	// that loses no history.
	bounded  bool
	maxRev   int64
	revision int64
	stored   []wire.Placement
	history  []wire.Placement
	views    [][]wire.Placement
	runners  []*worldRunner
	network  []write
	epochs   []int64
	record   *recorder
	fault    string
}

type worldRunner struct {
	dead        bool
	incarnation int
	fence       int
	loaded      []bool
	orphans     []int
	agents      []*worldAgent
}

type worldAgent struct {
	incarnation int
	holder      *PermitEnforcer
	queue       []EnforcerAction
	orders      []int
	answers     []Unloaded
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
	run    func(*world)
}

func (m move) String() string { return fmt.Sprintf(m.format, m.args...) }

// newestRelays bounds the values of the past that an entry may still relay.
const newestRelays = 6

func newWorld(models, runners, deciders int) *world {
	w := &world{stored: make([]wire.Placement, models), epochs: make([]int64, models)}
	for m := range w.stored {
		w.stored[m] = wire.Placement{Model: fmt.Sprint("m", m), Version: "1"}
	}
	for range runners {
		w.runners = append(w.runners, &worldRunner{loaded: make([]bool, models)})
	}
	w.views = make([][]wire.Placement, deciders)
	return w
}

func runnerID(r int) string { return fmt.Sprint("r", r) }

func (w *world) modelIndex(id ModelVersion) int {
	return slices.IndexFunc(w.stored, func(p wire.Placement) bool { return ModelVersionOf(&p) == id })
}

func (w *world) clone() *world {
	c := *w
	c.stored = slices.Clone(w.stored)
	c.history = slices.Clone(w.history)
	c.views = slices.Clone(w.views)
	c.network = slices.Clone(w.network)
	c.epochs = slices.Clone(w.epochs)
	c.runners = make([]*worldRunner, len(w.runners))
	for i, r := range w.runners {
		copied := *r
		copied.loaded = slices.Clone(r.loaded)
		copied.orphans = slices.Clone(r.orphans)
		copied.agents = make([]*worldAgent, len(r.agents))
		for j, a := range r.agents {
			agent := *a
			agent.queue, agent.orders, agent.answers = slices.Clone(a.queue), slices.Clone(a.orders), slices.Clone(a.answers)
			holder := *a.holder
			holder.models = make(map[ModelVersion]*holding)
			for id, m := range a.holder.models {
				held := *m
				holder.models[id] = &held
			}
			agent.holder = &holder
			copied.agents[j] = &agent
		}
		c.runners[i] = &copied
	}
	return &c
}

// fingerprint is equal for worlds that behave alike.
func (w *world) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, w.revision, w.stored, w.history, w.views, w.network, w.epochs)
	for _, r := range w.runners {
		fmt.Fprint(&b, "|", r.dead, r.incarnation, r.fence, r.loaded, r.orphans)
		for _, a := range r.agents {
			fmt.Fprint(&b, ";", a.incarnation, a.queue, a.orders, a.answers, a.holder.readRevision, a.holder.engineRead)
			for _, p := range w.stored {
				if m := a.holder.models[ModelVersionOf(&p)]; m != nil {
					fmt.Fprint(&b, *m)
				}
			}
		}
	}
	return b.String()
}

// problems are the views of the environment a decider may have: each runner
// leaving, the model with one or two replicas, or unlisted.
func (w *world) problem(view []wire.Placement, replicas, leaving int) *Problem {
	problem := &Problem{ListsRevision: 1, Current: view}
	for i, r := range w.runners {
		problem.Runners = append(problem.Runners, Runner{
			ID: runnerID(i), FailureDomain: runnerID(i), MemoryMiB: 10, FreeMemoryMiB: 10,
			Leaving: i == leaving, Gone: r.dead,
		})
	}
	for _, p := range w.stored {
		if replicas > 0 {
			problem.Models = append(problem.Models, lists.Model{Name: p.Model, Version: p.Version, MemoryMiB: 1, MaxReplicas: replicas})
		}
	}
	return problem
}

func (w *world) moves() []move {
	var moves []move
	actor := 0
	add := func(run func(*world), format string, args ...any) {
		moves = append(moves, move{actor, format, args, run})
	}
	for d := range w.views {
		if !w.bounded {
			add(func(w *world) { w.read(d) }, "decider %d reads", d)
		}
		for replicas := range 3 {
			for leaving := -1; leaving < len(w.runners); leaving++ {
				if !w.bounded || w.inBounds(d, replicas, leaving) {
					add(func(w *world) { w.decide(d, replicas, leaving) },
						"decider %d decides for %d replicas, runner %d leaving", d, replicas, leaving)
				}
			}
		}
	}
	actor++
	for i := range w.network {
		add(func(w *world) { w.deliver(i, true, true) }, "write %d arrives", i)
		add(func(w *world) { w.deliver(i, true, false) }, "write %d arrives, its answer is lost", i)
		add(func(w *world) { w.deliver(i, false, false) }, "write %d is lost", i)
	}
	for i, r := range w.runners {
		actor++
		if r.dead {
			continue
		}
		startable := len(r.agents) == 0 || (w.fenced && len(r.agents) == 1)
		if startable && !(w.bounded && r.incarnation == 2) {
			add(func(w *world) { w.start(i) }, "r%d starts", i)
		}
		if w.hostLoss {
			add(func(w *world) { w.die(i) }, "r%d dies", i)
		}
		if len(r.orphans) > 0 {
			add(func(w *world) { w.orphan(i) }, "r%d takes an order of a crashed agent", i)
		}
		for j, a := range r.agents {
			w.agentMoves(i, j, func(run func(*world), what string, arg int) {
				add(run, "r%d#%d "+what+" %d", i, a.incarnation, arg)
			})
		}
	}
	return moves
}

func (w *world) agentMoves(i, j int, add func(run func(*world), what string, arg int)) {
	a := w.runners[i].agents[j]
	add(func(w *world) { w.crash(i, j) }, "crashes", 0)
	add(func(w *world) { w.engineRead(i, j) }, "reads engine", 0)
	add(func(w *world) { w.storeRead(i, j) }, "reads store", 0)
	for h := max(0, len(w.history)-newestRelays); h < len(w.history); h++ {
		add(func(w *world) { w.step(i, j, PlacementRelayed{w.history[h]}) }, "hears of change", h)
	}
	for m := range w.stored {
		add(func(w *world) { w.load(i, j, m) }, "loads model", m)
		add(func(w *world) { w.evict(i, j, m) }, "evicts model", m)
	}
	if len(a.orders) > 0 {
		add(func(w *world) { w.order(i, j) }, "reaches its engine to load", a.orders[0])
	}
	if len(a.queue) > 0 {
		add(func(w *world) { w.act(i, j) }, "acts", 0)
	}
	if len(a.answers) > 0 {
		add(func(w *world) { w.answer(i, j) }, "gets an answer", 0)
	}
}

// inBounds keeps a bounded world to one replica and to a write of each decider.
func (w *world) inBounds(d, replicas, leaving int) bool {
	writes := 0
	for _, sent := range w.network {
		if sent.runner < 0 {
			writes++
		}
	}
	return w.revision < w.maxRev && writes <= d && replicas < 2 && leaving < 1
}

func (w *world) read(d int) { w.views[d] = slices.Clone(w.stored) }

func (w *world) decide(d, replicas, leaving int) {
	if w.bounded {
		w.read(d)
		defer func() { w.views[d] = nil }()
	}
	if w.views[d] == nil {
		return
	}
	for _, change := range (Decider{}).Decide(w.problem(w.views[d], replicas, leaving)) {
		w.network = append(w.network, write{change: change, max: replicas, runner: -1, call: w.record.now()})
	}
}

// deliver ends a write: made or not, and with its answer or without.
func (w *world) deliver(i int, arrives, answered bool) {
	sent := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	before := w.stored[w.modelIndex(ModelVersionOf(&sent.change.Placement))]
	made := arrives && w.apply(&sent.change, sent.max)
	if made {
		w.record.written(&sent, &before, answered)
	}
	if sent.runner < 0 {
		return
	}
	for j, a := range w.runners[sent.runner].agents {
		id := ModelVersionOf(&sent.change.Placement)
		switch {
		case a.incarnation != sent.incarnation:
		case made && answered:
			w.step(sent.runner, j, Removed{Model: id, Revision: w.revision})
		default:
			w.step(sent.runner, j, RemoveFailed{Model: id})
		}
	}
}

func (w *world) apply(change *Change, limit int) bool {
	m := w.modelIndex(ModelVersionOf(&change.Placement))
	if w.stored[m].Revision != change.ExpectRevision {
		return false
	}
	w.revision++
	for _, permit := range change.Placement.Permits {
		if permitOf(w.stored[m].Permits, permit.Runner) >= 0 {
			continue
		}
		if permit.Epoch <= w.epochs[m] {
			w.fault = fmt.Sprintf("epoch %d granted after %d", permit.Epoch, w.epochs[m])
		}
		w.epochs[m] = permit.Epoch
	}
	if change.Granted > 0 && len(change.Placement.Permits) > limit {
		w.fault = fmt.Sprintf("%d permits for %d replicas", len(change.Placement.Permits), limit)
	}
	w.stored[m] = change.Placement
	w.stored[m].Revision = w.revision
	w.history = append(w.history, w.stored[m])
	return true
}

func (w *world) start(r int) {
	runner := w.runners[r]
	runner.incarnation++
	runner.agents = append(runner.agents, &worldAgent{incarnation: runner.incarnation, holder: NewPermitEnforcer(runnerID(r))})
}

func (w *world) crash(r, j int) {
	runner := w.runners[r]
	if !w.fenced {
		runner.orphans = append(runner.orphans, runner.agents[j].orders...)
	}
	runner.agents = slices.Delete(runner.agents, j, j+1)
}

// orphan executes a load order that a crashed agent had sent.
func (w *world) orphan(r int) {
	runner := w.runners[r]
	runner.loaded[runner.orphans[0]] = true
	runner.orphans = runner.orphans[1:]
}

func (w *world) die(r int) {
	runner := w.runners[r]
	runner.dead = true
	for m := range runner.loaded {
		w.noteUse(opUnload, r, m, 0)
	}
	runner.agents, runner.orphans = nil, nil
	clear(runner.loaded)
}

// refused tells whether the engine refuses the agent's fencing number.
func (w *world) refused(r int, a *worldAgent) bool { return a.incarnation < w.runners[r].fence }

func (w *world) engineRead(r, j int) {
	runner := w.runners[r]
	a := runner.agents[j]
	if w.refused(r, a) || len(runner.orphans) > 0 {
		return
	}
	runner.fence = a.incarnation
	var held []ModelVersion
	for m, loaded := range runner.loaded {
		if loaded {
			held = append(held, ModelVersionOf(&w.stored[m]))
		}
	}
	w.step(r, j, EngineRead{Held: held})
}

func (w *world) step(r, j int, event EnforcerEvent) {
	a := w.runners[r].agents[j]
	a.queue = append(a.queue, a.holder.Step(event)...)
}

func (w *world) load(r, j, m int) {
	a := w.runners[r].agents[j]
	if epoch, ok := a.holder.BeginLoad(w.stored[m].Model, "1"); ok && !slices.Contains(a.orders, m) {
		a.orders = append(a.orders, m)
		if !w.refused(r, a) {
			w.noteUse(opLoad, r, m, epoch)
		}
	}
}

func (w *world) order(r, j int) {
	a := w.runners[r].agents[j]
	if !w.refused(r, a) {
		w.runners[r].loaded[a.orders[0]] = true
	}
	a.orders = a.orders[1:]
}

func (w *world) evict(r, j, m int) {
	a := w.runners[r].agents[j]
	if a.holder.MayServe(w.stored[m].Model, "1") && len(a.orders)+len(a.answers) == 0 && !w.refused(r, a) {
		w.unload(r, m)
		a.answers = append(a.answers, Unloaded{Model: ModelVersionOf(&w.stored[m])})
	}
}

func (w *world) unload(r, m int) {
	w.runners[r].loaded[m] = false
	w.noteUse(opUnload, r, m, 0)
}

// noteUse notes the start or the end of a replica, which the engine decides at
// once.
func (w *world) noteUse(kind opKind, r, m int, epoch int64) {
	at := w.record.now()
	w.record.note(at, at, permitOp{w.stored[m].Model, runnerID(r), kind, epoch})
}

func (w *world) storeRead(r, j int) {
	w.step(r, j, PlacementRead{Revision: w.revision, Placements: slices.Clone(w.stored)})
}

func (w *world) answer(r, j int) {
	a := w.runners[r].agents[j]
	answer := a.answers[0]
	a.answers = a.answers[1:]
	w.step(r, j, answer)
}

func (w *world) act(r, j int) {
	a := w.runners[r].agents[j]
	action := a.queue[0]
	a.queue = a.queue[1:]
	switch action := action.(type) {
	case Unload:
		for len(a.orders) > 0 {
			w.order(r, j)
		}
		if w.refused(r, a) {
			return
		}
		w.unload(r, w.modelIndex(action.Model))
		a.answers = append(a.answers, Unloaded(action))
	case RemovePermit:
		w.network = append(w.network, write{change: action.Change, runner: r, incarnation: a.incarnation, call: w.record.now()})
	case ReadPlacement:
		w.step(r, j, PlacementChanged{w.stored[w.modelIndex(action.Model)]})
	}
}

// check returns what is wrong: a replica without permit, or a fault noted.
func (w *world) check() string {
	for r, runner := range w.runners {
		for m, loaded := range runner.loaded {
			if loaded && permitOf(w.stored[m].Permits, runnerID(r)) < 0 {
				return fmt.Sprintf("%s is loaded on %s without permit", w.stored[m].Model, runnerID(r))
			}
		}
	}
	return w.fault
}
