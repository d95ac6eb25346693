package gateway

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// streamOrigins holds the origins of the streams that this entry has served, for callers
// that resume them. The zero value is empty. It is safe for concurrent use.
type streamOrigins struct {
	mu      sync.Mutex
	records resumption.Records
}

// put records an origin, and reports whether another one had to be dropped for it.
func (o *streamOrigins) put(now time.Time, stream string, origin resumption.Origin, retention time.Duration) (dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Put(now, stream, origin, retention)
}

func (o *streamOrigins) find(now time.Time, stream string) (resumption.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Find(now, stream)
}

func (o *streamOrigins) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Len()
}

// streamID returns the ID of the stream that a request begins or resumes; empty if its
// response can't be resumed.
func streamID(route *fleet.Route, requestID, lastEventID, resumes string) string {
	switch {
	case route.Kind != fleet.Streaming || !route.Resumable:
		return ""
	case lastEventID != "" && resumes != "":
		return resumes
	default:
		return requestID
	}
}

// hasEvents reports whether the caller has an event of the stream.
func (x *exchange) hasEvents() bool {
	return x.caller.LastEventID != "" || x.progress.events.Count() > 0
}

// originRetention is how long the origin of the stream is kept from now on: as long as its
// caller may come back.
func (x *exchange) originRetention(now time.Time) time.Duration {
	until := x.deadline
	if byCaller := x.arrived.Add(x.caller.Budget); byCaller.After(until) {
		until = byCaller
	}
	return resumption.RetentionFor(until.Sub(now))
}

// recordOrigin records where the stream began once it has an event, before the event is
// sent to the caller, and sees to it that an agent has the origin as well.
func (x *exchange) recordOrigin(backend *server) {
	if x.stream == "" || x.progress.events.Count() == 0 {
		return
	}
	if x.origin == nil {
		x.keepOrigin(backend)
	}
	if x.unwatchLease == nil {
		x.watchLease()
	}
}

// keepOrigin records at this entry where the stream began.
func (x *exchange) keepOrigin(backend *server) {
	now := time.Now()
	x.origin = &resumption.Origin{
		Service:    x.service,
		Software:   backend.Software,
		Attempt:    resumption.Attempt{RequestID: x.caller.RequestID, Ordinal: x.leaseRequests},
		Confirmed:  true,
		RecordedAt: now,
	}
	if x.handler.origins.put(now, x.stream, *x.origin, x.originRetention(now)) {
		x.handler.observer.originDropped(now)
	}
}

// streamAttempt describes the stream to the agent from which a lease is requested; nil if
// the response can't be resumed.
func (x *exchange) streamAttempt(now time.Time, s *server) *wire.StreamAttempt {
	if x.stream == "" {
		return nil
	}
	x.leaseRequests++
	return &wire.StreamAttempt{
		StreamID:        x.stream,
		Service:         x.service,
		Software:        s.Software,
		Ordinal:         x.leaseRequests,
		StartedAtMillis: s.StartedAtMillis,
		KeepMillis:      uint32(x.originRetention(now).Milliseconds()),
		Begun:           x.hasEvents(),
	}
}

// mayBeResumed reports whether the response has ended such that the caller may resume it
// and the agent of its server may have lost its record: if it broke off, or if the caller
// left while the agent doesn't respond or, as it may have restarted unnoticed, while several
// versions are in service.
func (x *exchange) mayBeResumed() bool {
	now := time.Now()
	switch {
	case x.result.outcome == outcomeBroken:
		return true
	case x.result.isUnanswered():
		return !x.handler.control.current().agents[x.lastAgent].isFresh(now) || len(x.recentVersions(now)) != 1
	default:
		return false
	}
}
