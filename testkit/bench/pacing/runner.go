package main

import (
	"fmt"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// phase is the state of a replica on a runner.
type phase uint8

const (
	phaseAbsent phase = iota
	// phaseBlocked: the replica waits for memory.
	phaseBlocked
	// phaseQueued: the replica has memory and waits for the pacer to start its load.
	phaseQueued
	phaseLoading
	phaseLoaded
)

// replica is a model on a runner.
type replica struct {
	model   model
	phase   phase
	waiting []arrival
	running int
	// idleSince is the time at which the last request of a loaded replica ended.
	idleSince time.Time
	// idleVersion is incremented at each change between idle and busy.
	idleVersion int
}

func (r *replica) target() engine.Target {
	return engine.Target{Model: fmt.Sprint(r.model.index), Version: "1"}
}

// runner is a model runner with its agent's decisions.
type runner struct {
	trial           *trial
	name            string
	pacer           loading.Pacer
	keepAlivePolicy *loading.KeepAlivePolicy
	ledger          *ledger.Ledger
	replicas        map[int]*replica
	// replicaList holds the replicas in the order of their first request.
	replicaList []*replica
	wakeAt      time.Time
}

func newRunner(t *trial, index int) *runner {
	return &runner{
		trial:           t,
		name:            fmt.Sprint("runner-", index),
		pacer:           t.variant.pacer(t.site),
		keepAlivePolicy: loading.NewKeepAlivePolicy(),
		ledger:          ledger.New(runnerMemoryMiB),
		replicas:        map[int]*replica{},
	}
}

func (r *runner) replica(m model) *replica {
	rep := r.replicas[m.index]
	if rep == nil {
		rep = &replica{model: m}
		r.replicas[m.index] = rep
		r.replicaList = append(r.replicaList, rep)
	}
	return rep
}

func (r *runner) request(a arrival) {
	rep := r.replica(r.trial.models[a.model])
	r.keepAlivePolicy.Arrived(r.trial.clock.Now(), rep.target())
	r.trial.result.requests++
	if rep.phase == phaseLoaded {
		r.start(rep, a)
		return
	}
	rep.waiting = append(rep.waiting, a)
	r.requestLoad(rep)
	r.startLoads()
}

// requestLoad reserves memory and requests a load from the pacer.
func (r *runner) requestLoad(rep *replica) {
	if rep.phase == phaseAbsent || rep.phase == phaseBlocked {
		rep.phase = phaseBlocked
		if !r.reserve(rep) {
			return
		}
		rep.phase = phaseQueued
	}
	if rep.phase == phaseQueued {
		r.pacer.Add(r.trial.clock.Now(), loading.PendingLoad{
			Target:   rep.target(),
			Waiting:  len(rep.waiting),
			Deadline: r.trial.earliestDeadline(rep.waiting),
		})
	}
}

func (r *runner) reserve(rep *replica) bool {
	need := rep.model.memoryMiB - r.ledger.Free()
	var candidates []loading.Candidate
	byTarget := map[engine.Target]*replica{}
	for _, other := range r.replicaList {
		if other.phase != phaseLoaded {
			continue
		}
		byTarget[other.target()] = other
		candidates = append(candidates, loading.Candidate{
			Target:   other.target(),
			MiB:      other.model.memoryMiB,
			LoadTime: other.model.loadTime,
			Running:  other.running,
		})
	}
	victims, ok := r.keepAlivePolicy.ChooseVictims(r.trial.clock.Now(), candidates, need, r.trial.policy)
	if !ok {
		return false
	}
	for _, target := range victims {
		r.unload(byTarget[target])
	}
	return r.ledger.Reserve(rep.target(), rep.model.memoryMiB) == nil
}

func (r *runner) unload(rep *replica) {
	r.endIdle(rep)
	rep.phase = phaseAbsent
	r.trial.must(r.ledger.Release(rep.target()))
	r.trial.must(r.ledger.Resolve(rep.target(), false))
}

// retryBlocked retries the loads that wait for memory.
func (r *runner) retryBlocked() {
	for _, rep := range r.replicaList {
		if rep.phase == phaseBlocked {
			r.requestLoad(rep)
		}
	}
	r.startLoads()
}

// startLoads starts the loads that the pacer allows now and schedules the next call.
func (r *runner) startLoads() {
	if coordinatedPacer, ok := r.pacer.(*loading.CoordinatedPacer); ok {
		r.requestGrants(coordinatedPacer)
	}
	now := r.trial.clock.Now()
	for {
		target, ok := r.pacer.Next(now)
		if !ok {
			break
		}
		r.load(r.find(target))
	}
	wake := r.pacer.Wake()
	if wake.IsZero() || r.wakeAt.After(now) && !wake.Before(r.wakeAt) {
		return
	}
	if !wake.After(now) {
		wake = now.Add(time.Millisecond)
	}
	r.wakeAt = wake
	r.trial.clock.At(wake, r.startLoads)
}

func (r *runner) find(target engine.Target) *replica {
	for _, rep := range r.replicaList {
		if rep.target() == target {
			return rep
		}
	}
	panic("unknown target " + target.Model)
}

func (r *runner) requestGrants(pacer *loading.CoordinatedPacer) {
	for {
		pending, ok := pacer.NextRequest(r.trial.clock.Now())
		if !ok {
			return
		}
		remaining := maxDeadline
		if !pending.Deadline.IsZero() {
			remaining = pending.Deadline.Sub(r.trial.clock.Now())
		}
		request := wire.LoadRequest{
			Runner:         r.name,
			Model:          pending.Target.Model,
			Version:        pending.Target.Version,
			Waiting:        pending.Waiting,
			DeadlineMillis: uint32(max(remaining, 0).Milliseconds()),
		}
		r.trial.sendLoadRequest(request, func(grant wire.LoadGrant, ok bool) {
			r.handleGrant(pacer, pending.Target, grant, ok)
		})
	}
}

func (r *runner) handleGrant(pacer *loading.CoordinatedPacer, target engine.Target, grant wire.LoadGrant, ok bool) {
	switch {
	case !ok:
		pacer.RequestFailed(r.trial.clock.Now(), target)
	case !pacer.GrantReceived(r.trial.clock.Now(), target, grant):
		r.reportDone(target, 0)
	}
	r.startLoads()
}

// reportDone reports to the coordinator that a load ended.
func (r *runner) reportDone(target engine.Target, took time.Duration) {
	report := wire.LoadRequest{
		Runner:     r.name,
		Model:      target.Model,
		Version:    target.Version,
		Done:       true,
		TookMillis: uint32(took.Milliseconds()),
	}
	r.trial.sendLoadRequest(report, func(wire.LoadGrant, bool) {})
}

func (r *runner) load(rep *replica) {
	rep.phase = phaseLoading
	r.trial.result.loads++
	began := r.trial.clock.Now()
	r.trial.store.load(rep.model.loadTime, func() { r.loaded(rep, began) })
}

func (r *runner) loaded(rep *replica, began time.Time) {
	now := r.trial.clock.Now()
	took := now.Sub(began)
	r.trial.must(r.ledger.ConfirmLoad(rep.target()))
	rep.phase = phaseLoaded
	r.pacer.Done(now, rep.target(), took, rep.model.loadTime)
	if _, ok := r.pacer.(*loading.CoordinatedPacer); ok {
		r.reportDone(rep.target(), took)
	}
	waiting := rep.waiting
	rep.waiting = nil
	for _, a := range waiting {
		r.trial.coldStart(a)
		r.start(rep, a)
	}
	r.startLoads()
}

func (r *runner) start(rep *replica, a arrival) {
	if rep.running == 0 {
		r.endIdle(rep)
	}
	rep.running++
	r.trial.clock.After(a.duration, func() { r.finish(rep) })
}

func (r *runner) finish(rep *replica) {
	rep.running--
	if rep.running > 0 {
		return
	}
	now := r.trial.clock.Now()
	rep.idleSince = now
	rep.idleVersion++
	version := rep.idleVersion
	r.keepAlivePolicy.Finished(now, rep.target())
	until := r.trial.variant.keepAlive(r, rep)
	r.trial.clock.At(until, func() {
		if rep.idleVersion == version && rep.phase == phaseLoaded && rep.running == 0 {
			r.unload(rep)
			r.retryBlocked()
		}
	})
	r.retryBlocked()
}

func memoryShare(m model) float64 {
	return float64(m.memoryMiB) / runnerMemoryMiB
}

// endIdle adds the idle time of a replica to the result.
func (r *runner) endIdle(rep *replica) {
	if rep.phase != phaseLoaded || rep.running > 0 || rep.idleSince.IsZero() {
		return
	}
	idle := r.trial.clock.Now().Sub(rep.idleSince).Seconds()
	r.trial.result.idle += idle * memoryShare(rep.model)
	rep.idleSince = time.Time{}
	rep.idleVersion++
}
