package main

import (
	"fmt"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// phase is the state of a replica at a runner.
type phase uint8

const (
	phaseAbsent phase = iota
	// phaseBlocked waits for memory.
	phaseBlocked
	// phaseWanted waits for a start at the weight store.
	phaseWanted
	phaseLoading
	phaseLoaded
)

// replica is a model at a runner.
type replica struct {
	model   model
	phase   phase
	waiting []arrival
	running int
	// idleSince is the end of the last request of a loaded replica.
	idleSince time.Time
	// idleVersion grows with each change between idle and busy.
	idleVersion int
}

func (r *replica) target() engine.Target {
	return engine.Target{Model: fmt.Sprint(r.model.index), Version: "1"}
}

// runner is a model runner with its agent's decisions.
type runner struct {
	trial    *trial
	name     string
	pacer    loading.Pacer
	keeper   *loading.KeepAlivePolicy
	ledger   *ledger.Ledger
	replicas map[int]*replica
	// order lists the replicas in the order of their first request.
	order  []*replica
	wakeAt time.Time
}

func newRunner(t *trial, index int) *runner {
	return &runner{
		trial:    t,
		name:     fmt.Sprint("runner-", index),
		pacer:    t.variant.pacer(t.site),
		keeper:   loading.NewKeepAlivePolicy(),
		ledger:   ledger.New(runnerMemory),
		replicas: map[int]*replica{},
	}
}

func (r *runner) replica(m model) *replica {
	rep := r.replicas[m.index]
	if rep == nil {
		rep = &replica{model: m}
		r.replicas[m.index] = rep
		r.order = append(r.order, rep)
	}
	return rep
}

func (r *runner) request(a arrival) {
	rep := r.replica(r.trial.models[a.model])
	r.keeper.Arrived(r.trial.clock.Now(), rep.target())
	r.trial.result.requests++
	if rep.phase == phaseLoaded {
		r.start(rep, a)
		return
	}
	rep.waiting = append(rep.waiting, a)
	r.want(rep)
	r.pump()
}

// want reserves memory and asks the pacer for a start.
func (r *runner) want(rep *replica) {
	if rep.phase == phaseAbsent || rep.phase == phaseBlocked {
		rep.phase = phaseBlocked
		if !r.reserve(rep) {
			return
		}
		rep.phase = phaseWanted
	}
	if rep.phase == phaseWanted {
		r.pacer.Add(r.trial.clock.Now(), loading.PendingLoad{
			Target:   rep.target(),
			Waiting:  len(rep.waiting),
			Deadline: r.trial.earliestDeadline(rep.waiting),
		})
	}
}

func (r *runner) reserve(rep *replica) bool {
	need := rep.model.memory - r.ledger.Free()
	var candidates []loading.Candidate
	byTarget := map[engine.Target]*replica{}
	for _, other := range r.order {
		if other.phase != phaseLoaded {
			continue
		}
		byTarget[other.target()] = other
		candidates = append(candidates, loading.Candidate{
			Target:   other.target(),
			MiB:      other.model.memory,
			LoadTime: other.model.loadTime,
			Running:  other.running,
		})
	}
	victims, ok := r.keeper.ChooseVictims(r.trial.clock.Now(), candidates, need, r.trial.policy)
	if !ok {
		return false
	}
	for _, target := range victims {
		r.unload(byTarget[target])
	}
	return r.ledger.Reserve(rep.target(), rep.model.memory) == nil
}

func (r *runner) unload(rep *replica) {
	r.endIdle(rep)
	rep.phase = phaseAbsent
	r.trial.must(r.ledger.Release(rep.target()))
	r.trial.must(r.ledger.Resolve(rep.target(), false))
}

// retryBlocked lets the loads that wait for memory try again.
func (r *runner) retryBlocked() {
	for _, rep := range r.order {
		if rep.phase == phaseBlocked {
			r.want(rep)
		}
	}
	r.pump()
}

// pump performs what the pacer allows now and plans its next wake-up.
func (r *runner) pump() {
	if g, ok := r.pacer.(*loading.CoordinatedPacer); ok {
		r.askCoordinator(g)
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
	r.trial.clock.At(wake, r.pump)
}

func (r *runner) find(target engine.Target) *replica {
	for _, rep := range r.order {
		if rep.target() == target {
			return rep
		}
	}
	panic("unknown target " + target.Model)
}

func (r *runner) askCoordinator(g *loading.CoordinatedPacer) {
	for {
		want, ok := g.NextRequest(r.trial.clock.Now())
		if !ok {
			return
		}
		left := maxDeadline
		if !want.Deadline.IsZero() {
			left = want.Deadline.Sub(r.trial.clock.Now())
		}
		ask := wire.LoadRequest{
			Runner:         r.name,
			Model:          want.Target.Model,
			Version:        want.Target.Version,
			Waiting:        want.Waiting,
			DeadlineMillis: uint32(max(left, 0).Milliseconds()),
		}
		r.trial.ask(ask, func(slot wire.LoadGrant, answered bool) {
			r.answered(g, want.Target, slot, answered)
		})
	}
}

func (r *runner) answered(g *loading.CoordinatedPacer, target engine.Target, slot wire.LoadGrant, ok bool) {
	switch {
	case !ok:
		g.RequestFailed(r.trial.clock.Now(), target)
	case !g.GrantReceived(r.trial.clock.Now(), target, slot):
		r.report(target, 0)
	}
	r.pump()
}

// report tells the coordinator that a load ended.
func (r *runner) report(target engine.Target, took time.Duration) {
	done := wire.LoadRequest{
		Runner:     r.name,
		Model:      target.Model,
		Version:    target.Version,
		Done:       true,
		TookMillis: uint32(took.Milliseconds()),
	}
	r.trial.ask(done, func(wire.LoadGrant, bool) {})
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
		r.report(rep.target(), took)
	}
	waiting := rep.waiting
	rep.waiting = nil
	for _, a := range waiting {
		r.trial.coldStart(a)
		r.start(rep, a)
	}
	r.pump()
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
	r.keeper.Finished(now, rep.target())
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
	return float64(m.memory) / runnerMemory
}

// endIdle accounts for the idle time of a replica.
func (r *runner) endIdle(rep *replica) {
	if rep.phase != phaseLoaded || rep.running > 0 || rep.idleSince.IsZero() {
		return
	}
	idle := r.trial.clock.Now().Sub(rep.idleSince).Seconds()
	r.trial.result.idle += idle * memoryShare(rep.model)
	rep.idleSince = time.Time{}
	rep.idleVersion++
}
