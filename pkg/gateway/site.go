package gateway

import (
	"context"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

const (
	leaderKey    = roster.Prefix + "leader"
	placementKey = roster.Prefix + "placement"
)

// followSite keeps the site's hosts, placement and leader up to date while it is
// switched on.
func (s *storeWatcher) followSite(ctx context.Context) {
	s.site.run(ctx, func(whileOn context.Context) {
		choose := func() keyvalue.Store { return s.siteStore }
		s.follow(whileOn, choose, roster.Prefix, true, func(ctx context.Context, read storeRead) {
			s.handleSite(whileOn, read)
			if len(read.events) > 0 {
				backoff.Sleep(ctx, minSiteReadInterval)
			}
		})
	})
}

// handleSite applies a read unless whileOn has ended: a relay's list of entries has taken the
// place of this entry's own reads then, and may be newer.
func (s *storeWatcher) handleSite(whileOn context.Context, read storeRead) {
	change := s.decodeSite(read)
	s.control.loop.Do(func() {
		if whileOn.Err() != nil {
			s.logger.Info("read of the site dropped, as a relay's list is used", "belief", "site", "revision", read.revision)
			return
		}
		s.control.applySiteChange(change)
		s.confirmSite(read.revision)
	})
}

// confirmSite records that hosts and placement are complete as of now.
func (s *storeWatcher) confirmSite(revision int64) {
	now := time.Now()
	s.control.freshness.confirm(now, metrics.ViewSite, revision)
	if placement := s.control.current().placement; placement != nil {
		s.control.freshness.confirm(now, metrics.ViewPlacement, placement.Revision)
	}
}

func (s *storeWatcher) decodeSite(read storeRead) siteChange {
	change := siteChange{complete: read.complete, includesAgents: true, asOf: read.revision}
	if read.complete {
		change.leader = &leaderState{knownAt: read.revision}
	}
	for _, event := range read.events {
		key := event.Value.Key
		switch {
		case key == leaderKey:
			change.leader = decodeLeader(event)
		case key == placementKey:
			s.decodePlacement(&change, event)
		case key == historyKey:
			s.decodeHistory(&change, event)
		case strings.HasPrefix(key, roster.HostPrefix):
			s.decodeHost(&change, event)
		}
	}
	return change
}

func decodeLeader(event keyvalue.WatchEvent) *leaderState {
	if event.Deleted {
		return &leaderState{knownAt: event.Value.ModRevision}
	}
	return &leaderState{host: string(event.Value.Value), keyRevision: event.Value.ModRevision, knownAt: event.Value.ModRevision}
}

func (s *storeWatcher) decodePlacement(change *siteChange, event keyvalue.WatchEvent) {
	if event.Deleted {
		return
	}
	placement, err := packing.Decode(event.Value)
	if err != nil {
		s.logger.Error("placement unreadable, keeping the active one", "revision", event.Value.ModRevision, "error", err)
		return
	}
	change.placement = placement
}

func (s *storeWatcher) decodeHost(change *siteChange, event keyvalue.WatchEvent) {
	if event.Deleted {
		change.removed = append(change.removed, strings.TrimPrefix(event.Value.Key, roster.HostPrefix))
		return
	}
	host, err := roster.Decode(event.Value)
	if err != nil {
		s.logger.Error("stored host unreadable, ignoring it", "key", event.Value.Key, "error", err)
		return
	}
	change.hosts = append(change.hosts, host)
}
