package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// firstUpdatePatience bounds the wait for the first update of a relay, which may
	// not know yet that it is one.
	firstUpdatePatience = 2 * time.Second
	// relayTimeout bounds the opening of the stream.
	relayTimeout = 500 * time.Millisecond
	// relaySilence is the time without an update after which a relay is given up.
	relaySilence = 700 * time.Millisecond
)

// upstream is a relay that this entry follows.
type upstream struct {
	host roster.Host
	// domain is the failure domain whose agents are asked for, empty for all that
	// the relay knows.
	domain    string
	following *following
	cancel    context.CancelFunc
	ended     chan struct{}
	from      source
	// storeHeardAt is when the relay last heard from the store; nil before its first
	// word.
	storeHeardAt atomic.Pointer[time.Time]
}

// end gives the relay up and returns nil. It may be called on nil.
func (u *upstream) end() *upstream {
	if u != nil {
		u.cancel()
	}
	return nil
}

// hasEnded tells whether the relay is followed no longer.
func (u *upstream) hasEnded() bool {
	select {
	case <-u.ended:
		return true
	default:
		return false
	}
}

// isHeard tells whether the relay has sent an update. It may be called on nil.
func (u *upstream) isHeard() bool { return u != nil && u.from.heardAt.Load() != nil }

// storeAge is how long ago the relay heard from the store, or neverConfirmed.
func (u *upstream) storeAge(now time.Time) time.Duration {
	if !u.isHeard() {
		return neverConfirmed
	}
	return now.Sub(*u.storeHeardAt.Load())
}

// run follows the relay until ctx ends or the relay is silent.
func (u *upstream) run(ctx context.Context) {
	f := u.following
	defer f.lookAgain()
	defer close(u.ended)
	err := u.follow(ctx)
	if ctx.Err() == nil {
		f.logger.Warn("relay lost", "belief", "relay", "relay", u.host.ID, "domain", u.domain, "heard", u.isHeard(), "error", err)
		f.node.Retire(u.host.ID)
	}
}

func (u *upstream) follow(ctx context.Context) error {
	f := u.following
	openCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	stream, err := f.node.Open(openCtx, u.host.ID, u.host.InternalAddress)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Frame{Follow: &wire.Follow{Entry: f.self, FailureDomain: u.domain}}); err != nil {
		return err
	}
	patience := firstUpdatePatience
	for {
		stream.SetReadDeadline(time.Now().Add(patience))
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		if frame.SiteUpdate == nil {
			continue
		}
		patience = relaySilence
		u.take(time.Now(), frame.SiteUpdate)
	}
}

// take takes an update in.
func (u *upstream) take(now time.Time, update *wire.SiteUpdate) {
	f := u.following
	first := !u.isHeard()
	age := time.Duration(update.StoreAgeMillis) * time.Millisecond
	storeHeardAt := now.Add(-age)
	u.storeHeardAt.Store(&storeHeardAt)
	f.control.loop.Do(func() {
		f.control.relaySaid(now, &u.from, update, update.Complete && u.domain == "")
		if u.domain == "" {
			u.takeSite(now, update)
		}
	})
	if u.domain == "" {
		f.control.beliefs.confirm(storeHeardAt, metrics.ViewRegistrations, 0)
		f.sources.configurationExists(update.Configuration)
	}
	if first {
		f.logger.Info("relay heard", "belief", "relay", "relay", u.host.ID, "domain", u.domain, "agents", len(update.Agents), "servers", len(update.Servers))
		f.lookAgain()
	}
}

// takeSite takes in the entries and backend servers that the relay knows.
func (u *upstream) takeSite(now time.Time, update *wire.SiteUpdate) {
	c := u.following.control
	if len(update.Entries)+len(update.RemovedEntries) > 0 {
		change := siteChange{complete: update.Complete, gone: update.RemovedEntries}
		for i := range update.Entries {
			change.hosts = append(change.hosts, entryOf(&update.Entries[i]))
		}
		c.siteChanged(change)
	}
	if u.following.sources.registrations.isOn() {
		// This entry reads them itself, as the relay's word is old.
		return
	}
	if len(update.Servers)+len(update.RemovedServers) > 0 || update.Complete {
		c.registrations(func(registry *backends.Registry) bool { return applyServers(now, registry, update) })
	}
}

// applyServers takes in a relay's word on backend servers. Which of them lapsed in
// an outage is the relay's to judge.
func applyServers(now time.Time, registry *backends.Registry, update *wire.SiteUpdate) bool {
	changed := false
	named := make(map[string]bool, len(update.Servers))
	for i := range update.Servers {
		backend := backendOf(&update.Servers[i])
		named[backend.ID] = true
		changed = registry.Put(now, backend) || changed
	}
	for _, id := range update.RemovedServers {
		changed = registry.Drop(now, id) || changed
	}
	if update.Complete {
		for _, known := range registry.Backends() {
			if !named[known.ID] {
				changed = registry.Drop(now, known.ID) || changed
			}
		}
	}
	return changed
}

func backendOf(update *wire.ServerUpdate) fleet.Backend {
	backend := fleet.Backend{
		ID:              update.ID,
		Service:         update.Service,
		Address:         update.Address,
		FailureDomain:   update.FailureDomain,
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

func entryOf(update *wire.EntryUpdate) roster.Host {
	return roster.Host{
		ID:              update.Host,
		Role:            keys.RoleEntry,
		InternalAddress: update.Inner,
		FailureDomain:   update.FailureDomain,
		CPUShare:        update.Processor,
		Revision:        update.Revision,
	}
}
