package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/packing"
)

const (
	// settleTime is how long a new leader waits for the statuses of all agents
	// before it decides, firstSettleTime the same before the first placement.
	settleTime      = 1500 * time.Millisecond
	firstSettleTime = 5 * time.Second
	// placementPause is the least time between two placements that differ in the
	// demand only.
	placementPause = time.Second
	// downTolerance is how long a runner that is down keeps its permits.
	downTolerance = time.Second
)

// decider decides the placement and the starts of loads while its entry leads. It
// is used by one goroutine.
type decider struct {
	store   keyvalue.Store
	control *control
	// startLoad gives an agent leave to load a model from the weight store.
	startLoad func(host, inner, model string)
	logger    *slog.Logger
	// loadsAtOnce is how many loads from the weight store run at full speed.
	loadsAtOnce atomic.Int64

	leaderRevision int64
	since          time.Time
	// decidedFor is what the last decision rested on, and decidedAt when it was made.
	decidedFor basis
	decidedAt  time.Time
	// sizers follow the demand for each service's models, replicas is what they
	// last said.
	sizers   map[string]*packing.ReplicaSizer
	replicas map[string]map[string]int
	// downSince is when each runner was first seen down.
	downSince map[string]time.Time
	starts    *packing.LoadScheduler
}

// setLoadsAtOnce changes the bound of loads from the weight store. Any goroutine
// may call it.
func (d *decider) setLoadsAtOnce(loads int) { d.loadsAtOnce.Store(int64(loads)) }

// begin starts the term of a leader, whose key has a revision.
func (d *decider) begin(leaderRevision int64) {
	d.leaderRevision = leaderRevision
	d.since = time.Now()
	d.decidedFor = basis{}
	d.decidedAt = time.Time{}
	d.sizers = make(map[string]*packing.ReplicaSizer)
	d.replicas = make(map[string]map[string]int)
	d.downSince = make(map[string]time.Time)
	d.starts = packing.NewLoadScheduler(d.since)
}

// decide looks at the placement and at waiting loads.
func (d *decider) decide(ctx context.Context, now time.Time) {
	current := d.control.current()
	if current.table == nil {
		return
	}
	d.noteDown(now, current)
	if !d.isSettled(now, current) {
		return
	}
	d.size(now, current)
	if basis := d.basisOf(now, current); d.isDue(now, basis) && d.place(ctx, now, current) {
		d.decidedFor = basis
		d.decidedAt = now
	}
	d.startLoads(now, current)
}

// isDue tells whether a new decision is due: at once if runners have come or gone,
// and a moment after the last one if the demand has changed.
func (d *decider) isDue(now time.Time, present basis) bool {
	if present.runners != d.decidedFor.runners {
		return true
	}
	return present.demand != d.decidedFor.demand && now.Sub(d.decidedAt) >= placementPause
}

// isSettled tells whether all agents were heard and all their runners have
// registered themselves, or had the time to.
func (d *decider) isSettled(now time.Time, current *view) bool {
	patience := settleTime
	if current.placement == nil {
		patience = firstSettleTime
	}
	if now.Sub(d.since) >= patience {
		return true
	}
	registered := make(map[string]bool)
	for _, service := range current.table.Engines() {
		for _, s := range current.servers[service.Name] {
			if !s.hears(now) {
				return false
			}
			registered[s.agent] = true
		}
	}
	for id, host := range current.hosts {
		if host.Role == keys.RoleAgent && !registered[id] {
			return false
		}
	}
	return len(registered) > 0
}

func (d *decider) noteDown(now time.Time, current *view) {
	for host, state := range current.agents {
		isDown := state.Status == nil || state.Status.Down || !state.hears(now)
		if !isDown {
			delete(d.downSince, host)
		} else if d.downSince[host].IsZero() {
			d.downSince[host] = now
		}
	}
}

// usable tells whether a runner may be given permits.
func (d *decider) usable(now time.Time, s *server) bool {
	if s.agent == "" || s.state == nil || s.State != fleet.BackendReady || s.state.Status.Leaving {
		return false
	}
	down := d.downSince[s.agent]
	return down.IsZero() || now.Sub(down) < downTolerance
}

// basis names what a placement rests on.
type basis struct {
	// runners names the services, their models and their usable runners, demand the
	// wanted replicas.
	runners string
	demand  string
}

