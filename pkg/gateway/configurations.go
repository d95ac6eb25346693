package gateway

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// followConfiguration keeps the newest configuration active until ctx ends. An
// entry with a relay is notified of new versions, so its calls to the store may
// take longer.
func (s *storeWatcher) followConfiguration(ctx context.Context) {
	choose := func() keyvalue.Store {
		if s.registrations.isOn() {
			return s.store
		}
		return s.siteStore
	}
	s.follow(ctx, choose, s.codec.ConfigurationKey, false, s.handleConfiguration)
}

// refreshConfiguration reads the configuration if a relay reports a newer version
// than the active one.
func (s *storeWatcher) refreshConfiguration(version int64) {
	if table := s.control.current().table; table != nil && table.Configuration().Version >= version {
		return
	}
	if s.control.reportVersion(version) {
		s.restartWatches()
	}
}

func (s *storeWatcher) handleConfiguration(_ context.Context, read storeRead) {
	defer s.confirmConfiguration()
	for _, event := range read.events {
		if event.Deleted || event.Value.Key != s.codec.ConfigurationKey {
			continue
		}
		configuration, err := s.codec.DecodeConfiguration(event.Value.Value)
		if err != nil {
			s.logger.Error("configuration unreadable, keeping the active one", "revision", event.Value.ModRevision, "error", err)
			continue
		}
		s.control.loop.Do(func() { s.control.applyConfiguration(configuration) })
	}
}

// confirmConfiguration records that the active configuration is the newest as of
// now.
func (s *storeWatcher) confirmConfiguration() {
	if table := s.control.current().table; table != nil {
		s.control.freshness.confirm(time.Now(), metrics.ViewConfiguration, table.Configuration().Version)
	}
}
