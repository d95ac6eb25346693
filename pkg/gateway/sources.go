package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

const (
	// storeRetry is the pause after a failed call of the store. It doubles up to
	// maxStoreRetry while calls fail.
	storeRetry    = 300 * time.Millisecond
	maxStoreRetry = time.Second
	// registrationPace is the least time between two calls for registrations.
	// Heartbeats would answer each call at once.
	registrationPace = 1100 * time.Millisecond
	// sitePace is the least time between two calls for the site's own processes
	// and decisions, so that changes that come together cost one call.
	sitePace = 300 * time.Millisecond
	// expireInterval is the time between two looks at lapsed servers.
	expireInterval = 250 * time.Millisecond
)

// Codec reads what the platform keeps in its store.
type Codec struct {
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey string
	// RegistrationPrefix is the prefix of the keys of backend servers.
	RegistrationPrefix  string
	DecodeConfiguration func(value []byte) (*fleet.Configuration, error)
	DecodeRegistration  func(key string, value []byte) (fleet.Backend, error)
}

// sources follows the platform's store.
type sources struct {
	store keyvalue.Store
	// registrationStore is the same store with a shorter wait for news.
	registrationStore keyvalue.Store
	// siteStore is the same store with a longer wait for news, for the site's own
	// processes and decisions.
	siteStore keyvalue.Store
	codec     Codec
	control   *control
	logger    *slog.Logger
	// registrations and site are on while this entry reads them itself, instead of
	// hearing of them from a relay.
	registrations period
	site          period

	mu sync.Mutex
	// asked is the version of the configuration that was last asked for on a relay's
	// word.
	asked int64
	// broken is closed and replaced when a call of the store fails, so that all
	// watches are opened anew.
	broken chan struct{}
}

func newSources(d Dependencies, c *control, logger *slog.Logger) *sources {
	s := &sources{
		store:             d.Store,
		registrationStore: d.RegistrationStore,
		siteStore:         d.SiteStore,
		codec:             d.Codec,
		control:           c,
		logger:            logger,
		broken:            make(chan struct{}),
	}
	// Until the site is known there is nobody to hear of it from.
	s.registrations.set(true)
	s.site.set(true)
	return s
}

// breaks returns a channel that is closed when a call of the store fails.
func (s *sources) breaks() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// noteBroken has all watches opened anew.
func (s *sources) noteBroken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// followConfiguration keeps the newest configuration in force until ctx ends. An
// entry that follows a relay is told of a new version, so that it can leave the
// store longer without a question.
func (s *sources) followConfiguration(ctx context.Context) {
	choose := func() keyvalue.Store {
		if s.registrations.isOn() {
			return s.store
		}
		return s.siteStore
	}
	s.follow(ctx, choose, s.codec.ConfigurationKey, false, s.takeConfiguration)
}

// configurationExists notes that a relay has a version of the configuration in
// force. If it is newer than this entry's, the store is asked at once.
func (s *sources) configurationExists(version int64) {
	if table := s.control.current().table; table != nil && table.Configuration().Version >= version {
		return
	}
	s.mu.Lock()
	isNews := version > s.asked
	s.asked = max(s.asked, version)
	s.mu.Unlock()
	if isNews {
		s.noteBroken()
	}
}

// followRegistrations keeps the registered servers up to date while it is on.
func (s *sources) followRegistrations(ctx context.Context) {
	s.registrations.run(ctx, func(ctx context.Context) {
		choose := func() keyvalue.Store { return s.registrationStore }
		s.follow(ctx, choose, s.codec.RegistrationPrefix, true, func(ctx context.Context, read reading) {
			s.takeRegistrations(read)
			if !read.complete && len(read.events) > 0 {
				backoff.Sleep(ctx, registrationPace)
			}
		})
	})
}

// readRegistrations switches on or off that this entry reads registrations itself.
func (s *sources) readRegistrations(on bool) {
	if !s.registrations.set(on) {
		return
	}
	s.logger.Info("reading registrations", "belief", "registrations", "from_store", on)
	if on {
		// Nobody tells of a new configuration now, so it is watched with a shorter
		// wait.
		s.noteBroken()
	}
}

