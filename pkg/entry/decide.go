package entry

import (
	"context"
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// decideInterval is the time between two decisions on placements.
	decideInterval = time.Second
	// settleTime is how long a new entry learns before it decides, so that it
	// doesn't decide on runners that it hasn't heard of.
	settleTime = 1500 * time.Millisecond
	// busyQueueShare is the part of its slots from which a runner counts as busy.
	busyQueueShare = 0.8
)

// deciderLoop decides on the placements of the models that this entry owns by
// rendezvous hashing. Two entries that both believe to own a model conflict in
// the compare-and-swap, and nothing else.
type deciderLoop struct {
	ownership *ownership
	control   *control
	store     keyvalue.Store
	decider   placement.Decider
	metrics   *metrics.Entry
	logger    *slog.Logger
	// wake asks for a decision before the interval is over.
	wake chan struct{}
}

func newDeciderLoop(self string, c *control, store keyvalue.Store, metered *metrics.Entry, logger *slog.Logger) *deciderLoop {
	return &deciderLoop{
		ownership: newOwnership(self),
		control:   c,
		store:     store,
		metrics:   metered,
		logger:    logger,
		wake:      make(chan struct{}, 1),
	}
}

// hurry asks for a decision soon.
func (d *deciderLoop) hurry() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run decides until ctx ends.
func (d *deciderLoop) run(ctx context.Context) {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-d.wake:
		}
		d.decide(ctx)
		timer.Reset(decideInterval)
	}
}

func (d *deciderLoop) decide(ctx context.Context) {
	problem := d.problem(time.Now())
	if problem == nil {
		return
	}
	started := time.Now()
	changes := d.decider.Decide(problem)
	d.metrics.Decision(time.Since(started))
	for _, change := range changes {
		d.apply(ctx, change)
	}
}

// problem describes the present state, or is nil if it isn't known yet.
func (d *deciderLoop) problem(now time.Time) *placement.Problem {
	current := d.control.current()
	_, placementRevision := d.control.feed.revisions()
	if current.index == nil || placementRevision == 0 {
		return nil
	}
	d.ownership.update(current.members)
	problem := &placement.Problem{
		ListsRevision: current.index.Revision(),
		Models:        current.index.Models(),
		Current:       d.control.feed.allPlacements(),
		Demand:        make(map[placement.ModelVersion]placement.Demand),
		Owns:          d.ownership.owns,
	}
	problem.Runners = runnersOf(now, current.members, problem.Current)
	for i := range problem.Current {
		id := placement.ModelVersionOf(&problem.Current[i])
		problem.Demand[id] = demandOf(current.members, &problem.Current[i], id)
	}
	return problem
}

// runnersOf returns the model runners, with those that are gone and still named
// by permits.
func runnersOf(now time.Time, members *membership.Snapshot, placements []wire.Placement) []placement.Runner {
	var runners []placement.Runner
	for _, agent := range members.Agents() {
		if len(agent.Services()) > 0 || !agent.HasStatus {
			continue
		}
		runners = append(runners, placement.Runner{
			ID:            agent.ID,
			FailureDomain: agent.FailureDomain,
			Region:        agent.Region,
			MemoryMiB:     agent.Status.MemoryMiB,
			FreeMemoryMiB: agent.Status.FreeMemoryMiB,
			Models:        agent.Status.Models,
			Leaving:       agent.Leaving(),
			Unreachable:   agent.Unreachable(now),
		})
	}
	named := make(map[string]bool)
	for _, known := range placements {
		for _, permit := range known.Permits {
			if !named[permit.Runner] && members.Gone(permit.Runner) {
				named[permit.Runner] = true
				runners = append(runners, placement.Runner{ID: permit.Runner, Gone: true})
			}
		}
	}
	return runners
}

// demandOf returns a model's load by the statuses of its runners.
func demandOf(members *membership.Snapshot, known *wire.Placement, id placement.ModelVersion) placement.Demand {
	var demand placement.Demand
	first := true
	for _, permit := range known.Permits {
		agent, ok := members.Agent(permit.Runner)
		if !ok || permit.Revoked {
			continue
		}
		status, ok := agent.Model(id.Model, id.Version)
		if !ok || status.State != wire.ModelLoaded {
			continue
		}
		if isBusy(&agent.Status) || status.Queued > 0 {
			demand.BusyPermits++
		}
		if first || status.WaitMillis < demand.WaitMillis {
			demand.WaitMillis = status.WaitMillis
		}
		first = false
	}
	return demand
}

func isBusy(status *wire.Status) bool {
	return float64(status.Running) >= busyQueueShare*float64(status.Slots) && status.Slots > 0
}

// apply writes one change. A lost race or answer is left to the next decision,
// after the newest value has been read.
func (d *deciderLoop) apply(ctx context.Context, change placement.Change) {
	id := placement.ModelVersionOf(&change.Placement)
	condition, op, err := change.Transaction()
	if err != nil {
		d.logger.Error("placement can't be written", "model", id.String(), "error", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := d.store.Txn(callCtx, []keyvalue.Compare{condition}, []keyvalue.Op{op})
	if err != nil {
		d.logger.Warn("placement not written", "model", id.String(), "uncertain", keyvalue.IsUncertain(err), "error", err)
		return
	}
	if !result.Succeeded {
		d.takeCurrent(result)
		return
	}
	written := change.Placement
	written.Revision = result.Revision
	d.take(written)
	d.count(change)
	d.logger.Info("placement written", "model", id.String(), "granted", change.Granted,
		"revoked", change.Revoked, "removed", change.Removed, "revision", result.Revision)
}

func (d *deciderLoop) count(change placement.Change) {
	for range change.Granted {
		d.metrics.PermitChange("grant")
	}
	for range change.Revoked {
		d.metrics.PermitChange("revoke")
	}
	for range change.Removed {
		d.metrics.PermitChange("remove")
	}
}

func (d *deciderLoop) takeCurrent(result keyvalue.TxnResult) {
	for _, value := range result.Current {
		if value.ModRevision == 0 {
			continue
		}
		if current, err := placement.Decode(value); err == nil {
			d.take(current)
		}
	}
}

// take takes in one placement without claiming that all up to its revision are
// known.
func (d *deciderLoop) take(current wire.Placement) {
	const nothingElse = 0
	d.control.loop.Do(func() {
		d.control.placementsRead(time.Now(), nothingElse, []wire.Placement{current})
	})
}
