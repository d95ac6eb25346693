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
	result, err := d.writeAsLeader(ctx, historyKey, d.historyRevision(current), value)
	if err != nil {
		d.logger.Warn("history of software versions not written", "uncertain", keyvalue.IsUncertain(err), "error", err)
		return
	}
	if !result.Succeeded {
		stored := revisionOf(result, historyKey)
		d.storedHistory = &stored
		d.logger.Info("history of software versions not written, changed concurrently", "stored_revision", stored)
		return
	}
	d.storedHistory = nil
	next.Revision = result.Revision
	d.control.loop.Do(func() { d.control.applySiteChange(siteChange{history: next}) })
}

// historyRevision returns the revision of the stored history as far as it is known: the one
// that a failed write has shown, as its value may be unreadable or deleted, or else that of
// the active one.
func (d *decider) historyRevision(current *view) int64 {
	switch {
	case d.storedHistory != nil:
		return *d.storedHistory
	case current.history != nil:
		return current.history.Revision
	default:
		return 0
	}
}

// revisionOf returns a key's revision that a failed transaction returned; zero if the key
// doesn't exist.
func revisionOf(result keyvalue.TxnResult, key string) int64 {
	for _, current := range result.Current {
		if current.Key == key {
			return current.ModRevision
		}
	}
	return 0
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
