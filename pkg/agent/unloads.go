package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// unloadRetry is the pause before an unload that failed is ordered again.
const unloadRetry = time.Second

// becameAbsent records that the engine surely doesn't hold the model.
func (t *modelTable) becameAbsent(m *model) {
	m.state = wire.ModelAbsent
	m.uncertain = false
	if m.revoked {
		t.settleRevoked(m)
		return
	}
	t.perform(t.holder.Step(placement.Unloaded{Model: m.id}))
}

// settleRevoked confirms the revocation of a model that isn't in memory. The
// engine must carry out an unload that was ordered after the revocation was
// seen, as this incarnation may have been replaced while it was paused.
func (t *modelTable) settleRevoked(m *model) {
	if !m.revoked || m.state != wire.ModelAbsent || m.confirming {
		return
	}
	m.confirming = true
	epoch := m.revokedEpoch
	t.orders.unload(m.target(), func(err error) {
		m.confirming = false
		m.orderEnded = t.controller.now()
		if err != nil {
			t.controller.logger.Warn("unload not confirmed", "model", m.id.String(), "error", err)
			return
		}
		t.confirmRevoked(m, epoch)
	})
}

// confirmRevoked tells the holder that an unload ordered for an epoch was
// carried out.
func (t *modelTable) confirmRevoked(m *model, epoch int64) {
	if epoch != m.revokedEpoch {
		t.settleRevoked(m)
		return
	}
	m.revoked = false
	t.perform(t.holder.Step(placement.Unloaded{Model: m.id, Epoch: epoch}))
}

// beginUnload orders a loaded model without running requests out of memory.
func (t *modelTable) beginUnload(m *model, cause string) {
	if m.state != wire.ModelLoaded || m.running > 0 || m.uncertain {
		return
	}
	m.state = wire.ModelUnloading
	t.controller.metrics.Unload(cause)
	t.controller.logger.Info("unloading model", "model", m.id.String(), "cause", cause)
	t.unloadAdaptersOf(m, func() { t.unloadModel(m) })
}

func (t *modelTable) unloadModel(m *model) {
	if err := t.ledger.Release(m.target()); err != nil {
		t.note(err)
		m.state = wire.ModelLoaded
		return
	}
	m.unloadFor = 0
	if m.revoked {
		m.unloadFor = m.revokedEpoch
	}
	t.orders.unload(m.target(), func(err error) { t.unloadEnded(t.controller.now(), m, err) })
}

func (t *modelTable) unloadEnded(now time.Time, m *model, err error) {
	m.orderEnded = now
	if err != nil {
		t.controller.logger.Warn("unload failed", "model", m.id.String(), "error", err)
		t.note(t.ledger.MarkUncertain(m.target()))
		m.uncertain = true
		return
	}
	t.note(t.ledger.Resolve(m.target(), false))
	if m.revoked && m.unloadFor == m.revokedEpoch {
		m.state = wire.ModelAbsent
		t.confirmRevoked(m, m.unloadFor)
	} else {
		t.becameAbsent(m)
	}
	t.controller.advance(now)
}

// perform carries out what the permits call for.
func (t *modelTable) perform(actions []placement.EnforcerAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case placement.Unload:
			t.revoke(t.controller.now(), a)
		case placement.RemovePermit:
			t.orders.removePermit(a.Change)
		case placement.ReadPlacement:
			t.orders.readPlacement(a.Model)
		}
	}
	t.takeKeeps()
}

// revoke takes a model out of service and, once it is unused, out of memory.
func (t *modelTable) revoke(now time.Time, order placement.Unload) {
	m := t.model(order.Model)
	m.revoked = true
	m.revokedEpoch = order.Epoch
	m.keep = false
	t.controller.failWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
	t.settleRevoked(m)
	t.beginUnload(m, "revoked")
}

// takeKeeps copies from the permits which models stay loaded.
func (t *modelTable) takeKeeps() {
	for _, kept := range t.holder.StandingPermits() {
		m := t.model(kept.Model)
		m.keep = kept.Keep
		if m.state == wire.ModelAbsent && kept.MemoryMiB > 0 {
			m.memoryMiB = kept.MemoryMiB
		}
	}
}

// retryRevoked goes on with a revocation that isn't confirmed yet.
func (t *modelTable) retryRevoked(now time.Time, m *model) {
	if now.Sub(m.orderEnded) < unloadRetry {
		return
	}
	t.settleRevoked(m)
	t.beginUnload(m, "revoked")
}
