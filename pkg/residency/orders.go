package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// conflictDelay is the delay between a refused order and the next one.
const conflictDelay = 50 * time.Millisecond

// advance grants and refuses leases and sends the order that the current state
// calls for.
func (m *Manager) advance(now time.Time) []Action {
	m.expire(now)
	m.grantReady(now)
	if m.report == nil || m.placement == nil || !m.canOrder(now) {
		m.loadGrantWanted = ""
		return m.flush()
	}
	if m.pendingOrder == nil {
		if !m.orderAdapter(now) {
			m.orderModel(now)
		}
	}
	return m.flush()
}

// canOrder reports whether the runner's state is known well enough to send an
// order.
func (m *Manager) canOrder(now time.Time) bool {
	return !m.isDown(now) && !m.notRunning && !m.isLeaving() && !now.Before(m.pausedUntil) && m.fence > 0 && m.instance != "" &&
		(m.instanceStartedAt == 0 || m.instanceStartedAt == m.report.StartedAtMillis)
}

func (m *Manager) sendOrder(operation modelrunner.Operation, model, adapter string) {
	m.pendingOrder = &modelrunner.Order{
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  m.report.Sequence,
		Instance:  m.instance,
		Holder:    m.holder,
		Fence:     m.fence,
	}
	m.rebuildLedger()
	m.emit(SendOrder{Order: *m.pendingOrder})
}

// OrderResponseReceived processes the response to the last order and the report
// that was read after it, if any.
func (m *Manager) OrderResponseReceived(now time.Time, result modelrunner.Result, report *modelrunner.Report) []Action {
	order := *m.pendingOrder
	m.pendingOrder = nil
	switch result {
	case modelrunner.Accepted:
		if order.Adapter == "" {
			m.activeChange = &change{order: order, started: now, tier: m.model(order.Model).tier}
		}
	case modelrunner.Unanswered:
		m.recordUncertain(now, order)
	case modelrunner.Conflict, modelrunner.Invalid:
		m.pausedUntil = now.Add(conflictDelay)
	case modelrunner.StaleFence:
		// A later incarnation of this agent has taken over. This one sends no more
		// orders.
		m.fence = 0
	case modelrunner.OtherInstance:
		m.instance = ""
	}
	if report != nil {
		m.applyReport(now, *report)
	} else {
		m.rebuildLedger()
	}
	return m.advance(now)
}

// Fence returns the fencing token, or zero after a higher one was seen.
func (m *Manager) Fence() int64 { return m.fence }

// UpdateFence sets a new fencing token.
func (m *Manager) UpdateFence(now time.Time, fence int64) []Action {
	m.fence = max(m.fence, fence)
	return m.advance(now)
}
