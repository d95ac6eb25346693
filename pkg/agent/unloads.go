package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// unloadRetryDelay is the delay before a failed unload is retried.
const unloadRetryDelay = time.Second

// markAbsent records that the engine certainly doesn't hold the model.
func (t *modelTable) markAbsent(m *model) {
	m.state = wire.ModelAbsent
	m.uncertain = false
	if m.revoked {
		t.confirmAbsent(m)
		return
	}
	t.execute(t.enforcer.Step(placement.Unloaded{Model: m.id}))
}

// confirmAbsent confirms the revocation of a model that isn't in memory. This
// takes an unload that was sent after the revocation was received and that the
// engine has carried out, as this incarnation may have been replaced while it was
// paused.
func (t *modelTable) confirmAbsent(m *model) {
	if !m.revoked || m.state != wire.ModelAbsent || m.confirming {
		return
	}
	m.confirming = true
	epoch := m.revokedEpoch
	t.executor.unload(m.target(), func(err error) {
		m.confirming = false
		m.orderEnded = t.controller.now()
		if err != nil {
			t.controller.logger.Warn("unload of a revoked model failed", "model", m.id.String(), "error", err)
			return
		}
		t.revocationConfirmed(m, epoch)
	})
}

// revocationConfirmed reports to the permit enforcer that an unload sent for
// an epoch was carried out.
func (t *modelTable) revocationConfirmed(m *model, epoch int64) {
	if epoch != m.revokedEpoch {
		t.confirmAbsent(m)
		return
	}
	m.revoked = false
	t.execute(t.enforcer.Step(placement.Unloaded{Model: m.id, Epoch: epoch}))
}

// startUnload unloads a loaded model that has no running requests.
func (t *modelTable) startUnload(m *model, cause string) {
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
		t.logLedgerError(err)
		m.state = wire.ModelLoaded
		return
	}
	m.unloadEpoch = 0
	if m.revoked {
		m.unloadEpoch = m.revokedEpoch
	}
	t.executor.unload(m.target(), func(err error) { t.unloadEnded(t.controller.now(), m, err) })
}

func (t *modelTable) unloadEnded(now time.Time, m *model, err error) {
	m.orderEnded = now
	if err != nil {
		t.controller.logger.Warn("model unload failed", "model", m.id.String(), "error", err)
		t.logLedgerError(t.ledger.MarkUncertain(m.target()))
		m.uncertain = true
		return
	}
	t.logLedgerError(t.ledger.Resolve(m.target(), false))
	if m.revoked && m.unloadEpoch == m.revokedEpoch {
		m.state = wire.ModelAbsent
		t.revocationConfirmed(m, m.unloadEpoch)
	} else {
		t.markAbsent(m)
	}
	t.controller.schedule(now)
}

// execute carries out the actions that the permit enforcer requests.
func (t *modelTable) execute(actions []placement.EnforcerAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case placement.Unload:
			t.revoke(t.controller.now(), a)
		case placement.RemovePermit:
			t.executor.removePermit(a.Change)
		case placement.ReadPlacement:
			t.executor.readPlacement(a.Model)
		}
	}
	t.updateKept()
}

// revoke stops serving a model and unloads it once no request uses it.
func (t *modelTable) revoke(now time.Time, unload placement.Unload) {
	m := t.model(unload.Model)
	m.revoked = true
	m.revokedEpoch = unload.Epoch
	m.kept = false
	t.controller.refuseWaiting(now, m.queueTarget(), wire.ReasonNoPermit, "")
	t.confirmAbsent(m)
	t.startUnload(m, "revoked")
}

// updateKept copies from the permits which models must stay loaded.
func (t *modelTable) updateKept() {
	for _, kept := range t.enforcer.StandingPermits() {
		m := t.model(kept.Model)
		m.kept = kept.Keep
		if m.state == wire.ModelAbsent && kept.MemoryMiB > 0 {
			m.memoryMiB = kept.MemoryMiB
		}
	}
}

// retryRevoked retries a revocation that isn't confirmed yet.
func (t *modelTable) retryRevoked(now time.Time, m *model) {
	if now.Sub(m.orderEnded) < unloadRetryDelay {
		return
	}
	t.confirmAbsent(m)
	t.startUnload(m, "revoked")
}
