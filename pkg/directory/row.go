package directory

import "teaselgauge.example/teaselgauge/pkg/wire"

// AgentRecord is what is known of one agent. Rows are immutable.
type AgentRecord struct {
	// Host is the ID of the agent's host, Inner its address in the inner protocol.
	Host          string
	Inner         string
	FailureDomain string
	// Runner is the address of the model runner beside the agent.
	Runner string
	// Connected tells that an entry hears the agent.
	Connected bool
	// Status is what the agent said last, nil before its first word. An entry that
	// follows a relay knows a summary only.
	Status *wire.RunnerStatus
	// Summary is what entries that follow get of Status. It is the same value as
	// before while the summary doesn't change.
	Summary *wire.RunnerStatus
}

// With returns the row after a change of its status.
func (r *AgentRecord) With(change *wire.RunnerStatus) *AgentRecord {
	next := *r
	next.Status = Merge(r.Status, change)
	next.Summary = Summarize(next.Status)
	if r.Summary != nil && Difference(r.Summary, next.Summary) == nil {
		next.Summary = r.Summary
	}
	return &next
}

// Apply returns the row that an update of a relay makes of the one before it, nil
// if there was none.
func Apply(before *AgentRecord, update *wire.AgentUpdate) *AgentRecord {
	next := &AgentRecord{}
	if before != nil {
		*next = *before
	}
	next.Host = update.Host
	next.Inner = update.Inner
	next.FailureDomain = update.FailureDomain
	next.Runner = update.Runner
	next.Connected = update.Connected
	if update.Status == nil {
		return next
	}
	return next.With(update.Status)
}
