package callers

import (
	"context"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	streamBody = `{"model":"ink","stream":true}`
	firstEvent = "data: {\"t\":\"a\"}\n\n"
)

func TestWholeStream(t *testing.T) {
	_, server := startServer(t, testConfig(answer(200, "text/event-stream; charset=utf-8",
		"data: {\"t\"", ":\"a\"}\n", "\ndata: [DO", "NE]\n\n")))
	response, body := send(t, server, "POST", pathChatCompletions, streamBody)
	if response.StatusCode != 200 || body != firstEvent+string(doneEvent) {
		t.Errorf("got %d %q", response.StatusCode, body)
	}
}

// TestBrokenStreams proves that a stream which isn't whole ends by an error event
// and without [DONE].
func TestBrokenStreams(t *testing.T) {
	lateRefusal := func(_ context.Context, _ *wire.Request, sink Sink) *wire.Refusal {
		_ = sink.Head(200, eventStreamType)
		_ = sink.Write([]byte(firstEvent + string(doneEvent)))
		return &wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonUnavailable, RetryAfterMillis: 20}
	}
	cases := map[string]dispatchFunc{
		"refusal behind the end mark": lateRefusal,
		"no end mark":                 answer(200, eventStreamType, firstEvent),
		"cut within an event":         answer(200, eventStreamType, firstEvent, "data: {"),
		"more behind the end mark":    answer(200, eventStreamType, firstEvent+string(doneEvent), firstEvent),
		"event beyond its bound":      answer(200, eventStreamType, firstEvent, strings.Repeat("x", maxEventBytes+1)),
	}
	for name, dispatch := range cases {
		t.Run(name, func(t *testing.T) {
			_, server := startServer(t, testConfig(dispatch))
			_, body := send(t, server, "POST", pathChatCompletions, streamBody)
			rest, ok := strings.CutPrefix(body, firstEvent+"event: error\ndata: ")
			if !ok || strings.Contains(body, "[DONE]") {
				t.Fatalf("got %q", body)
			}
			if !strings.Contains(rest, `"outcome":"unknown"`) || !strings.HasSuffix(rest, "}\n\n") {
				t.Errorf("error event %q", rest)
			}
		})
	}
}

func TestRefusedStream(t *testing.T) {
	_, server := startServer(t, testConfig(refuse(wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonQueueFull})))
	response, body := send(t, server, "POST", pathChatCompletions, streamBody)
	wantRefusal(t, response, body, 429, "not-run", wire.ReasonQueueFull)
}

func TestEngineErrorInPlaceOfStream(t *testing.T) {
	_, server := startServer(t, testConfig(answer(400, "application/json", `{"error":{}}`)))
	response, body := send(t, server, "POST", pathChatCompletions, streamBody)
	if response.StatusCode != 400 || body != `{"error":{}}` {
		t.Errorf("got %d %q", response.StatusCode, body)
	}
}

// TestStreamFlushes proves that each event reaches the caller before the next is
// made.
func TestStreamFlushes(t *testing.T) {
	next := make(chan struct{})
	_, server := startServer(t, testConfig(func(_ context.Context, _ *wire.Request, sink Sink) *wire.Refusal {
		_ = sink.Head(200, eventStreamType)
		for range 3 {
			_ = sink.Write([]byte(firstEvent))
			<-next
		}
		_ = sink.Write(doneEvent)
		return nil
	}))
	response := open(t, server, streamBody)
	defer response.Body.Close()
	for range 3 {
		got := make([]byte, len(firstEvent))
		if _, err := response.Body.Read(got); err != nil || string(got) != firstEvent {
			t.Fatalf("got %q %v", got, err)
		}
		next <- struct{}{}
	}
}

// TestSplitEvents proves that the way in which a stream is cut into chunks
// changes nothing.
func TestSplitEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.SampledFrom([]string{
			"data: 1\n\n", "data: a\r\n\r\n", ": note\n\n", "event: x\ndata: [DONE] not\n\n",
		}), 0, 6).Draw(t, "events")
		stream := strings.Join(events, "") + "data: [DONE]\n\n"
		var out, partial []byte
		done := false
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(t, "chunk")
			data := append(partial, stream[:size]...)
			stream = stream[size:]
			var complete []byte
			complete, done, partial = splitEvents(data)
			out = append(out, complete...)
		}
		if !done || len(partial) > 0 || string(out) != strings.Join(events, "") {
			t.Fatalf("got %q, done %v, rest %q", out, done, partial)
		}
	})
}

func TestRefusalGolden(t *testing.T) {
	golden := goldie.New(t)
	golden.Assert(t, "refusal_overload", encodeRefusal("id", &wire.Refusal{
		Outcome: wire.OutcomeNotRun, Reason: wire.ReasonQueueFull, Detail: "queue \"a\" is full", RetryAfterMillis: 1500,
	}))
	golden.Assert(t, "refusal_unknown", encodeRefusal("id", &wire.Refusal{Reason: wire.ReasonBoundLost}))
}

// TestRefusalClasses lists the status of each reason, as docs/METRICS.md does.
func TestRefusalClasses(t *testing.T) {
	want := map[wire.Reason]int{
		wire.ReasonInvalid: 400, ReasonUnauthenticated: 401, wire.ReasonNotFound: 404, ReasonMethod: 405,
		ReasonBodyTimeout: 408, wire.ReasonBoundLost: 409, ReasonTooLarge: 413, wire.ReasonKeyReused: 422,
		wire.ReasonQueueFull: 429, wire.ReasonRate: 429, wire.ReasonCancelled: 499, wire.ReasonEngine: 502,
		wire.ReasonLeaving: 503, wire.ReasonNoPermit: 503, wire.ReasonNoMemory: 503, wire.ReasonLoadFailed: 503,
		wire.ReasonStore: 503, wire.ReasonBoundElse: 503, wire.ReasonUnavailable: 503, wire.ReasonShuttingDown: 503,
		wire.ReasonDeadline: 504, "later-version": 500,
	}
	for reason, status := range want {
		if got := classOf(reason).status; got != status {
			t.Errorf("%s: got %d, want %d", reason, got, status)
		}
	}
	if len(errorClasses) != len(want)-1 {
		t.Errorf("%d reasons have a class, %d are listed here", len(errorClasses), len(want)-1)
	}
	if got := retryAfterSeconds(1001e6); got != "2" {
		t.Errorf("1.001 s become %q s, want 2", got)
	}
}
