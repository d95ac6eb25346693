package directory

import (
	"slices"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// sentRecord is what a follower was last sent about an agent.
type sentRecord struct {
	record *AgentRecord
	status *wire.RunnerStatus
}

// Cursor tracks what one follower was sent about the agents. Use NewCursor.
type Cursor struct {
	// domain restricts the agents to those of one failure domain, for which the
	// follower receives complete statuses. Empty means summaries of all agents.
	domain string
	sent   map[string]sentRecord
}

// NewCursor returns the cursor of a follower that was sent nothing yet. An empty
// failure domain means all.
func NewCursor(failureDomain string) *Cursor {
	return &Cursor{domain: failureDomain, sent: make(map[string]sentRecord)}
}

// Next returns the updates that bring the follower to the given records, and the
// hosts of removed agents.
func (c *Cursor) Next(records map[string]*AgentRecord) (updates []wire.AgentUpdate, removed []string) {
	for host, record := range records {
		if c.domain != "" && record.FailureDomain != c.domain {
			continue
		}
		before := c.sent[host]
		if before.record == record {
			continue
		}
		if update, changed := c.update(before, record); changed {
			updates = append(updates, update)
		}
		c.sent[host] = sentRecord{record: record, status: c.statusOf(record)}
	}
	for host := range c.sent {
		if records[host] == nil {
			delete(c.sent, host)
			removed = append(removed, host)
		}
	}
	slices.SortFunc(updates, func(a, b wire.AgentUpdate) int { return strings.Compare(a.Host, b.Host) })
	slices.Sort(removed)
	return updates, removed
}

func (c *Cursor) statusOf(record *AgentRecord) *wire.RunnerStatus {
	if c.domain == "" {
		return record.Summary
	}
	return record.Status
}

func (c *Cursor) update(before sentRecord, record *AgentRecord) (wire.AgentUpdate, bool) {
	update := wire.AgentUpdate{
		Host:            record.Host,
		InternalAddress: record.InternalAddress,
		FailureDomain:   record.FailureDomain,
		Runner:          record.Runner,
		Connected:       record.Connected,
	}
	if status := c.statusOf(record); status != before.status && status != nil {
		update.Status = Difference(before.status, status)
	}
	return update, update.Status != nil || before.record == nil || !equalExceptStatus(before.record, record)
}

// equalExceptStatus reports whether two records are equal except for the status.
func equalExceptStatus(a, b *AgentRecord) bool {
	return a.InternalAddress == b.InternalAddress && a.FailureDomain == b.FailureDomain && a.Runner == b.Runner && a.Connected == b.Connected
}
