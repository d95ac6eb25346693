package main

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/admission"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// replica is a model on a runner.
type replica struct {
	model     *model
	state     wire.ModelState
	readyAt   time.Time
	running   int
	idleSince time.Time
	// idleVersion is incremented at each change between idle and busy.
	idleVersion int
	cached      bool
}

func (r *replica) target() engine.Target {
	return engine.Target{Model: r.model.Name, Version: r.model.Version}
}

// runner is a model runner with its agent's decisions.
type runner struct {
	trial           *trial
	id              string
	queue           *admission.Queue
	keepAlivePolicy *loading.KeepAlivePolicy
	ledger          *ledger.Ledger
	replicas        []*replica
	waiting         map[string]*attempt
	sequence        uint64
	nextExpiry      time.Time
}

func newRunner(t *trial, i int) *runner {
	r := &runner{
		trial:           t,
		id:              runnerID(i),
		queue:           admission.New(admission.Limits{MaxQueued: maxQueued, Slots: slots}),
		keepAlivePolicy: loading.NewKeepAlivePolicy(),
		ledger:          ledger.New(runnerMemoryMiB),
		waiting:         make(map[string]*attempt),
	}
	for m := range t.models {
		r.replicas = append(r.replicas, &replica{model: &t.models[m]})
	}
	return r
}

// offer accepts a request, or refuses it.
func (r *runner) offer(a *attempt) *wire.Refusal {
	now := r.trial.clock.Now()
	rep := r.replicas[a.request.model]
	if r.trial.variant.permits && !r.trial.isPermitted(rep.model, r.id) {
		return r.refusal(wire.ReasonNoPermit, time.Second)
	}
	r.keepAlivePolicy.Arrived(now, rep.target())
	needsLoad := rep.state == wire.ModelAbsent
	if needsLoad && !r.reserve(rep) {
		return r.refusal(wire.ReasonNoMemory, time.Second)
	}
	item := admissionItem(a.request, rep)
	if refused := r.queue.Offer(now, item, admission.Estimate{ReadyIn: r.readyIn(rep)}); refused != nil {
		if needsLoad {
			r.trial.must(r.ledger.Cancel(rep.target()))
		}
		return r.refusal(refused.Reason, refused.RetryAfter)
	}
	if rep.state != wire.ModelLoaded {
		a.request.cold = true
	}
	r.waiting[a.request.id] = a
	if needsLoad {
		r.load(rep)
	}
	r.startRequests()
	return nil
}

func admissionItem(q *request, rep *replica) admission.Item {
	return admission.Item{
		ID: q.id, Plan: q.plan.name, Weight: q.plan.weight, Priority: q.plan.priority, Deadline: q.deadline,
		Tokens: q.tokens, Target: admission.Target{Model: rep.model.Name, Version: rep.model.Version},
	}
}

func (r *runner) refusal(reason wire.Reason, retryAfter time.Duration) *wire.Refusal {
	return &wire.Refusal{
		Outcome: wire.OutcomeNotRun, Reason: reason, RetryAfterMillis: uint32(retryAfter.Milliseconds()),
	}
}

func (r *runner) readyIn(rep *replica) time.Duration {
	switch rep.state {
	case wire.ModelLoaded:
		return 0
	case wire.ModelLoading:
		return rep.readyAt.Sub(r.trial.clock.Now())
	default:
		return rep.model.loadTime
	}
}

// reserve reserves memory for a load and evicts idle models if necessary.
func (r *runner) reserve(rep *replica) bool {
	now := r.trial.clock.Now()
	need := rep.model.MemoryMiB - r.ledger.Free()
	byTarget := make(map[engine.Target]*replica)
	var candidates []loading.Candidate
	for _, other := range r.replicas {
		if other.state != wire.ModelLoaded {
			continue
		}
		byTarget[other.target()] = other
		candidates = append(candidates, loading.Candidate{
			Target: other.target(), MiB: other.model.MemoryMiB, LoadTime: other.model.loadTime, Running: other.running,
		})
	}
	victims, ok := r.keepAlivePolicy.ChooseVictims(now, candidates, need, r.trial.site.policy)
	if !ok {
		return false
	}
	for _, victim := range victims {
		r.unload(byTarget[victim])
	}
	return r.ledger.Reserve(rep.target(), rep.model.MemoryMiB) == nil
}