// basisOf names what the placement rests on now.
func (d *decider) basisOf(now time.Time, current *view) basis {
	var runners, demand []string
	for _, service := range current.table.Engines() {
		runners = append(runners, service.Name)
		for i := range service.Engine.Models {
			runners = append(runners, service.Engine.Models[i].Name)
		}
		for _, s := range current.servers[service.Name] {
			if d.usable(now, s) {
				runners = append(runners, s.agent)
			}
		}
		for model, replicas := range d.replicas[service.Name] {
			demand = append(demand, model+"*"+strconv.Itoa(replicas))
		}
	}
	slices.Sort(runners)
	slices.Sort(demand)
	return basis{runners: strings.Join(runners, " "), demand: strings.Join(demand, " ")}
}

// size takes in the present demand for each service's models. Before the first
// placement there is none.
func (d *decider) size(now time.Time, current *view) {
	if current.placement == nil {
		return
	}
	for _, service := range current.table.Engines() {
		loads := make(map[string]packing.ModelLoad)
		for _, s := range current.servers[service.Name] {
			if s.state == nil {
				continue
			}
			for _, model := range s.state.Status.Models {
				load := loads[model.Name]
				load.Rate += model.Interactive
				load.Reading += model.PrefillShare
				load.Busy += float64(model.Running + model.Waiting)
				loads[model.Name] = load
			}
		}
		sizer := d.sizers[service.Name]
		if sizer == nil {
			sizer = packing.NewReplicaSizer(current.placement)
			d.sizers[service.Name] = sizer
		}
		d.replicas[service.Name] = sizer.Update(now, service.Engine.Slots, loads)
	}
}

// place decides the placement and writes it if it differs. It returns false if
// the decision has to be made again.
func (d *decider) place(ctx context.Context, now time.Time, current *view) bool {
	next := &packing.Placement{TokenNanos: readingSpeed(current)}
	for _, service := range current.table.Engines() {
		next.Models = append(next.Models, packing.Pack(d.problem(now, current, service))...)
	}
	if current.placement != nil && current.placement.Equal(next) {
		return true
	}
	value, err := next.Encode()
	if err != nil {
		d.logger.Error("placement can't be written", "error", err)
		return true
	}
	var before int64
	if current.placement != nil {
		before = current.placement.Revision
	}
	result, err := d.store.Txn(ctx, []keyvalue.Compare{
		{Key: placementKey, ModRevision: before},
		{Key: leaderKey, ModRevision: d.leaderRevision},
	}, []keyvalue.Op{{Key: placementKey, Value: value}})
	if err != nil {
		d.logger.Warn("placement not written", "uncertain", keyvalue.IsUncertain(err), "error", err)
		return false
	}
	if !result.Succeeded {
		d.logger.Info("placement not written, it has changed")
		return false
	}
	next.Revision = result.Revision
	d.control.loop.Do(func() { d.control.siteChanged(siteChange{placement: next}) })
	d.logger.Info("placement written", "revision", result.Revision, "models", len(next.Models))
	return true
}

// readingSpeed is the median of the times that runners take to read a token, or what
// the placement in force says if no agent has learned it.
func readingSpeed(current *view) int64 {
	var learned []int64
	for _, state := range current.agents {
		if state.Status != nil && state.Status.PrefillNanosPerToken > 0 {
			learned = append(learned, state.Status.PrefillNanosPerToken)
		}
	}
	if len(learned) > 0 {
		slices.Sort(learned)
		return learned[len(learned)/2]
	}
	if current.placement != nil {
		return current.placement.TokenNanos
	}
	return 0
}

func (d *decider) problem(now time.Time, current *view, service *fleet.Service) *packing.Problem {
	problem := &packing.Problem{
		Service:  service.Name,
		Engine:   service.Engine,
		Replicas: d.replicas[service.Name],
		Current:  current.placement,
		// As many as the weight store can be asked for at once.
		MaxRemoteLoads: d.starts.MaxConcurrent(d.startLimits(current)),
	}
	if sizer := d.sizers[service.Name]; sizer != nil {
		problem.Loads = sizer.MeanLoads()
	}
	for _, s := range current.servers[service.Name] {
		if !d.usable(now, s) {
			continue
		}
		runner := packing.Runner{Host: s.agent, FailureDomain: s.FailureDomain, Locality: make(map[string]packing.Locality)}
		for i := range s.state.Status.Models {
			model := &s.state.Status.Models[i]
			runner.Locality[model.Name] = packing.LocalityOf(model)
		}
		problem.Runners = append(problem.Runners, runner)
	}
	slices.SortFunc(problem.Runners, func(a, b packing.Runner) int { return cmp.Compare(a.Host, b.Host) })
	return problem
}