// reading is what a read or a watch brought.
type reading struct {
	// complete tells that all present keys are there; else only changes are.
	complete bool
	// revision is the store's revision up to which all changes are known.
	revision int64
	events   []keyvalue.WatchEvent
}

// errOtherWatchBroke tells that a watch is opened anew because another one failed.
var errOtherWatchBroke = errors.New("another call of the store failed")

// follow reads a key or prefix and then watches it, and starts anew after a
// failure.
func (s *sources) follow(ctx context.Context, choose func() keyvalue.Store, key string, prefix bool, take func(context.Context, reading)) {
	pause := storeRetry
	for ctx.Err() == nil {
		started := time.Now()
		err := s.followOnce(ctx, choose(), key, prefix, take)
		if ctx.Err() != nil {
			return
		}
		s.logger.Warn("store lost", "belief", "store:"+key, "error", err)
		if errors.Is(err, keyvalue.ErrCompacted) || errors.Is(err, errOtherWatchBroke) {
			continue
		}
		s.control.loop.Post(func() { s.control.storeUnstable(time.Now()) })
		s.noteBroken()
		if time.Since(started) > maxStoreRetry {
			pause = storeRetry
		}
		backoff.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxStoreRetry)
	}
}

func (s *sources) followOnce(ctx context.Context, store keyvalue.Store, key string, prefix bool, take func(context.Context, reading)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	broken := s.breaks()
	result, err := store.Range(ctx, key, prefix)
	if err != nil {
		return err
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-broken:
			cancel(errOtherWatchBroke)
		}
	}()
	read := reading{complete: true, revision: result.Revision}
	for _, value := range result.Values {
		read.events = append(read.events, keyvalue.WatchEvent{Value: value})
	}
	take(ctx, read)
	s.logger.Info("store read", "belief", "store:"+key, "revision", result.Revision, "values", len(result.Values))
	err = store.Watch(ctx, key, result.Revision, func(revision int64, events []keyvalue.WatchEvent) {
		take(ctx, reading{revision: revision, events: events})
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (s *sources) takeConfiguration(_ context.Context, read reading) {
	defer s.confirmConfiguration()
	for _, event := range read.events {
		if event.Deleted || event.Value.Key != s.codec.ConfigurationKey {
			continue
		}
		configuration, err := s.codec.DecodeConfiguration(event.Value.Value)
		if err != nil {
			s.logger.Error("configuration unreadable, the last one stays in force", "revision", event.Value.ModRevision, "error", err)
			continue
		}
		s.control.loop.Do(func() { s.control.configured(configuration) })
	}
}

// confirmConfiguration notes that the configuration in force was the newest just
// now.
func (s *sources) confirmConfiguration() {
	if table := s.control.current().table; table != nil {
		s.control.beliefs.confirm(time.Now(), metrics.ViewConfiguration, table.Configuration().Version)
	}
}

// registrationChange is one event of a backend server's registration.
type registrationChange struct {
	id      string
	backend fleet.Backend
	removed bool
	// unreadable marks an entry that names no server to use.
	unreadable bool
}

func (s *sources) takeRegistrations(read reading) {
	now := time.Now()
	changes := make([]registrationChange, 0, len(read.events))
	for _, event := range read.events {
		changes = append(changes, s.decodeRegistration(event))
	}
	s.control.loop.Do(func() {
		s.control.registrations(func(registry *backends.Registry) bool {
			return applyRegistrations(now, registry, read.complete, changes)
		})
	})
	s.control.beliefs.confirm(now, metrics.ViewRegistrations, read.revision)
}

func (s *sources) decodeRegistration(event keyvalue.WatchEvent) registrationChange {
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

// applyRegistrations takes changes in, in their order, and tells whether a
// server is usable that wasn't, or the other way round.
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

// expireLapsed drops lapsed servers until ctx ends.
func (s *sources) expireLapsed(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, expireInterval)
		s.control.loop.Do(func() { s.control.expire(time.Now()) })
	}
}
