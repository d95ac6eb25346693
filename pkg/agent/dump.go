package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// controllerDump is the control state in the state dump.
type controllerDump struct {
	Status *wire.Status `json:"status"`
	// PermitsRead tells whether this incarnation has read its permits.
	PermitsRead        bool         `json:"permits_read"`
	PermitsRevision    int64        `json:"permits_revision,omitempty"`
	Ledger             []ledgerDump `json:"ledger,omitempty"`
	LoadsWaiting       int          `json:"loads_waiting,omitempty"`
	AdaptersWaiting    int          `json:"adapters_waiting,omitempty"`
	IdempotencyKeys    int          `json:"idempotency_keys,omitempty"`
	IdempotencyOpen    int          `json:"idempotency_keys_open,omitempty"`
	RememberedRequests int          `json:"remembered_requests"`
}

// ledgerDump is one account of the memory ledger.
type ledgerDump struct {
	Target    engine.Target `json:"target"`
	State     string        `json:"state"`
	MemoryMiB int64         `json:"memory_mib"`
}

func (c *controller) dump(now time.Time) controllerDump {
	dump := controllerDump{Status: c.status(now), RememberedRequests: len(c.tickets)}
	if c.models != nil {
		c.models.dump(&dump)
	}
	if c.keyed != nil {
		dump.IdempotencyKeys = c.keyed.machine.Len()
		dump.IdempotencyOpen = c.keyed.machine.Open()
	}
	return dump
}

func (t *modelTable) dump(dump *controllerDump) {
	dump.PermitsRead = t.holder.Ready()
	dump.PermitsRevision = t.holder.Revision()
	dump.LoadsWaiting = len(t.pacer.waiting)
	dump.AdaptersWaiting = len(t.adapterLoads)
	for target, account := range t.ledger.Entries() {
		dump.Ledger = append(dump.Ledger, ledgerDump{
			Target:    target,
			State:     account.State.String(),
			MemoryMiB: account.MiB,
		})
	}
}
