package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var (
	chunkSizes = []int{0, 64, 128, 256}
	// tokenEvent is the event of one output token as an engine streams it.
	tokenEvent = []byte(`data: {"id":"cmpl-0b8f2c1e","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" token"}}]}` + "\n\n")
	endEvent   = []byte("data: [DONE]\n\n")
	// promptBody is a request body of about two kilobytes.
	promptBody = `{"model":"model-001","stream":true,"max_tokens":256,"messages":[{"role":"user","content":"` +
		strings.Repeat("match this shade ", 120) + `"}]}`
)

const requestID = "0b8f2c1e-7a53-4e0d-9f41-000000000001"

// measureCodec measures encoding and decoding of frames.
func measureCodec(_ context.Context, report *report) error {
	encode := &series{name: "wire: encode a chunk, processor", unit: "µs", per: "B"}
	decode := &series{name: "wire: decode a chunk, processor", unit: "µs", per: "B"}
	allocs := &series{name: "wire: encode and decode a chunk, allocations", unit: "allocs", per: "B"}
	for _, size := range []int{32, 128, 512, 2048} {
		frame := &wire.Frame{Chunk: &wire.Chunk{RequestID: requestID, Offset: 1 << 20, Data: make([]byte, size)}}
		var buffer bytes.Buffer
		if err := wire.WriteFrame(&buffer, frame); err != nil {
			return err
		}
		encoded := buffer.Bytes()
		encoding := measureCost(func() { _ = wire.WriteFrame(io.Discard, frame) })
		decoding := measureCost(func() { _, _ = wire.ReadFrame(bytes.NewReader(encoded)) })
		encode.add(size, encoding.micros)
		decode.add(size, decoding.micros)
		allocs.add(size, encoding.allocs+decoding.allocs)
	}
	report.add(encode, decode, allocs)
	return nil
}

// streamingDispatcher responds to each request with a stream of tokens.
type streamingDispatcher struct{ tokens int }

func (d streamingDispatcher) Dispatch(_ context.Context, _ *wire.Request, sink callers.Sink) *wire.Refusal {
	if err := sink.Head(http.StatusOK, "text/event-stream"); err != nil {
		return &wire.Refusal{Reason: wire.ReasonCancelled}
	}
	for range d.tokens {
		if err := sink.Write(tokenEvent); err != nil {
			return &wire.Refusal{Reason: wire.ReasonCancelled}
		}
	}
	if err := sink.Write(endEvent); err != nil {
		return &wire.Refusal{Reason: wire.ReasonCancelled}
	}
	return nil
}

// openAccess grants every API key the same plan.
type openAccess struct{}

func (a openAccess) Access(callers.KeyDigest) (callers.Access, bool) { return a, true }
func (a openAccess) Loaded() bool                                    { return true }
func (openAccess) Plan() callers.Plan                                { return callers.Plan{Name: "plan-001", Weight: 1} }
func (openAccess) ListsRevision() int64                              { return 1 }
func (openAccess) Models() []string                                  { return nil }

func (openAccess) Model(name string) (callers.Target, bool) {
	return callers.Target{Model: name, Version: "1"}, true
}
func (openAccess) Service(string) (callers.Service, bool) { return callers.Service{}, false }

func newCallersHandler(dispatcher callers.Dispatcher) (http.Handler, error) {
	return callers.New(callers.Config{
		Resolver:   openAccess{},
		Dispatcher: dispatcher,
		Limits: settings.EntryLimits{
			MaxBodyBytes: 1 << 20, MaxRequests: 1000, DefaultDeadlineMillis: 60000, MaxDeadlineMillis: 60000,
		},
	})
}

func newPrompt(url string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(promptBody))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer bench")
	return request, nil
}

// measureCallers measures the callers' interface without sockets and over loopback.
func measureCallers(_ context.Context, report *report) error {
	handler := &series{name: "callers: one stream without a socket, processor", unit: "µs", per: "token"}
	allocs := &series{name: "callers: one stream without a socket, allocations", unit: "allocs", per: "token"}
	loopback := &series{name: "callers: one stream over loopback HTTP with its client, processor", unit: "µs", per: "token"}
	for _, tokens := range chunkSizes {
		h, err := newCallersHandler(streamingDispatcher{tokens: tokens})
		if err != nil {
			return err
		}
		alone := measureCost(func() {
			request, err := newPrompt("")
			if err == nil {
				h.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			}
		})
		handler.add(tokens, alone.micros)
		allocs.add(tokens, alone.allocs)
		server := httptest.NewServer(h)
		loopback.add(tokens, measureCost(func() { readStream(server.URL) }).micros)
		server.Close()
	}
	report.add(handler, allocs, loopback)
	return measureOpenStreams(report)
}

