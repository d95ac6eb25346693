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
	// loadFailureBackoff is how long a model isn't loaded again after a failed load.
	loadFailureBackoff = 2 * time.Second
	// keptLoadDeadline is the assumed deadline of a load that no request waits for.
	keptLoadDeadline = time.Minute
)

// loadOrder describes a load that the model table has decided on.
type loadOrder struct {
	id        placement.ModelVersion
	target    engine.Target
	memoryMiB int64
	remote    bool
	waiting   int
	deadline  time.Time
}

// startWantedLoads starts the loads of models that requests wait for or that
// their permits keep, the longest queue first.
func (t *modelTable) startWantedLoads(now time.Time) {
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
	t.pacer.startDueLoads(now)
}

func (t *modelTable) startLoad(now time.Time, m *model) {
	if now.Before(m.failedUntil) || m.memoryMiB <= 0 {
		return
	}
	if _, ok := t.enforcer.MayLoad(m.id.Model, m.id.Version); !ok {
		t.controller.refuseWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
		return
	}
	err := t.ledger.Reserve(m.target(), m.memoryMiB)
	if errors.Is(err, ledger.ErrNoMemory) {
		t.freeMemoryFor(now, m)
		return
	}
	if err != nil {
		t.controller.logger.Error("memory reservation failed", "model", m.id.String(), "error", err)
		t.controller.refuseWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
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
		t.pacer.enqueue(now, order)
		return
	}
	t.executor.loadModel(order)
}

// pacedLoadEnded reports the end of a load from the weight store to the pacer.
func (t *modelTable) pacedLoadEnded(now time.Time, m *model, took time.Duration) {
	if m.paced {
		m.paced = false
		t.pacer.loadEnded(now, m.target(), took, t.estimates.expected(m.cache))
	}
}

// cancelPendingLoad cancels a load that waited for its grant.
func (t *modelTable) cancelPendingLoad(_ time.Time, m *model) {
	t.logLedgerError(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.confirmAbsent(m)
}

// beginLoadIfPermitted is called on the loop right before the load is sent. It
// reports whether the permit is still valid.
func (t *modelTable) beginLoadIfPermitted(id placement.ModelVersion) bool {
	m := t.model(id)
	if m.revoked {
		return false
	}
	_, ok := t.enforcer.BeginLoad(id.Model, id.Version)
	return ok
}

// cancelLoad cancels a load that was not sent to the engine.
func (t *modelTable) cancelLoad(now time.Time, id placement.ModelVersion, reason wire.Reason) {
	m := t.model(id)
	t.logLedgerError(t.ledger.Cancel(m.target()))
	m.state = wire.ModelAbsent
	t.pacedLoadEnded(now, m, 0)
	t.controller.refuseWaiting(now, m.queueTarget(), reason, "")
	t.confirmAbsent(m)
	t.controller.schedule(now)
}

// loadEnded handles the result of a load.
func (t *modelTable) loadEnded(now time.Time, id placement.ModelVersion, err error) {
	m := t.model(id)
	m.orderEnded = now
	took := now.Sub(m.loadStarted)
	t.pacedLoadEnded(now, m, took)
	t.controller.metrics.Load("model", loadResult(err), took)
	if err != nil {
		t.loadFailed(now, m, err)
		return
	}
	t.logLedgerError(t.ledger.ConfirmLoad(m.target()))
	t.estimates.observe(m.cache, took)
	m.state = wire.ModelLoaded
	m.cache = engine.CacheMemory
	m.lastUsed = now
	m.wantedUntil = time.Time{}
	t.controller.logger.Info("model loaded", "model", id.String(), "took_ms", took.Milliseconds(), "waiting", m.waiting)
	if m.revoked {
		t.startUnload(m, "revoked")
	}
	t.controller.schedule(now)
}

func (t *modelTable) loadFailed(now time.Time, m *model, err error) {
	t.controller.logger.Warn("model load failed", "model", m.id.String(), "error", err)
	m.failedUntil = now.Add(loadFailureBackoff)
	if isNotRun(err) {
		t.logLedgerError(t.ledger.Cancel(m.target()))
		t.markAbsent(m)
	} else {
		t.logLedgerError(t.ledger.MarkUncertain(m.target()))
		m.uncertain = true
	}
	t.controller.refuseWaiting(now, m.queueTarget(), wire.ReasonLoadFailed, err.Error())
	t.controller.schedule(now)
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
