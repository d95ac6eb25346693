package runneragent

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/directory"
	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// statusInterval is the longest time between two statuses to a gateway.
	statusInterval = time.Second
	// statusPause is the least time between two, so that changes are sent
	// together.
	statusPause = 20 * time.Millisecond
)

// server answers the streams that gateways open.
type server struct {
	controller *controller
}

// ServeStream implements wire.Handler.
func (s *server) ServeStream(ctx context.Context, peer wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.ReceiveFirst()
	if err != nil {
		return
	}
	switch {
	case frame.Acquire != nil:
		s.serveAcquire(ctx, stream, frame.Acquire)
	case frame.Subscribe != nil:
		s.serveSubscribe(ctx, stream, frame.Subscribe)
	case frame.StartLoad != nil:
		model := frame.StartLoad.Model
		s.controller.loop.Do(func() { s.controller.startGranted(time.Now(), model) })
	default:
		s.controller.logger.Warn("unexpected frame", "peer", peer.Host)
		stream.Cancel()
	}
}

// serveSubscribe sends statuses and takes in placements until the stream ends.
func (s *server) serveSubscribe(ctx context.Context, stream *wire.Stream, subscribe *wire.Subscribe) {
	s.controller.logger.Info("gateway subscribed", "entry", subscribe.Entry)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.takePlans(stream)
	}()
	s.sendStatuses(ctx, stream, ended)
	stream.Abort()
	<-ended
	s.controller.logger.Info("gateway left", "entry", subscribe.Entry)
}

// sendStatuses sends the first status as a whole and then what has changed of it,
// until the subscription ends.
func (s *server) sendStatuses(ctx context.Context, stream *wire.Stream, ended <-chan struct{}) {
	wake, end := s.controller.subscribers.subscribe()
	defer end()
	var last *wire.RunnerStatus
	for {
		if status := s.controller.subscribers.status(); status != nil {
			if err := stream.Send(&wire.Frame{RunnerStatus: news(last, status)}); err != nil {
				return
			}
			last = status
		}
		if !awaitChange(ctx, wake, ended) {
			return
		}
	}
}

// news is what has changed since the last status, and a sign of life if nothing
// has.
func news(last, status *wire.RunnerStatus) *wire.RunnerStatus {
	if change := directory.Difference(last, status); change != nil {
		return change
	}
	alive := *status
	alive.Partial = true
	alive.Models = nil
	return &alive
}

// awaitChange waits until the next status is due and returns false if the
// subscription has ended.
func awaitChange(ctx context.Context, wake, ended <-chan struct{}) bool {
	timer := time.NewTimer(statusInterval)
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

// takePlans takes in what a gateway sends on a subscription.
func (s *server) takePlans(stream *wire.Stream) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		if plan := frame.RunnerPlacement; plan != nil {
			s.controller.loop.Do(func() { s.controller.planned(time.Now(), plan) })
		}
	}
}

// serveAcquire grants or refuses a use, which lasts until the stream ends.
func (s *server) serveAcquire(ctx context.Context, stream *wire.Stream, acquire *wire.Acquire) {
	arrived := time.Now()
	var result <-chan outcome
	if !s.controller.loop.Do(func() { result = s.controller.acquire(arrived, useOf(arrived, acquire)) }) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.takeRelease(stream, acquire.RequestID)
	}()
	granted := s.await(ctx, stream, acquire, arrived, result, ended)
	if granted {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	s.controller.loop.Do(func() { s.controller.release(time.Now(), acquire.RequestID) })
	// An orderly end lets the last frame arrive.
	stream.Close()
	<-ended
}

// takeRelease waits for the end of a use.
func (s *server) takeRelease(stream *wire.Stream, id string) {
	frame, err := stream.Receive()
	if err != nil || frame.Released == nil {
		// The gateway gave the use up without a word on the request.
		return
	}
	first := time.Duration(frame.Released.FirstMillis) * time.Millisecond
	s.controller.loop.Do(func() { s.controller.manager.RequestEnded(time.Now(), id, frame.Released.Failed, first) })
}

// await answers an Acquire and tells whether it was granted.
func (s *server) await(ctx context.Context, stream *wire.Stream, acquire *wire.Acquire, arrived time.Time, result <-chan outcome, ended <-chan struct{}) bool {
	select {
	case first := <-result:
		return s.answer(stream, arrived, first)
	default:
	}
	// The use waits. The gateway learns at once that the agent lives.
	if err := stream.Send(&wire.Frame{Accepted: &wire.Accepted{RequestID: acquire.RequestID}}); err != nil {
		return false
	}
	select {
	case first := <-result:
		return s.answer(stream, arrived, first)
	case <-ended:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *server) answer(stream *wire.Stream, arrived time.Time, result outcome) bool {
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

func useOf(now time.Time, acquire *wire.Acquire) residency.Lease {
	after := func(ms uint32) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	return residency.Lease{
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
}
