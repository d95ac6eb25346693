package runneragent

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// recordOrigin records where the stream of a granted lease begins, in case its caller
// resumes it.
func (c *controller) recordOrigin(now time.Time, pending waitingLease) {
	if attempt := pending.stream; attempt != nil {
		c.keepOrigin(now, attempt.StreamID, attempt.Origin(now, pending.ID), attempt.Retention())
	}
}

// originHandedOver records the origin of a stream that has broken off at another runner.
func (c *controller) originHandedOver(now time.Time, handover *wire.OriginHandover) {
	c.keepOrigin(now, handover.StreamID, handover.Origin.Received(now), handover.Retention())
}

func (c *controller) keepOrigin(now time.Time, stream string, origin resumption.Origin, retention time.Duration) {
	if !c.origins.Put(now, stream, origin, retention) {
		return
	}
	c.metrics.OriginDropped()
	if c.originSampler.Allow(now) {
		c.logger.Warn("origin of a stream dropped, too many", "kept", c.origins.Len())
	}
}

// leaseEnded applies what the end of a lease shows about the origin that was recorded
// with it. begun is set if the caller has an event of the stream.
func (c *controller) leaseEnded(acquire *wire.Acquire, begun bool) {
	if acquire.Stream == nil {
		return
	}
	attempt := resumption.Attempt{RequestID: acquire.RequestID, Ordinal: acquire.Stream.Ordinal}
	if begun {
		c.origins.Confirm(acquire.Stream.StreamID, attempt)
		return
	}
	c.origins.Forget(acquire.Stream.StreamID, attempt)
}

// leaseCancelled forgets the origin of a lease that was given up before its request was
// sent, and keeps a later grant from recording it.
func (c *controller) leaseCancelled(acquire *wire.Acquire) {
	if pending, ok := c.waiting[acquire.RequestID]; ok && pending.stream == acquire.Stream {
		delete(c.waiting, acquire.RequestID)
	}
	c.leaseEnded(acquire, false)
}

// findOrigin answers where a stream began.
func (c *controller) findOrigin(now time.Time, stream string) *wire.OriginAnswer {
	origin, ok := c.origins.Find(now, stream)
	if !ok {
		return &wire.OriginAnswer{}
	}
	return &wire.OriginAnswer{Origin: wire.NewStreamOrigin(now, origin)}
}

// serveOriginQuery answers a gateway's query for the origin of a stream.
func (s *server) serveOriginQuery(stream *wire.Stream, query *wire.OriginQuery) {
	var answer *wire.OriginAnswer
	s.controller.loop.Do(func() { answer = s.controller.findOrigin(time.Now(), query.StreamID) })
	if answer == nil {
		return
	}
	if err := stream.Send(&wire.Frame{OriginAnswer: answer}); err != nil {
		s.controller.logger.Warn("origin of a stream not answered", "stream", query.StreamID, "error", err)
	}
}
