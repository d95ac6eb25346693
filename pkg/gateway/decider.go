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
	// statusWait is how long a new leader waits for the statuses of all agents
	// before it decides, firstPlacementWait the same before the first placement.
	statusWait         = 1500 * time.Millisecond
	firstPlacementWait = 5 * time.Second
	// minPlacementInterval is the minimum time between two placements that differ
	// only in demand.
	minPlacementInterval = time.Second
	// downGracePeriod is how long a runner that is down keeps its permits.
	downGracePeriod = time.Second
)

// decider decides the placement and grants loads from the weight store while its
// entry leads. Only one goroutine uses it.
type decider struct {
	store   keyvalue.Store
	control *control
	// grantLoad grants an agent a load from the weight store.
	grantLoad func(host, internalAddress, model string)
	logger    *slog.Logger
	// maxConcurrentLoads is how many loads from the weight store run at full speed.
	maxConcurrentLoads atomic.Int64

	leaderRevision int64
	// storedHistory is the revision of the history of versions that a failed write has
	// shown; nil if there was none since the last write.
	storedHistory *int64
	termStart     time.Time
	// lastInputs are the inputs of the last decision, lastDecisionAt is its time.
	lastInputs     placementInputs
	lastDecisionAt time.Time
	// sizers track the demand for each service's models, replicas holds their last
	// results by service and model.
	sizers   map[string]*packing.ReplicaSizer
	replicas map[string]map[string]int
	// downSince is when each runner was first seen down.
	downSince     map[string]time.Time
	loadScheduler *packing.LoadScheduler
}

// setMaxConcurrentLoads changes the limit of loads from the weight store. Any
// goroutine may call it.
func (d *decider) setMaxConcurrentLoads(loads int) { d.maxConcurrentLoads.Store(int64(loads)) }

// startTerm resets the state for a new term, identified by the leader key's
// revision.
func (d *decider) startTerm(leaderRevision int64) {
	d.leaderRevision = leaderRevision
	d.storedHistory = nil
	d.termStart = time.Now()
	d.lastInputs = placementInputs{}
	d.lastDecisionAt = time.Time{}
	d.sizers = make(map[string]*packing.ReplicaSizer)
	d.replicas = make(map[string]map[string]int)
	d.downSince = make(map[string]time.Time)
	d.loadScheduler = packing.NewLoadScheduler(d.termStart)
}

// decide updates the placement and grants waiting loads.
func (d *decider) decide(ctx context.Context, now time.Time) {
	current := d.control.current()
	if current.table == nil {
		return
	}
	d.updateHistory(ctx, now, current)
	d.recordDownRunners(now, current)
	if !d.isReady(now, current) {
		return
	}
	d.updateReplicas(now, current)
	if inputs := d.inputsOf(now, current); d.isDue(now, inputs) && d.updatePlacement(ctx, now, current) {
		d.lastInputs = inputs
		d.lastDecisionAt = now
	}
	d.grantLoads(now, current)
}

// isDue reports whether a new decision is due: immediately if the set of runners
// has changed, and after minPlacementInterval if the demand has changed.
func (d *decider) isDue(now time.Time, inputs placementInputs) bool {
	if inputs.runners != d.lastInputs.runners {
		return true
	}
	return inputs.demand != d.lastInputs.demand && now.Sub(d.lastDecisionAt) >= minPlacementInterval
}

