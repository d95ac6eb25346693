package runneragent

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// maxStatusInterval is the maximum time between two statuses to a gateway.
	maxStatusInterval = time.Second
	// minStatusInterval is the minimum time between two statuses, so that changes
	// that occur together are sent together.
	minStatusInterval = 20 * time.Millisecond
)

// server serves the streams that gateways open.
type server struct {
	controller *controller
}

// serve serves a stream by its first frame.
func (s *server) serve(ctx context.Context, peer wire.Peer, stream *wire.Stream, first *wire.Frame) bool {
	switch {
	case first.Acquire != nil:
		s.serveAcquire(ctx, stream, first.Acquire)
	case first.Subscribe != nil:
		s.serveSubscription(ctx, stream, first.Subscribe)
	case first.RunnerLoadGrant != nil:
		s.controller.loop.Do(func() { s.controller.loadGranted(time.Now(), first.RunnerLoadGrant.Model) })
	case first.CrashReport != nil:
		s.controller.loop.Do(func() { s.controller.crashReported(time.Now(), peer.Host, first.CrashReport) })
	case first.EvidenceHandover != nil:
		s.controller.loop.Do(func() { s.controller.evidenceHandedOver(time.Now(), peer.Host, first.EvidenceHandover) })
	case first.OriginQuery != nil:
		s.serveOriginQuery(stream, first.OriginQuery)
	case first.OriginHandover != nil:
		s.controller.loop.Do(func() { s.controller.originHandedOver(time.Now(), first.OriginHandover) })
	case first.StartReport != nil:
		s.controller.loop.Do(func() { s.controller.startsReported(time.Now(), first.StartReport) })
	default:
		return false
	}
	return true
}

// serveSubscription sends statuses and receives placements until the stream ends.
func (s *server) serveSubscription(ctx context.Context, stream *wire.Stream, subscribe *wire.Subscribe) {
	s.controller.logger.Info("gateway subscribed", "entry", subscribe.Entry)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.receivePlacements(stream)
	}()
	s.sendStatuses(ctx, stream, ended)
	stream.Abort()
	<-ended
	s.controller.logger.Info("gateway subscription ended", "entry", subscribe.Entry)
}

// sendStatuses sends the first status completely and then the changes, until the
// subscription ends.
func (s *server) sendStatuses(ctx context.Context, stream *wire.Stream, ended <-chan struct{}) {
	wake, end := s.controller.subscribers.subscribe()
	defer end()
	var last *wire.RunnerStatus
	for {
		if status := s.controller.subscribers.status(); status != nil {
			if err := stream.Send(&wire.Frame{RunnerStatus: statusUpdate(last, status)}); err != nil {
				return
			}
			last = status
		}
		if !awaitUpdate(ctx, wake, ended) {
			return
		}
	}
}

// statusUpdate returns the changes since the last status, or a heartbeat without
// models if there are none.
func statusUpdate(last, status *wire.RunnerStatus) *wire.RunnerStatus {
	if change := directory.Difference(last, status); change != nil {
		return change
	}
	heartbeat := *status
	heartbeat.Partial = true
	heartbeat.Models = nil
	heartbeat.Quarantine = nil
	return &heartbeat
}

// awaitUpdate waits until the next status is due and returns false if the
// subscription has ended.
func awaitUpdate(ctx context.Context, wake, ended <-chan struct{}) bool {
	timer := time.NewTimer(maxStatusInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}

// receivePlacements applies the placements received on a subscription.
func (s *server) receivePlacements(stream *wire.Stream) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		if placement := frame.RunnerPlacement; placement != nil {
			s.controller.loop.Do(func() { s.controller.applyPlacement(time.Now(), placement) })
		}
	}
}

