package agent

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/ledger"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// loadFailureBackoff is how long a model isn't loaded again after a failure.
	loadFailureBackoff = 2 * time.Second
	// keptLoadDeadline is the urgency of a load that no request waits for.
	keptLoadDeadline = time.Minute
)

// loadOrder is a decided load of a model.
type loadOrder struct {
	id        placement.ModelVersion
	target    engine.Target
	memoryMiB int64
	remote    bool
	waiting   int
	deadline  time.Time
}

// loadWanted starts the loads of models that requests wait for or that the
// permits keep, the longest queue first.
func (t *modelTable) loadWanted(now time.Time) {
	var wanted []*model
	for _, m := range t.models {
		if m.state == wire.ModelAbsent && !m.revoked && !m.uncertain && m.isWanted(now) {
			wanted = append(wanted, m)
		}
	}
	slices.SortFunc(wanted, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, m := range wanted {
		t.startLoad(now, m)
	}
	t.pacer.pump(now)
}

func (t *modelTable) startLoad(now time.Time, m *model) {
	if now.Before(m.failedUntil) || m.memoryMiB <= 0 {
		return
	}
	if _, ok := t.holder.MayLoad(m.id.Model, m.id.Version); !ok {
		t.controller.failWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
		return
	}
	err := t.ledger.Reserve(m.target(), m.memoryMiB)
	if errors.Is(err, ledger.ErrNoMemory) {
		t.makeRoom(now, m)
		return
	}
	if err != nil {
		t.controller.logger.Error("memory reservation failed", "model", m.id.String(), "error", err)
		t.controller.failWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
		return
	}
	m.state = wire.ModelLoading
	m.loadStarted = now
	order := loadOrder{
		id:        m.id,
		target:    m.target(),
		memoryMiB: m.memoryMiB,
		remote:    m.cache == engine.CacheRemote || m.cache == "",
		waiting:   m.waiting,
		deadline:  now.Add(keptLoadDeadline),
	}
	if m.waiting > 0 {
		order.deadline = m.deadline
	}
	m.paced = order.remote
	if m.paced {
		t.pacer.want(now, order)
		return
	}
	t.orders.loadModel(order)
}

// pacedEnded tells the pacer of the end of a load from the weight store.
func (t *modelTable) pacedEnded(now time.Time, m *model, took time.Duration) {
	if m.paced {
		m.paced = false
		t.pacer.ended(now, m.target(), took, t.estimates.expected(m.cache))
	}
}

// loadDropped gives up a load that waited for its turn.
func (t *modelTable) loadDropped(_ time.Time, m *model) {
	t.note(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.settleRevoked(m)
}

// mayOrderLoad is asked on the loop right before the load is ordered.
func (t *modelTable) mayOrderLoad(id placement.ModelVersion) bool {
	m := t.model(id)
	if m.revoked {
		return false
	}
	_, ok := t.holder.BeginLoad(id.Model, id.Version)
	return ok
}

// loadNotOrdered gives up a load before its order.
func (t *modelTable) loadNotOrdered(now time.Time, id placement.ModelVersion, reason wire.Reason) {
	m := t.model(id)
	t.note(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.pacedEnded(now, m, 0)
	t.controller.failWaiting(now, m.queueTarget(), reason, "")
	t.settleRevoked(m)
	t.controller.advance(now)
}

// loadEnded takes in the result of a load.
func (t *modelTable) loadEnded(now time.Time, id placement.ModelVersion, err error) {
	m := t.model(id)
	m.orderEnded = now
	took := now.Sub(m.loadStarted)
	t.pacedEnded(now, m, took)
	t.controller.metrics.Load("model", loadResult(err), took)
	if err != nil {
		t.loadFailed(now, m, err)
		return
	}
	t.note(t.ledger.ConfirmLoad(m.target()))
	t.estimates.observe(m.cache, took)
	m.state = wire.ModelLoaded
	m.cache = engine.CacheMemory
	m.lastUsed = now
	m.wantedUntil = time.Time{}
	t.controller.logger.Info("model loaded", "model", id.String(), "took_ms", took.Milliseconds(), "waiting", m.waiting)
	if m.revoked {
		t.beginUnload(m, "revoked")
	}
	t.controller.advance(now)
}

func (t *modelTable) loadFailed(now time.Time, m *model, err error) {
	t.controller.logger.Warn("load failed", "model", m.id.String(), "error", err)
	m.failedUntil = now.Add(loadFailureBackoff)
	if isNotRun(err) {
		t.note(t.ledger.Cancel(m.target()))
		t.becameAbsent(m)
	} else {
		t.note(t.ledger.MarkUncertain(m.target()))
		m.uncertain = true
	}
	t.controller.failWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
	t.controller.advance(now)
}

func loadResult(err error) metrics.Result {
	switch {
	case err == nil:
		return metrics.ResultOK
	case isNotRun(err):
		return metrics.ResultError
	default:
		return metrics.ResultUncertain
	}
}

func isNotRun(err error) bool {
	var engineErr *engine.Error
	return errors.As(err, &engineErr) && engineErr.NotRun
}
