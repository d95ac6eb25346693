package runneragent

import (
	"context"
	"errors"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	testService  = "engine"
	testSoftware = "v1"
	keepMillis   = 60_000
)

// acquireStream returns a lease request for a stream that the request begins.
func acquireStream(id string, ordinal int) *wire.Frame {
	frame := acquire(id, "m")
	frame.Acquire.Stream = &wire.StreamAttempt{
		StreamID: id, Service: testService, Software: testSoftware, Ordinal: ordinal, StartedAtMillis: startedAt, KeepMillis: keepMillis,
	}
	return frame
}

// grantedStream returns the stream of a granted lease.
func (f *fixture) grantedStream(frame *wire.Frame) *wire.Stream {
	f.t.Helper()
	stream := f.open(frame)
	if outcome := f.outcomeOf(stream); outcome.Granted == nil {
		f.t.Fatalf("outcome %+v", outcome)
	}
	return stream
}

// origin asks the agent for the origin of a stream.
func (f *fixture) origin(stream string) *wire.StreamOrigin {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), eventTimeout)
	defer cancel()
	frame, err := f.node.Call(ctx, agentID, f.address, &wire.Frame{OriginQuery: &wire.OriginQuery{StreamID: stream}})
	if err != nil || frame.OriginAnswer == nil {
		f.t.Fatalf("answer %+v, error %v", frame, err)
	}
	return frame.OriginAnswer.Origin
}

// awaitOrigin waits until the agent's answer meets a condition.
func (f *fixture) awaitOrigin(stream string, condition func(*wire.StreamOrigin) bool) {
	f.t.Helper()
	var got *wire.StreamOrigin
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got = f.origin(stream); condition(got) {
			return
		}
	}
	f.t.Fatalf("origin %+v", got)
}

func isForgotten(origin *wire.StreamOrigin) bool { return origin == nil }

// Guards against a stream that nobody knows while its first event may be on its way.
func TestAgentKnowsOriginFromTheGrantOn(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	stream := f.grantedStream(acquireStream("q1", 3))
	defer stream.Cancel()
	want := wire.StreamOrigin{Service: testService, Software: testSoftware, RequestID: "q1", Ordinal: 3}
	got := f.origin("q1")
	if got == nil {
		t.Fatal("the origin isn't known")
	}
	got.AgeMillis = 0
	if *got != want {
		t.Errorf("got %+v, want %+v", *got, want)
	}
	if other := f.origin("q2"); other != nil {
		t.Errorf("got %+v of a stream that never began", other)
	}
}

// Guards against origins of attempts that brought no event.
func TestAgentForgetsOriginOfStreamWithoutEvents(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	for _, end := range []struct {
		name string
		end  func(*wire.Stream)
	}{
		{"released", func(s *wire.Stream) { _ = s.Send(&wire.Frame{Released: &wire.Released{}}); s.Close() }},
		{"cancelled", func(s *wire.Stream) { s.Cancel() }},
	} {
		t.Run(end.name, func(t *testing.T) {
			stream := f.grantedStream(acquireStream(end.name, 1))
			if f.origin(end.name) == nil {
				t.Error("the origin isn't known during the lease")
			}
			end.end(stream)
			f.awaitOrigin(end.name, isForgotten)
		})
	}
}

// Guards against streams with events that their agent forgets with the lease.
func TestAgentKeepsOriginOfStreamWithEvents(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	stream := f.grantedStream(acquireStream("q1", 1))
	if err := stream.Send(&wire.Frame{Released: &wire.Released{Begun: true}}); err != nil {
		t.Fatal(err)
	}
	stream.Close()
	f.awaitOrigin("q1", func(origin *wire.StreamOrigin) bool { return origin != nil && origin.Confirmed })
}

// Guards against an origin that is lost with the entry that served the stream.
func TestAgentKeepsOriginWhenTheEntryIsGone(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	f.grantedStream(acquireStream("q1", 1))
	f.node.Close()
	f.connect(f.store, discardLogger())
	f.awaitPlacement()
	time.Sleep(100 * time.Millisecond)
	if f.origin("q1") == nil {
		t.Error("the origin isn't known to the next entry")
	}
}

// Guards against a stream that is forgotten with the request that resumed it in vain.
func TestResumedStreamKeepsItsOrigin(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	frame := acquireStream("q2", 1)
	frame.Acquire.Stream.StreamID = "q1"
	frame.Acquire.Stream.Begun = true
	f.grantedStream(frame).Cancel()
	time.Sleep(100 * time.Millisecond)
	if origin := f.origin("q1"); origin == nil || !origin.Confirmed {
		t.Errorf("origin %+v", origin)
	}
}

// Guards against a stream that is recorded at the version of an earlier incarnation of the
// runner.
func TestAgentRefusesLeaseForAnotherIncarnation(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	frame := acquireStream("q1", 1)
	frame.Acquire.Stream.StartedAtMillis = startedAt - 1
	stream := f.open(frame)
	defer stream.Cancel()
	if outcome := f.outcomeOf(stream); outcome.Refusal == nil || outcome.Refusal.Reason != wire.ReasonReplaced {
		t.Errorf("outcome %+v", outcome)
	}
	if origin := f.origin("q1"); origin != nil {
		t.Errorf("origin %+v", origin)
	}
}

// Guards against a stream that is lost with the host of its server.
func TestAgentKnowsOriginThatWasHandedOver(t *testing.T) {
	f := startAgent(t)
	origin := wire.StreamOrigin{Service: testService, Software: "v2", RequestID: "q1", Ordinal: 1, Confirmed: true}
	stream := f.open(&wire.Frame{OriginHandover: &wire.OriginHandover{StreamID: "q1", Origin: origin, KeepMillis: keepMillis}})
	stream.Close()
	f.awaitOrigin("q1", func(got *wire.StreamOrigin) bool {
		return got != nil && got.Software == "v2" && got.Service == testService && got.Confirmed
	})
}

// resumeStream returns a lease request for a stream that the caller has events of.
func resumeStream(id string) *wire.Frame {
	frame := acquireStream(id, 1)
	frame.Acquire.Stream.Begun = true
	return frame
}

// Guards against a runner that restarts with other software after its last report, and goes
// on with a stream of the software before.
func TestResumedStreamIsNotGrantedOnAnEarlierReport(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	f.grantedStream(resumeStream("q1")).Cancel()
	f.runner.restart()
	stream := f.open(resumeStream("q2"))
	defer stream.Cancel()
	if outcome := f.outcomeOf(stream); outcome.Refusal == nil || outcome.Refusal.Reason != wire.ReasonReplaced {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestResumedStreamIsRefusedWithoutAReport(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	f.grantedStream(resumeStream("q1")).Cancel()
	f.runner.setError(errors.New("no response"))
	stream := f.open(resumeStream("q2"))
	defer stream.Cancel()
	if outcome := f.outcomeOf(stream); outcome.Refusal == nil || outcome.Refusal.Reason != wire.ReasonUnavailable {
		t.Errorf("outcome %+v", outcome)
	}
}