// serveAcquire grants or refuses a lease, which lasts until the stream ends.
func (s *server) serveAcquire(ctx context.Context, stream *wire.Stream, acquire *wire.Acquire) {
	arrived := time.Now()
	var result <-chan leaseOutcome
	if !s.controller.loop.Do(func() { result = s.controller.acquire(arrived, leaseOf(arrived, acquire), acquire.Stream) }) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.receiveReports(stream, acquire)
	}()
	granted := s.awaitOutcome(ctx, stream, acquire, arrived, result, ended)
	if granted {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	s.controller.loop.Do(func() { s.controller.release(time.Now(), acquire.RequestID) })
	// Closing in order, rather than cancelling, lets the last frame arrive.
	stream.Close()
	<-ended
}

// receiveReports receives what the gateway reports on the request of a lease until
// the lease ends.
func (s *server) receiveReports(stream *wire.Stream, acquire *wire.Acquire) {
	id := acquire.RequestID
	for {
		frame, err := stream.Receive()
		switch {
		case wire.IsCancelled(err):
			// The gateway gave the lease up before it sent the request.
			s.controller.loop.Do(func() { s.controller.leaseCancelled(acquire) })
			return
		case err != nil:
			// The gateway ended the lease without reporting on the request.
			return
		case frame.LimitObserved != nil:
			limit := ratelimit.Limit{Named: frame.LimitObserved.Limited, PerSecond: frame.LimitObserved.LimitPerSecond}
			s.controller.loop.Do(func() { s.controller.limitObserved(time.Now(), id, limit) })
		case frame.Released != nil:
			latency := time.Duration(frame.Released.FirstMillis) * time.Millisecond
			s.controller.loop.Do(func() {
				now := time.Now()
				s.controller.manager.RequestEnded(now, id, frame.Released.Failed, latency)
				s.controller.manager.StreamEnded(now, id, time.Duration(frame.Released.EventMicros)*time.Microsecond)
				s.controller.leaseEnded(acquire, frame.Released.Begun)
			})
			return
		default:
			return
		}
	}
}

// awaitOutcome sends the outcome of a lease request and reports whether it was
// granted.
func (s *server) awaitOutcome(ctx context.Context, stream *wire.Stream, acquire *wire.Acquire, arrived time.Time, result <-chan leaseOutcome, ended <-chan struct{}) bool {
	select {
	case outcome := <-result:
		return s.sendOutcome(stream, arrived, outcome)
	default:
	}
	// The request waits. The gateway is notified immediately that the agent is
	// alive.
	if err := stream.Send(&wire.Frame{Accepted: &wire.Accepted{RequestID: acquire.RequestID}}); err != nil {
		return false
	}
	select {
	case outcome := <-result:
		return s.sendOutcome(stream, arrived, outcome)
	case <-ended:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *server) sendOutcome(stream *wire.Stream, arrived time.Time, result leaseOutcome) bool {
	if result.refused != nil {
		_ = stream.Send(&wire.Frame{Refusal: &wire.Refusal{
			RequestID:        result.refused.ID,
			Outcome:          wire.OutcomeNotRun,
			Reason:           result.refused.Reason,
			RetryAfterMillis: uint32(result.refused.RetryAfter.Milliseconds()),
		}})
		return false
	}
	waited := uint32(time.Since(arrived).Milliseconds())
	return stream.Send(&wire.Frame{Granted: &wire.Granted{WaitedMillis: waited}}) == nil
}

func leaseOf(now time.Time, acquire *wire.Acquire) residency.Lease {
	after := func(ms uint32) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	lease := residency.Lease{
		ID:            acquire.RequestID,
		Model:         acquire.Model,
		Adapter:       acquire.Adapter,
		Route:         acquire.Route,
		Priority:      acquire.Priority,
		Deadline:      after(acquire.DeadlineMillis),
		StartBy:       after(acquire.StartMillis),
		TargetLatency: time.Duration(acquire.TargetMillis) * time.Millisecond,
		Tokens:        acquire.Tokens,
		PromptTokens:  acquire.PromptTokens,
		Repeated:      acquire.Repeated,
	}
	if acquire.Stream != nil {
		lease.StartedAtMillis = acquire.Stream.StartedAtMillis
	}
	return lease
}
