package agent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// controllerDump is the control state's section of the state dump.
type controllerDump struct {
	Status *wire.Status `json:"status"`
	// PermitsRead is set if this incarnation has read its permits.
	PermitsRead        bool         `json:"permits_read"`
	PermitsRevision    int64        `json:"permits_revision,omitempty"`
	Ledger             []ledgerDump `json:"ledger,omitempty"`
	LoadsWaiting       int          `json:"loads_waiting,omitempty"`
	AdaptersWaiting    int          `json:"adapters_waiting,omitempty"`
	IdempotencyKeys    int          `json:"idempotency_keys,omitempty"`
	IdempotencyOpen    int          `json:"idempotency_keys_open,omitempty"`
	RememberedRequests int          `json:"remembered_requests"`
}

// ledgerDump is one entry of the memory ledger.
type ledgerDump struct {
	Target    engine.Target `json:"target"`
	State     string        `json:"state"`
	MemoryMiB int64         `json:"memory_mib"`
}

func (c *controller) dump(now time.Time) controllerDump {
	dump := controllerDump{Status: c.status(now), RememberedRequests: len(c.requests)}
	if c.models != nil {
		c.models.dump(&dump)
	}
	if c.idempotent != nil {
		dump.IdempotencyKeys = c.idempotent.machine.Len()
		dump.IdempotencyOpen = c.idempotent.machine.Open()
	}
	return dump
}

func (t *modelTable) dump(dump *controllerDump) {
	dump.PermitsRead = t.enforcer.Ready()
	dump.PermitsRevision = t.enforcer.Revision()
	dump.LoadsWaiting = len(t.pacer.waiting)
	dump.AdaptersWaiting = len(t.adapterLoads)
	for target, entry := range t.ledger.Entries() {
		dump.Ledger = append(dump.Ledger, ledgerDump{
			Target:    target,
			State:     entry.State.String(),
			MemoryMiB: entry.MiB,
		})
	}
}