func (r *runner) load(rep *replica) {
	r.trial.countLoad(rep.model)
	rep.state = wire.ModelLoading
	rep.readyAt = r.trial.nextLoadStart().Add(rep.model.loadTime)
	r.trial.clock.At(rep.readyAt, func() {
		r.trial.must(r.ledger.ConfirmLoad(rep.target()))
		rep.state = wire.ModelLoaded
		rep.cached = true
		r.beginIdle(rep)
		r.startRequests()
	})
}

func (r *runner) unload(rep *replica) {
	r.endIdle(rep)
	rep.state = wire.ModelAbsent
	r.trial.must(r.ledger.Release(rep.target()))
	r.trial.must(r.ledger.Resolve(rep.target(), false))
}

// startRequests starts the requests that can run and schedules the next expiry.
func (r *runner) startRequests() {
	now := r.trial.clock.Now()
	for {
		item, ok := r.queue.Next(now, r.isReady)
		if !ok {
			break
		}
		r.start(r.waiting[item.ID])
	}
	next := r.queue.NextExpiry()
	if next.IsZero() || next.Equal(r.nextExpiry) {
		return
	}
	r.nextExpiry = next
	r.trial.clock.At(next, r.expire)
}

func (r *runner) isReady(target admission.Target) bool {
	for _, rep := range r.replicas {
		if rep.model.Name == target.Model {
			return rep.state == wire.ModelLoaded
		}
	}
	return false
}

func (r *runner) expire() {
	for _, item := range r.queue.Expire(r.trial.clock.Now()) {
		a := r.waiting[item.ID]
		delete(r.waiting, item.ID)
		a.complete(r, r.refusal(wire.ReasonDeadline, time.Second))
	}
	r.startRequests()
}

func (r *runner) start(a *attempt) {
	rep := r.replicas[a.request.model]
	r.endIdle(rep)
	rep.running++
	if a.request.cold {
		r.trial.result.cold = append(r.trial.result.cold, r.trial.clock.Now().Sub(a.request.arrived)+r.trial.site.delay)
	}
	delete(r.waiting, a.request.id)
	r.trial.clock.After(a.request.duration, func() { r.finish(a, rep) })
}

func (r *runner) finish(a *attempt, rep *replica) {
	now := r.trial.clock.Now()
	r.queue.Finish(now, a.request.id, a.request.tokens, a.request.duration)
	rep.running--
	a.complete(r, nil)
	if rep.running == 0 {
		r.keepAlivePolicy.Finished(now, rep.target())
		r.beginIdle(rep)
	}
	r.startRequests()
}

func (r *runner) beginIdle(rep *replica) {
	now := r.trial.clock.Now()
	rep.idleSince = now
	rep.idleVersion++
	count := rep.idleVersion
	until := now.Add(r.trial.variant.fixedKeepAlive)
	if r.trial.variant.fixedKeepAlive == 0 {
		share := float64(rep.model.MemoryMiB) / runnerMemoryMiB
		until = r.keepAlivePolicy.UnloadAt(now, rep.target(), rep.model.loadTime, share, r.trial.site.policy)
	}
	r.trial.clock.At(until, func() {
		if rep.idleVersion == count && rep.state == wire.ModelLoaded {
			r.unload(rep)
		}
	})
}

func (r *runner) endIdle(rep *replica) {
	if rep.idleSince.IsZero() {
		return
	}
	idle := r.trial.clock.Now().Sub(rep.idleSince)
	r.trial.result.idle += time.Duration(float64(idle) * float64(rep.model.MemoryMiB) / runnerMemoryMiB)
	rep.idleSince = time.Time{}
	rep.idleVersion++
}

// status returns the runner's status message.
func (r *runner) status() wire.Status {
	r.sequence++
	status := wire.Status{
		Runner: r.id, Incarnation: "1", Sequence: r.sequence, Running: r.queue.Running(), Queued: r.queue.Len(),
		QueuedTokens: r.queue.QueuedTokens(), Slots: slots, MemoryMiB: runnerMemoryMiB, FreeMemoryMiB: r.ledger.Free(),
	}
	wait := time.Duration(float64(r.queue.QueuedTokens()) / slots / tokensPerSecond * float64(time.Second))
	for _, rep := range r.replicas {
		modelStatus := wire.ModelStatus{Model: rep.model.Name, Version: rep.model.Version, State: rep.state}
		modelStatus.WaitMillis = uint32((wait + r.readyIn(rep)).Milliseconds())
		if rep.cached {
			modelStatus.Cache = wire.CacheDisk
		}
		status.Models = append(status.Models, modelStatus)
	}
	return status
}
