package agent

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// resumeGrace is how long a request continues after its stream broke, so that the
// entry can request the rest of the response.
const resumeGrace = 5 * time.Second

// server handles the streams that entries open.
type server struct {
	controller *controller
}

// serve serves a stream by its first frame.
func (s *server) serve(ctx context.Context, _ wire.Peer, stream *wire.Stream, first *wire.Frame) bool {
	switch {
	case first.Request != nil:
		s.serveRequest(ctx, stream, first.Request)
	case first.Resume != nil:
		s.serveResume(ctx, stream, first.Resume)
	case first.Probe != nil:
		s.serveProbe(stream, first.Probe)
	default:
		return false
	}
	return true
}

func (s *server) serveProbe(stream *wire.Stream, probe *wire.Probe) {
	var status *wire.Status
	s.controller.loop.Do(func() {
		if probe.Leaving {
			s.controller.hostMarkedLeaving(s.controller.now())
		}
		status = s.controller.status(time.Now())
	})
	if status != nil {
		_ = stream.Send(&wire.Frame{Status: status})
	}
}

func (s *server) serveRequest(ctx context.Context, stream *wire.Stream, request *wire.Request) {
	var rs *requestState
	var status *wire.Status
	served := s.controller.loop.Do(func() {
		rs = s.controller.submit(time.Now(), request)
		status = s.controller.status(time.Now())
	})
	if !served {
		return
	}
	if refusal := rs.immediateRefusal(); refusal != nil {
		refusal.Status = status
		_ = stream.Send(&wire.Frame{Refusal: refusal})
		return
	}
	s.accept(ctx, stream, rs, 0, status)
}

// accept confirms a request or a resume at once, since an entry doesn't wait long for
// a first frame, and then forwards the response from an offset.
func (s *server) accept(ctx context.Context, stream *wire.Stream, rs *requestState, offset int64, status *wire.Status) {
	accepted := &wire.Accepted{RequestID: rs.request.ID, Incarnation: s.controller.incarnation, Status: status}
	if err := s.forward(ctx, stream, rs, offset, accepted); err != nil {
		s.streamLost(rs, err)
	}
}

// immediateRefusal returns a copy of the refusal of a request that was refused on
// arrival, or nil.
func (rs *requestState) immediateRefusal() *wire.Refusal {
	head, _, refusal := rs.response.result()
	if head != nil || refusal == nil {
		return nil
	}
	copied := *refusal
	return &copied
}

func (s *server) serveResume(ctx context.Context, stream *wire.Stream, resume *wire.Resume) {
	var rs *requestState
	var status *wire.Status
	s.controller.loop.Do(func() {
		if resume.Incarnation == s.controller.incarnation {
			rs = s.controller.requests[resume.RequestID]
		}
		status = s.controller.status(time.Now())
	})
	if rs == nil || resume.Offset < 0 {
		_ = stream.Send(&wire.Frame{Refusal: &wire.Refusal{
			RequestID:        resume.RequestID,
			Outcome:          wire.OutcomeUnknown,
			Reason:           wire.ReasonNotFound,
			RetryAfterMillis: millis(defaultRetryAfter),
		}})
		return
	}
	s.accept(ctx, stream, rs, resume.Offset, status)
}

// forward sends a confirmation and the response from an offset, and detects when the
// entry cancels the stream.
func (s *server) forward(ctx context.Context, stream *wire.Stream, rs *requestState, offset int64, accepted *wire.Accepted) error {
	s.controller.streams.Add(1)
	defer s.controller.streams.Add(-1)
	rs.attachStream()
	defer rs.detachStream()
	if err := stream.Send(&wire.Frame{Accepted: accepted}); err != nil {
		return err
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	err := forwardResponse(streamCtx, stream, rs.response, offset, s.currentStatus)
	if err == nil {
		return nil
	}
	if cause := context.Cause(stream.Context()); cause != nil {
		return cause
	}
	return err
}

func (s *server) currentStatus() *wire.Status {
	var status *wire.Status
	s.controller.loop.Do(func() { status = s.controller.status(time.Now()) })
	return status
}

// streamLost cancels a request whose stream the entry cancelled. If the connection
// broke instead, the entry has resumeGrace to resume the response. A request whose
// response another stream forwards runs on.
func (s *server) streamLost(rs *requestState, err error) {
	var streamErr *quic.StreamError
	if errors.As(err, &streamErr) && streamErr.Remote {
		s.controller.loop.Post(func() { s.cancelAbandoned(rs) })
		return
	}
	rs.startGracePeriod(resumeGrace, func() {
		s.controller.loop.Post(func() { s.cancelAbandoned(rs) })
	})
}

// cancelAbandoned cancels a request unless a stream forwards its response. It runs on
// the loop.
func (s *server) cancelAbandoned(rs *requestState) {
	if !rs.hasStream() {
		s.controller.cancelRequest(s.controller.now(), rs)
	}
}
