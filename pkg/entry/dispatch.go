package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// dispatcher dispatches requests to agents. It implements callers.Dispatcher.
type dispatcher struct {
	node    *wire.Node
	control *controlState
	budget  *routing.RetryBudget
	metrics *metrics.Entry
}

// Dispatch implements callers.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, request *wire.Request, sink callers.Sink) *wire.Refusal {
	d.addListAttributes(request)
	x := &exchange{node: d.node, control: d.control, request: request, sink: sink}
	defer x.cancelStream()
	routed := newRoutingRequest(ctx, request)
	routed.Query.SpillMargin = d.spillMargin()
	attempt := routing.NewAttempt(routed, d.budget, rand.Uint64())
	action := attempt.Start(time.Now(), d.control.current().table)
	for {
		event, refusal, done := d.perform(ctx, x, action)
		if done {
			return refusal
		}
		x.lastEvent = retryCause(event)
		action = attempt.Step(time.Now(), event, d.control.current().table)
	}
}

func (d *dispatcher) spillMargin() time.Duration {
	index := d.control.current().index
	if index == nil {
		return 0
	}
	return routing.SpillMargin(index.Policy())
}

// addListAttributes adds the attributes from the lists that the agent needs.
func (d *dispatcher) addListAttributes(request *wire.Request) {
	index := d.control.current().index
	if index == nil || request.Model == "" {
		return
	}
	policy := index.Policy()
	request.ColdStartWeight = policy.ColdStartWeight
	request.IdleWeight = policy.IdleWeight
	request.MemoryMiB = modelMemory(index, request)
	request.AdapterMemoryMiB = adapterMemory(index, request)
	id := placement.ModelVersion{Model: request.Model, Version: request.Version}
	request.Placement = d.control.syncState.recentPlacement(time.Now(), id)
}

func modelMemory(index *lists.Index, request *wire.Request) int64 {
	model, ok := index.Model(request.Model, request.Version)
	if !ok {
		return 0
	}
	return model.MemoryMiB
}

func adapterMemory(index *lists.Index, request *wire.Request) int64 {
	adapter, ok := index.Adapter(request.Adapter, request.AdapterVersion)
	if !ok {
		return 0
	}
	return adapter.MemoryMiB
}

func newRoutingRequest(ctx context.Context, request *wire.Request) routing.Request {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Duration(request.BudgetMillis) * time.Millisecond)
	}
	return routing.Request{
		RequestID: request.ID,
		Query: routing.Query{
			Model:       request.Model,
			Version:     request.Version,
			Service:     request.Service,
			AffinityKey: affinityKey(request),
		},
		Idempotent: request.Idempotent,
		Deadline:   deadline,
	}
}

// affinityKey routes retries of a call with an idempotency key to the same agent.
func affinityKey(request *wire.Request) string {
	if request.IdempotencyKey == "" {
		return ""
	}
	return request.Plan + "\x00" + request.IdempotencyKey
}

// countAttempt counts a request sent to an agent and, from the second one on, a
// retry.
func (d *dispatcher) countAttempt(x *exchange, event routing.Event) {
	x.attempts++
	if x.attempts > 1 {
		d.metrics.Retry(x.lastEvent)
	}
	if event != nil {
		d.metrics.Attempt(metrics.ResultError)
		return
	}
	d.metrics.Attempt(metrics.ResultOK)
}

// perform executes one action and returns the resulting event, or the end of the
// request.
func (d *dispatcher) perform(ctx context.Context, x *exchange, action routing.Action) (event routing.Event, refusal *wire.Refusal, done bool) {
	switch a := action.(type) {
	case routing.Send:
		backoff.Sleep(ctx, a.After)
		event = x.send(ctx, a.Target)
		d.countAttempt(x, event)
	case routing.Resume:
		backoff.Sleep(ctx, a.After)
		event = x.resume(ctx, a)
	case routing.Done:
		return nil, nil, true
	case routing.Fail:
		return nil, &a.Refusal, true
	}
	if event == nil {
		event = x.next(ctx)
	}
	return event, nil, false
}

// retryCause returns the metric label for an event that causes a retry.
func retryCause(event routing.Event) string {
	switch e := event.(type) {
	case routing.Refused:
		return string(e.Refusal.Reason)
	case routing.CorruptResponse:
		return "cut"
	default:
		return "lost"
	}
}
