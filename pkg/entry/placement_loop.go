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
	// decideInterval is the interval of placement decisions.
	decideInterval = time.Second
	// startupDelay is how long a new entry waits before its first decision, so that
	// it has received the status of all runners.
	startupDelay = 1500 * time.Millisecond
	// busySlotShare is the share of used slots from which a runner counts as busy.
	busySlotShare = 0.8
)

// placementLoop decides on the placements of the models that this entry owns by
// rendezvous hashing. Two entries that both consider themselves the owner of a
// model only cause conflicts in the compare-and-swap.
type placementLoop struct {
	ownership *ownership
	control   *controlState
	store     keyvalue.Store
	decider   placement.Decider
	metrics   *metrics.Entry
	logger    *slog.Logger
	// wake triggers a decision before the interval has passed.
	wake chan struct{}
}

func newPlacementLoop(self string, c *controlState, store keyvalue.Store, metered *metrics.Entry, logger *slog.Logger) *placementLoop {
	return &placementLoop{
		ownership: newOwnership(self),
		control:   c,
		store:     store,
		metrics:   metered,
		logger:    logger,
		wake:      make(chan struct{}, 1),
	}
}

// trigger requests an immediate decision.
func (d *placementLoop) trigger() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run makes decisions until ctx ends.
func (d *placementLoop) run(ctx context.Context) {
	timer := time.NewTimer(startupDelay)
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

func (d *placementLoop) decide(ctx context.Context) {
	problem := d.buildProblem(time.Now())
	if problem == nil {
		return
	}
	started := time.Now()
	changes := d.decider.Decide(problem)
	d.metrics.Decision(time.Since(started))
	for _, change := range changes {
		d.write(ctx, change)
	}
}

// buildProblem returns the input of a decision, or nil if it isn't complete yet.
func (d *placementLoop) buildProblem(now time.Time) *placement.Problem {
	current := d.control.current()
	_, placementRevision := d.control.syncState.revisions()
	if current.index == nil || placementRevision == 0 {
		return nil
	}
	d.ownership.update(current.members)
	problem := &placement.Problem{
		ListsRevision: current.index.Revision(),
		Models:        current.index.Models(),
		Current:       d.control.syncState.allPlacements(),
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

// runnersOf returns the model runners, including removed ones that are still
// named by permits.
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

// demandOf computes a model's demand from the statuses of its runners.
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
	return float64(status.Running) >= busySlotShare*float64(status.Slots) && status.Slots > 0
}

// write writes one change. A conflict or a lost response is handled by the next
// decision, after the current value has been read.
func (d *placementLoop) write(ctx context.Context, change placement.Change) {
	id := placement.ModelVersionOf(&change.Placement)
	condition, op, err := change.Transaction()
	if err != nil {
		d.logger.Error("placement encoding failed", "model", id.String(), "error", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := d.store.Txn(callCtx, []keyvalue.Compare{condition}, []keyvalue.Op{op})
	if err != nil {
		d.logger.Warn("placement write failed", "model", id.String(), "uncertain", keyvalue.IsUncertain(err), "error", err)
		return
	}
	if !result.Succeeded {
		d.applyCurrent(result)
		return
	}
	written := change.Placement
	written.Revision = result.Revision
	d.applyPlacement(written)
	d.countChanges(change)
	d.logger.Info("placement written", "model", id.String(), "granted", change.Granted,
		"revoked", change.Revoked, "removed", change.Removed, "revision", result.Revision)
}

func (d *placementLoop) countChanges(change placement.Change) {
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

func (d *placementLoop) applyCurrent(result keyvalue.TxnResult) {
	for _, value := range result.Current {
		if value.ModRevision == 0 {
			continue
		}
		if current, err := placement.Decode(value); err == nil {
			d.applyPlacement(current)
		}
	}
}

// applyPlacement applies one placement without asserting that all placements up
// to its revision are known.
func (d *placementLoop) applyPlacement(current wire.Placement) {
	const noRevision = 0
	d.control.loop.Do(func() {
		d.control.placementsRead(time.Now(), noRevision, []wire.Placement{current})
	})
}