// waitingDispatcher holds requests until their caller disconnects.
type waitingDispatcher struct{}

func (waitingDispatcher) Dispatch(ctx context.Context, _ *wire.Request, sink callers.Sink) *wire.Refusal {
	_ = sink.Head(http.StatusOK, "text/event-stream")
	<-ctx.Done()
	return &wire.Refusal{Reason: wire.ReasonCancelled}
}

// measureOpenStreams measures the memory of open streams, whose callers are plain
// sockets in the same process.
func measureOpenStreams(report *report) error {
	open := &series{name: "callers: open streams of 2 kB prompts, heap and stacks", unit: "B", per: "stream"}
	h, err := newCallersHandler(waitingDispatcher{})
	if err != nil {
		return err
	}
	server := httptest.NewServer(h)
	defer server.Close()
	base := liveHeap()
	opened := 0
	for _, size := range []int{100, 400, 900} {
		for ; opened < size; opened++ {
			conn, err := openPrompt(server.Listener.Addr().String())
			if err != nil {
				return err
			}
			defer conn.Close()
		}
		open.add(size, liveHeap()-base)
	}
	report.add(open)
	return nil
}

// openPrompt sends a prompt and waits for the first byte of the response.
func openPrompt(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	request, err := newPrompt("http://" + address)
	if err != nil {
		return nil, err
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	_, err = conn.Read(make([]byte, 1))
	return conn, err
}

func readStream(url string) {
	request, err := newPrompt(url)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// discardWriter is an http.ResponseWriter that discards everything.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (w *discardWriter) SetReadDeadline(time.Time) error  { return nil }

// agentHandler responds like an agent, without an engine. The number of tokens of
// a response is the request's Tokens.
type agentHandler struct{ runner int }

// ServeStream implements wire.Handler.
func (h *agentHandler) ServeStream(ctx context.Context, _ wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.Receive()
	if err != nil {
		return
	}
	switch {
	case frame.Probe != nil:
		status := makeStatus(h.runner, 1)
		_ = stream.Send(&wire.Frame{Status: &status})
	case frame.Sync != nil:
		waitFor(ctx, stream, time.Duration(frame.Sync.WaitMillis)*time.Millisecond)
		_ = stream.Send(&wire.Frame{Update: &wire.Update{PlacementRevision: frame.Sync.PlacementRevision}})
	case frame.Request != nil:
		_ = answerRequest(stream, h.runner, frame.Request)
	}
}

func waitFor(ctx context.Context, stream *wire.Stream, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-stream.Context().Done():
	}
}

func answerRequest(stream *wire.Stream, runner int, request *wire.Request) error {
	status := makeStatus(runner, 1)
	if err := stream.Send(&wire.Frame{Accepted: &wire.Accepted{RequestID: request.ID, Incarnation: status.Incarnation, Status: &status}}); err != nil {
		return err
	}
	if err := stream.Send(&wire.Frame{Head: &wire.Head{RequestID: request.ID, StatusCode: http.StatusOK, ContentType: "text/event-stream"}}); err != nil {
		return err
	}
	digest := xxhash.New()
	var offset int64
	for range request.Tokens {
		chunk := &wire.Chunk{RequestID: request.ID, Offset: offset, Data: tokenEvent}
		if err := stream.Send(&wire.Frame{Chunk: chunk}); err != nil {
			return err
		}
		_, _ = digest.Write(tokenEvent)
		offset += int64(len(tokenEvent))
	}
	return stream.Send(&wire.Frame{End: &wire.End{RequestID: request.ID, Length: offset, Sum: digest.Sum64(), Status: &status}})
}

// sendRequest sends a request over the internal protocol and reads the complete
// response.
func sendRequest(ctx context.Context, node *wire.Node, host, address string, tokens int) error {
	stream, err := node.Open(ctx, host, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	request := &wire.Request{
		ID: requestID, Plan: "plan-001", Model: "model-001", Version: "1", Stream: true, Idempotent: true,
		Tokens: int64(tokens), BudgetMillis: 60000, Body: []byte(promptBody),
	}
	if err := stream.Send(&wire.Frame{Request: request}); err != nil {
		return err
	}
	stream.CloseSend()
	digest := xxhash.New()
	for {
		frame, err := stream.Receive()
		switch {
		case err != nil:
			return err
		case frame.Chunk != nil:
			_, _ = digest.Write(frame.Chunk.Data)
		case frame.End != nil && frame.End.Sum != digest.Sum64():
			return fmt.Errorf("response of %d bytes has a different digest", frame.End.Length)
		case frame.End != nil:
			return nil
		}
	}
}