// isReady reports whether statuses were received from all agents and all their
// runners have registered, or the wait has timed out.
func (d *decider) isReady(now time.Time, current *view) bool {
	timeout := statusWait
	if current.placement == nil {
		timeout = firstPlacementWait
	}
	if now.Sub(d.termStart) >= timeout {
		return true
	}
	registered := make(map[string]bool)
	for _, service := range current.table.Engines() {
		for _, s := range current.servers[service.Name] {
			if !s.hasFreshStatus(now) {
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

func (d *decider) recordDownRunners(now time.Time, current *view) {
	for host, state := range current.agents {
		isDown := state.Status == nil || state.Status.Down || !state.isFresh(now)
		if !isDown {
			delete(d.downSince, host)
		} else if d.downSince[host].IsZero() {
			d.downSince[host] = now
		}
	}
}

// isUsable reports whether a runner may be given permits.
func (d *decider) isUsable(now time.Time, s *server) bool {
	if s.agent == "" || s.state == nil || s.State != fleet.BackendReady || s.state.Status.Leaving {
		return false
	}
	down := d.downSince[s.agent]
	return down.IsZero() || now.Sub(down) < downGracePeriod
}

// placementInputs identifies the inputs of a placement.
type placementInputs struct {
	// runners lists the services, their models and their usable runners with the versions
	// of their software, demand the wanted replicas.
	runners string
	demand  string
}

// inputsOf returns the current inputs of the placement.
func (d *decider) inputsOf(now time.Time, current *view) placementInputs {
	var runners, demand []string
	for _, service := range current.table.Engines() {
		runners = append(runners, service.Name)
		for i := range service.Engine.Models {
			runners = append(runners, service.Engine.Models[i].Name)
		}
		for _, s := range current.servers[service.Name] {
			if d.isUsable(now, s) {
				runners = append(runners, s.agent+"="+s.Software)
			}
		}
		for model, replicas := range d.replicas[service.Name] {
			demand = append(demand, model+"*"+strconv.Itoa(replicas))
		}
	}
	slices.Sort(runners)
	slices.Sort(demand)
	return placementInputs{runners: strings.Join(runners, " "), demand: strings.Join(demand, " ")}
}

// updateReplicas updates the wanted replicas from the current demand for each
// service's models. Before the first placement there is none.
func (d *decider) updateReplicas(now time.Time, current *view) {
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
				load.Prefill += model.PrefillShare
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

// updatePlacement decides the placement and writes it if it differs. It returns
// false if the decision must be repeated.
func (d *decider) updatePlacement(ctx context.Context, now time.Time, current *view) bool {
	next := &packing.Placement{PrefillNanosPerToken: medianTokenNanos(current)}
	for _, service := range current.table.Engines() {
		next.Models = append(next.Models, packing.Pack(d.problem(now, current, service))...)
	}
	if current.placement != nil && !current.placementLost && current.placement.Equal(next) {
		return true
	}
	value, err := next.Encode()
	if err != nil {
		d.logger.Error("placement encoding failed", "error", err)
		return true
	}
	var before int64
	if current.placement != nil && !current.placementLost {
		before = current.placement.Revision
	}
	result, err := d.writeAsLeader(ctx, placementKey, before, value)
	if err != nil {
		d.logger.Warn("placement write failed", "uncertain", keyvalue.IsUncertain(err), "error", err)
		return false
	}
	if !result.Succeeded {
		d.logger.Info("placement not written, changed concurrently")
		return false
	}
	next.Revision = result.Revision
	d.control.loop.Do(func() { d.control.applySiteChange(siteChange{placement: next}) })
	d.logger.Info("placement written", "revision", result.Revision, "models", len(next.Models))
	return true
}

// writeAsLeader writes a key if its revision is still the given one, zero if it doesn't
// exist, and this entry still leads.
func (d *decider) writeAsLeader(ctx context.Context, key string, before int64, value []byte) (keyvalue.TxnResult, error) {
	return d.store.Txn(ctx, []keyvalue.Compare{
		{Key: key, ModRevision: before},
		{Key: leaderKey, ModRevision: d.leaderRevision},
	}, []keyvalue.Op{{Key: key, Value: value}})
}

// medianTokenNanos is the median of the runners' prefill times per token,
// or the value of the active placement if no agent has measured one.
func medianTokenNanos(current *view) int64 {
	var measured []int64
	for _, state := range current.agents {
		if state.Status != nil && state.Status.PrefillNanosPerToken > 0 {
			measured = append(measured, state.Status.PrefillNanosPerToken)
		}
	}
	if len(measured) > 0 {
		slices.Sort(measured)
		return measured[len(measured)/2]
	}
	if current.placement != nil {
		return current.placement.PrefillNanosPerToken
	}
	return 0
}

func (d *decider) problem(now time.Time, current *view, service *fleet.Service) *packing.Problem {
	problem := &packing.Problem{
		Service:  service.Name,
		Engine:   service.Engine,
		Replicas: d.replicas[service.Name],
		Current:  current.placement,
		// No more replicas are loaded remotely than the weight store serves at
		// once.
		MaxRemoteLoads: d.loadScheduler.MaxConcurrent(d.loadLimits(current)),
	}
	if sizer := d.sizers[service.Name]; sizer != nil {
		problem.Loads = sizer.MeanLoads()
	}
	for _, s := range current.servers[service.Name] {
		if !d.isUsable(now, s) {
			continue
		}
		runner := packing.Runner{Host: s.agent, FailureDomain: s.FailureDomain, Software: s.Software, Locality: make(map[string]packing.Locality)}
		for i := range s.state.Status.Models {
			model := &s.state.Status.Models[i]
			runner.Locality[model.Name] = packing.LocalityOf(model)
		}
		problem.Runners = append(problem.Runners, runner)
	}
	slices.SortFunc(problem.Runners, func(a, b packing.Runner) int { return cmp.Compare(a.Host, b.Host) })
	return problem
}
