package gateway

import (
	"context"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// historyKey is the key of the versions of software that were in service lately.
const historyKey = roster.Prefix + "software"

// versionsInService returns the versions of the software that a service's registered
// servers run, sorted.
func (v *view) versionsInService(service string) []string {
	var versions []string
	for _, s := range v.servers[service] {
		versions = append(versions, s.Software)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// recentVersions returns the versions that were in service for as long as a stream may be
// resumed; none if that isn't known.
func (v *view) recentVersions(now time.Time, service string) []string {
	return v.history.Recent(now, service, v.versionsInService(service))
}

// updateHistory writes the history of versions if a version has appeared or is gone.
func (d *decider) updateHistory(ctx context.Context, now time.Time, current *view) {
	if d.control.freshness.age(now, metrics.ViewRegistrations) == neverConfirmed {
		return
	}
	present := make(map[string][]string, len(current.servers))
	for service := range current.servers {
		present[service] = current.versionsInService(service)
	}
	next := current.history.Next(now, present)
	if next.Equal(current.history) {
		return
	}
	value, err := next.Encode()
	if err != nil {
		d.logger.Error("history of software versions not encoded", "error", err)
		return
	}
	var before int64
	if current.history != nil {
		before = current.history.Revision
	}
	result, err := d.writeAsLeader(ctx, historyKey, before, value)
	if err != nil {
		d.logger.Warn("history of software versions not written", "uncertain", keyvalue.IsUncertain(err), "error", err)
		return
	}
	if !result.Succeeded {
		d.logger.Info("history of software versions not written, changed concurrently")
		return
	}
	next.Revision = result.Revision
	d.control.loop.Do(func() { d.control.applySiteChange(siteChange{history: next}) })
}

// decodeHistory reads the history of versions from an event of the store.
func (s *storeWatcher) decodeHistory(change *siteChange, event keyvalue.WatchEvent) {
	if event.Deleted {
		return
	}
	history, err := resumption.DecodeHistory(event.Value.Value, event.Value.ModRevision)
	if err != nil {
		s.logger.Error("history of software versions unreadable, keeping the known one", "revision", event.Value.ModRevision, "error", err)
		return
	}
	change.history = history
}

// setHistory applies a history of versions unless the known one is newer.
func (c *control) setHistory(history *resumption.History) {
	if c.history != nil && history.Revision < c.history.Revision {
		return
	}
	if c.history == nil || history.Revision > c.history.Revision {
		c.logger.Info("history of software versions changed", "belief", "software", "revision", history.Revision, "services", history.Services)
	}
	c.history = history
}

// historyUpdate returns the history of versions for other entries; nil if it isn't known.
func historyUpdate(history *resumption.History) *wire.SoftwareHistory {
	if history == nil {
		return nil
	}
	return &wire.SoftwareHistory{Revision: history.Revision, Services: history.Services}
}

// historyOf returns the history of versions that another entry sent.
func historyOf(update *wire.SoftwareHistory) *resumption.History {
	return &resumption.History{Revision: update.Revision, Services: update.Services}
}
