package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// conflictPause is the time to the next order after one that was refused.
const conflictPause = 50 * time.Millisecond

// advance gives answers and orders that the present state calls for.
func (m *Manager) advance(now time.Time) []Action {
	m.expire(now)
	m.grantReady(now)
	if m.report == nil || m.plan == nil || !m.canOrder(now) {
		m.startWanted = ""
		return m.flush()
	}
	if m.calling == nil {
		if !m.orderAdapter(now) {
			m.orderModel(now)
		}
	}
	return m.flush()
}

// canOrder tells whether the runner is known well enough to get an order.
func (m *Manager) canOrder(now time.Time) bool {
	return !m.isDown(now) && !m.isLeaving() && !now.Before(m.pausedUntil) && m.fence > 0 && m.instance != "" &&
		(m.instanceBorn == 0 || m.instanceBorn == m.report.StartedAtMillis)
}

func (m *Manager) give(operation modelrunner.Operation, model, adapter string) {
	m.calling = &modelrunner.Order{
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  m.report.Sequence,
		Instance:  m.instance,
		Holder:    m.holder,
		Fence:     m.fence,
	}
	m.rebuildLedger()
	m.act(SendOrder{Order: *m.calling})
}

// OrderAnswered takes in the answer to the last order and the report that was read
// after it, if there was one.
func (m *Manager) OrderAnswered(now time.Time, result modelrunner.Result, report *modelrunner.Report) []Action {
	order := *m.calling
	m.calling = nil
	switch result {
	case modelrunner.Accepted:
		if order.Adapter == "" {
			m.changing = &change{order: order, started: now, tier: m.model(order.Model).tier}
		}
	case modelrunner.Unanswered:
		m.doubtful = append(m.doubtful, doubtfulOrder{order: order, until: now.Add(doubtTTL)})
	case modelrunner.Conflict, modelrunner.Invalid:
		m.pausedUntil = now.Add(conflictPause)
	case modelrunner.StaleFence:
		// A later incarnation of this agent has taken over; this one orders no more.
		m.fence = 0
	case modelrunner.OtherInstance:
		m.instance = ""
	}
	if report != nil {
		m.take(now, *report)
	} else {
		m.rebuildLedger()
	}
	return m.advance(now)
}

// Fence returns the fencing token, which is zero once a higher one was seen.
func (m *Manager) Fence() int64 { return m.fence }

// UpdateFence sets a new fencing token.
func (m *Manager) UpdateFence(now time.Time, fence int64) []Action {
	m.fence = max(m.fence, fence)
	return m.advance(now)
}
