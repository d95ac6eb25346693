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

// followSite keeps the site's own processes and decisions up to date while it is
// on.
func (s *sources) followSite(ctx context.Context) {
	s.site.run(ctx, func(ctx context.Context) {
		choose := func() keyvalue.Store { return s.siteStore }
		s.follow(ctx, choose, roster.Prefix, true, func(ctx context.Context, read reading) {
			change := s.decodeSite(read)
			s.control.loop.Do(func() { s.control.siteChanged(change) })
			s.confirmSite(read.revision)
			if len(read.events) > 0 {
				backoff.Sleep(ctx, sitePace)
			}
		})
	})
}

// confirmSite notes that hosts and placement were known completely just now.
func (s *sources) confirmSite(revision int64) {
	now := time.Now()
	s.control.beliefs.confirm(now, metrics.ViewSite, revision)
	if placement := s.control.current().placement; placement != nil {
		s.control.beliefs.confirm(now, metrics.ViewPlacement, placement.Revision)
	}
}

func (s *sources) decodeSite(read reading) siteChange {
	change := siteChange{complete: read.complete, listsAgents: true, asOf: read.revision}
	if read.complete {
		change.leader = &leaderKnown{at: read.revision}
	}
	for _, event := range read.events {
		key := event.Value.Key
		switch {
		case key == leaderKey:
			change.leader = decodeLeader(event)
		case key == placementKey:
			s.decodePlacement(&change, event)
		case strings.HasPrefix(key, roster.HostPrefix):
			s.decodeHost(&change, event)
		}
	}
	return change
}

func decodeLeader(event keyvalue.WatchEvent) *leaderKnown {
	if event.Deleted {
		return &leaderKnown{at: event.Value.ModRevision}
	}
	return &leaderKnown{host: string(event.Value.Value), key: event.Value.ModRevision, at: event.Value.ModRevision}
}

func (s *sources) decodePlacement(change *siteChange, event keyvalue.WatchEvent) {
	if event.Deleted {
		return
	}
	placement, err := packing.Decode(event.Value)
	if err != nil {
		s.logger.Error("placement unreadable, the last one stays in force", "revision", event.Value.ModRevision, "error", err)
		return
	}
	change.placement = placement
}

func (s *sources) decodeHost(change *siteChange, event keyvalue.WatchEvent) {
	if event.Deleted {
		change.gone = append(change.gone, strings.TrimPrefix(event.Value.Key, roster.HostPrefix))
		return
	}
	host, err := roster.Decode(event.Value)
	if err != nil {
		s.logger.Error("host unreadable", "key", event.Value.Key, "error", err)
		return
	}
	change.hosts = append(change.hosts, host)
}
