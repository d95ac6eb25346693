package directory

import "teaselgauge.example/teaselgauge/pkg/wire"

// AgentRecord is the known state of one agent. Records are immutable.
type AgentRecord struct {
	// Host is the ID of the agent's host.
	Host            string
	InternalAddress string
	FailureDomain   string
	// Runner is the address of the model runner on the agent's host.
	Runner string
	// Connected is set if an entry has a connection to the agent.
	Connected bool
	// Status is the agent's last status, nil before its first one. An entry that
	// follows a relay has a summary only.
	Status *wire.RunnerStatus
	// Summary is the part of Status that followers receive. The pointer stays the
	// same while the summary doesn't change.
	Summary *wire.RunnerStatus
}

// With returns the record after a change of its status.
func (r *AgentRecord) With(change *wire.RunnerStatus) *AgentRecord {
	next := *r
	next.Status = Merge(r.Status, change)
	next.Summary = Summarize(next.Status)
	if r.Summary != nil && Difference(r.Summary, next.Summary) == nil {
		next.Summary = r.Summary
	}
	return &next
}

// Apply returns the record after an update from a relay. before is nil if there was
// no record.
func Apply(before *AgentRecord, update *wire.AgentUpdate) *AgentRecord {
	next := &AgentRecord{}
	if before != nil {
		*next = *before
	}
	next.Host = update.Host
	next.InternalAddress = update.InternalAddress
	next.FailureDomain = update.FailureDomain
	next.Runner = update.Runner
	next.Connected = update.Connected
	if update.Status == nil {
		return next
	}
	return next.With(update.Status)
}
