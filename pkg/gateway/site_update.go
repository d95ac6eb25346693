package gateway

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// serverUpdate returns a registration as a relay sends it.
func serverUpdate(b *fleet.Backend) wire.ServerUpdate {
	return wire.ServerUpdate{
		ID:              b.ID,
		Service:         b.Service,
		Address:         b.Address,
		FailureDomain:   b.FailureDomain,
		Software:        b.Software,
		Slots:           b.Slots,
		Draining:        b.State == fleet.BackendDraining,
		ColdMillis:      uint32(b.WarmupRemaining.Milliseconds()),
		StartedAtMillis: b.StartedAtMillis,
		Sequence:        b.Sequence,
	}
}

// backendOf returns the registration that a relay sent.
func backendOf(update *wire.ServerUpdate) fleet.Backend {
	backend := fleet.Backend{
		ID:              update.ID,
		Service:         update.Service,
		Address:         update.Address,
		FailureDomain:   update.FailureDomain,
		Software:        update.Software,
		Slots:           update.Slots,
		WarmupRemaining: time.Duration(update.ColdMillis) * time.Millisecond,
		StartedAtMillis: update.StartedAtMillis,
		Sequence:        update.Sequence,
	}
	if update.Draining {
		backend.State = fleet.BackendDraining
	}
	return backend
}

// entryUpdate returns an entry as a relay sends it.
func entryUpdate(host *roster.Host) wire.EntryUpdate {
	return wire.EntryUpdate{
		Host:            host.ID,
		InternalAddress: host.InternalAddress,
		FailureDomain:   host.FailureDomain,
		Processor:       host.CPUShare,
		Revision:        host.Revision,
	}
}

// entryOf returns the entry that a relay sent.
func entryOf(update *wire.EntryUpdate) roster.Host {
	return roster.Host{
		ID:              update.Host,
		Role:            keys.RoleEntry,
		InternalAddress: update.InternalAddress,
		FailureDomain:   update.FailureDomain,
		CPUShare:        update.Processor,
		Revision:        update.Revision,
	}
}
