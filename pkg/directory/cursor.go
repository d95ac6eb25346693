package directory

import (
	"slices"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// sent is what a follower was told of an agent.
type sent struct {
	row    *AgentRecord
	status *wire.RunnerStatus
}

// Cursor is what one follower knows of the agents. Use NewCursor.
type Cursor struct {
	// domain restricts the agents to those of a failure domain, of which the
	// follower gets whole statuses. Empty means all agents, in summary.
	domain string
	known  map[string]sent
}

// NewCursor returns the cursor of a follower that knows nothing yet. An empty
// failure domain means all.
func NewCursor(failureDomain string) *Cursor {
	return &Cursor{domain: failureDomain, known: make(map[string]sent)}
}

// Next returns what the follower must be told of the present rows, and the agents
// that are gone.
func (c *Cursor) Next(rows map[string]*AgentRecord) (updates []wire.AgentUpdate, gone []string) {
	for host, row := range rows {
		if c.domain != "" && row.FailureDomain != c.domain {
			continue
		}
		before := c.known[host]
		if before.row == row {
			continue
		}
		if update, isNews := c.update(before, row); isNews {
			updates = append(updates, update)
		}
		c.known[host] = sent{row: row, status: c.statusOf(row)}
	}
	for host := range c.known {
		if rows[host] == nil {
			delete(c.known, host)
			gone = append(gone, host)
		}
	}
	slices.SortFunc(updates, func(a, b wire.AgentUpdate) int { return strings.Compare(a.Host, b.Host) })
	slices.Sort(gone)
	return updates, gone
}

func (c *Cursor) statusOf(row *AgentRecord) *wire.RunnerStatus {
	if c.domain == "" {
		return row.Summary
	}
	return row.Status
}

func (c *Cursor) update(before sent, row *AgentRecord) (wire.AgentUpdate, bool) {
	update := wire.AgentUpdate{
		Host:          row.Host,
		Inner:         row.Inner,
		FailureDomain: row.FailureDomain,
		Runner:        row.Runner,
		Connected:     row.Connected,
	}
	if status := c.statusOf(row); status != before.status && status != nil {
		update.Status = Difference(before.status, status)
	}
	return update, update.Status != nil || before.row == nil || !sameAgent(before.row, row)
}

// sameAgent tells whether two rows are the same but for the status.
func sameAgent(a, b *AgentRecord) bool {
	return a.Inner == b.Inner && a.FailureDomain == b.FailureDomain && a.Runner == b.Runner && a.Connected == b.Connected
}
