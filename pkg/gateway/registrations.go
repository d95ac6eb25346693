package gateway

import (
	"context"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// registrationChange is one change of a backend server's registration.
type registrationChange struct {
	id      string
	backend fleet.Backend
	removed bool
	// unreadable is set for a value that can't be decoded as a usable server.
	unreadable bool
}

// followRegistrations keeps the registered servers up to date while it is switched
// on.
func (s *storeWatcher) followRegistrations(ctx context.Context) {
	s.registrations.run(ctx, func(whileOn context.Context) {
		choose := func() keyvalue.Store { return s.registrationStore }
		s.follow(whileOn, choose, s.codec.RegistrationPrefix, true, func(ctx context.Context, read storeRead) {
			s.handleRegistrations(whileOn, read)
			if !read.complete && len(read.events) > 0 {
				backoff.Sleep(ctx, s.registrationReadInterval())
			}
		})
	})
}

// setReadRegistrations sets whether this entry reads registrations from the store, and reports
// whether that is a change.
func (s *storeWatcher) setReadRegistrations(on bool) bool {
	if !s.registrations.set(on) {
		return false
	}
	s.logger.Info("source of registrations changed", "belief", "registrations", "from_store", on)
	if on {
		// No relay notifies of a new configuration now, so its watch is restarted
		// with the shorter long-poll timeout.
		s.restartWatches()
	}
	return true
}

// registrationsReadAt returns when this entry last read registrations itself; zero if it hasn't.
func (s *storeWatcher) registrationsReadAt() time.Time {
	if at := s.ownReadAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// handleRegistrations applies a read unless whileOn has ended: a relay's list has taken the
// place of this entry's own reads then, and may be newer.
func (s *storeWatcher) handleRegistrations(whileOn context.Context, read storeRead) {
	now := time.Now()
	changes := make([]registrationChange, 0, len(read.events))
	for _, event := range read.events {
		changes = append(changes, s.decodeRegistration(event))
	}
	s.control.loop.Do(func() {
		if whileOn.Err() != nil {
			s.logger.Info("read of registrations dropped, as a relay's list is used", "belief", "registrations", "revision", read.revision)
			return
		}
		if read.complete {
			s.recordRead(read.sentAt, now)
		}
		s.control.updateRegistry(func(registry *backends.Registry) bool {
			return applyRegistrations(now, registry, read.complete, changes)
		})
		s.ownReadAt.Store(&now)
		s.control.freshness.confirm(now, metrics.ViewRegistrations, read.revision)
	})
}

// recordRead reports a complete read to the registry. It runs on the event loop.
func (s *storeWatcher) recordRead(sentAt, now time.Time) {
	if away := s.control.registry.StoreRead(sentAt, now); away > 0 {
		s.logger.Warn("store was away, missing registrations may have lapsed", "belief", "registrations", "away_ms", away.Milliseconds())
	}
}

// registrationReadInterval returns the minimum time until the next watch call for
// registrations.
func (s *storeWatcher) registrationReadInterval() time.Duration {
	interval := minRegistrationReadInterval
	s.control.loop.Do(func() {
		if s.control.registry.AwaitsMissing() {
			interval = awaitedReadInterval
		}
	})
	return interval
}

func (s *storeWatcher) decodeRegistration(event keyvalue.WatchEvent) registrationChange {
	change := registrationChange{id: strings.TrimPrefix(event.Value.Key, s.codec.RegistrationPrefix), removed: event.Deleted}
	if event.Deleted {
		return change
	}
	backend, err := s.codec.DecodeRegistration(event.Value.Key, event.Value.Value)
	if err != nil {
		s.logger.Debug("registration ignored", "revision", event.Value.ModRevision, "error", err)
		change.unreadable = true
		return change
	}
	change.backend = backend
	return change
}

// applyRegistrations applies changes in order and reports whether the set of usable
// servers has changed.
func applyRegistrations(now time.Time, registry *backends.Registry, complete bool, changes []registrationChange) bool {
	changed := false
	var listed []fleet.Backend
	for _, change := range changes {
		switch {
		case change.removed:
			changed = registry.Remove(now, change.id) || changed
		case change.unreadable:
			changed = registry.Drop(now, change.id) || changed
		default:
			changed = registry.Put(now, change.backend) || changed
			listed = append(listed, change.backend)
		}
	}
	if complete {
		changed = registry.Replace(now, listed) || changed
	}
	return changed
}

// runExpiry removes expired servers until ctx ends.
func (s *storeWatcher) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, expireInterval)
		s.control.loop.Do(func() { s.control.expireBackends(time.Now()) })
	}
}
