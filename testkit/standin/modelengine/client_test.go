package modelengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var target = engine.Target{Model: "m", Version: "1"}

// start returns a new engine with 100 MiB of memory and a client of it.
func start(t *testing.T, change func(*Options)) (*Server, *engine.HTTPEngine) {
	t.Helper()
	options := DefaultOptions()
	options.MemoryMiB = 100
	options.TokenTime = time.Millisecond
	if change != nil {
		change(&options)
	}
	server := New(options)
	listener := httptest.NewServer(server)
	client := engine.NewHTTPEngine(listener.URL)
	t.Cleanup(server.Close)
	t.Cleanup(listener.Close)
	t.Cleanup(client.Close)
	return server, client
}

func order(id string, fence int64, target engine.Target) engine.Order {
	return engine.Order{ID: id, Fence: fence, Target: target, MemoryMiB: 60}
}

func load(t *testing.T, client *engine.HTTPEngine) {
	t.Helper()
	if err := client.Load(t.Context(), order("load", 1, target)); err != nil {
		t.Fatal(err)
	}
}

func call(id string, stream bool) engine.Call {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"stream":%v}`, id, stream)
	return engine.Call{
		RequestID: id, Method: http.MethodPost, Path: "/v1/chat/completions",
		ContentType: "application/json", Body: []byte(body), Target: target, Stream: stream,
	}
}

func read(ctx context.Context, client *engine.HTTPEngine, c engine.Call) (string, error) {
	response, err := client.Call(ctx, c)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func failed(t *testing.T, err error) *engine.Error {
	t.Helper()
	var e *engine.Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v is not an *engine.Error", err)
	}
	return e
}

func TestCompletions(t *testing.T) {
	server, client := start(t, nil)
	if _, err := read(t.Context(), client, call("early", false)); !failed(t, err).NotRun {
		t.Errorf("request for a target that isn't loaded: %v, want not run", err)
	}
	load(t, client)
	for _, stream := range []bool{false, true} {
		for _, id := range []string{"a", "b"} {
			body, err := read(t.Context(), client, call(id, stream))
			if err != nil {
				t.Fatal(err)
			}
			want, err := Text(target, call(id, stream).Body)
			if got, contentErr := Content([]byte(body), stream); err != nil || contentErr != nil || got != want {
				t.Errorf("response %q, want %q (%v)", got, want, err)
			}
		}
	}
	if got := server.Journal().Violations; got != (Violations{RunsNotLoaded: 1}) {
		t.Errorf("violations %+v", got)
	}
}

// TestCompletionsCarryCreationTime checks the creation time in complete responses
// and in the events of streams.
func TestCompletionsCarryCreationTime(t *testing.T) {
	now := time.Unix(1000, 0)
	_, client := start(t, func(o *Options) { o.Now = func() time.Time { return now } })
	load(t, client)
	for _, stream := range []bool{false, true} {
		body, err := read(t.Context(), client, call("a", stream))
		if err != nil {
			t.Fatal(err)
		}
		var completion Completion
		first, _, _ := strings.Cut(strings.TrimPrefix(body, "data: "), "\n\n")
		if err := json.Unmarshal([]byte(first), &completion); err != nil {
			t.Fatalf("response %q: %v", body, err)
		}
		if completion.Created != now.Unix() {
			t.Errorf("stream %t: created %d, want %d", stream, completion.Created, now.Unix())
		}
		now = now.Add(time.Minute)
	}
}

func TestMismatchedAndLateResponses(t *testing.T) {
	server, client := start(t, nil)
	load(t, client)
	server.SetFaults(Faults{CrossNext: 1})
	if _, err := read(t.Context(), client, call("a", false)); failed(t, err).NotRun {
		t.Error("a mismatched response is reported as not run")
	}
	server.SetFaults(Faults{DelayResponsesMillis: int(time.Hour / time.Millisecond)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := read(ctx, client, call("late", false)); failed(t, err).NotRun {
		t.Error("a late response is reported as not run")
	}
	server.SetFaults(Faults{})
	body, err := read(t.Context(), client, call("next", false))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Content([]byte(body), false)
	if want, _ := Text(target, call("next", false).Body); err != nil || got != want {
		t.Errorf("the next request got %q, %v", body, err)
	}
}

// TestResumeAfterTruncation truncates a stream and a complete response at every
// seventh byte and resumes them. The clock is fixed so that all responses are
// identical to the complete one.
func TestResumeAfterTruncation(t *testing.T) {
	server, client := start(t, func(o *Options) {
		o.TokenTime = 0
		o.Now = func() time.Time { return time.Unix(1000, 0) }
	})
	load(t, client)
	for _, stream := range []bool{true, false} {
		complete, err := read(t.Context(), client, call("r", stream))
		if err != nil {
			t.Fatal(err)
		}
		for length := 1; length < len(complete); length += 7 {
			server.SetFaults(Faults{CutNextAfterBytes: int64(length)})
			start, err := read(t.Context(), client, call("r", stream))
			if err == nil || len(start) != length {
				t.Fatalf("truncated at %d: %d bytes, %v", length, len(start), err)
			}
			response, err := client.Resume(t.Context(), "r", int64(length))
			if err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || start+string(rest) != complete {
				t.Fatalf("truncated at %d: resumed to %q, %v", length, start+string(rest), err)
			}
		}
	}
}

func TestLoadBeyondMemoryIsRefused(t *testing.T) {
	server, client := start(t, nil)
	load(t, client)
	other := engine.Target{Model: "n", Version: "1"}
	err := client.Load(t.Context(), order("second", 1, other))
	if f := failed(t, err); !f.NotRun || f.Status != http.StatusInsufficientStorage {
		t.Errorf("load beyond the memory: %v", err)
	}
	if got := server.Journal().Violations.Overcommits; got != 1 {
		t.Errorf("%d overcommits counted, want 1", got)
	}
	if err := client.Unload(t.Context(), order("unload", 1, target)); err != nil {
		t.Fatal(err)
	}
	if err := client.Load(t.Context(), order("third", 1, other)); err != nil {
		t.Errorf("load after the unload: %v", err)
	}
}

func TestStaleFencingTokenIsRefusedIfChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server, client := start(t, func(o *Options) { o.CheckFences = checks })
		if err := client.SetRole(t.Context(), engine.Order{ID: "new", Fence: 2, Role: "decode"}); err != nil {
			t.Fatal(err)
		}
		err := client.Load(t.Context(), order("old", 1, target))
		if checks && !failed(t, err).NotRun {
			t.Errorf("stale order: %v, want not run", err)
		}
		if !checks && err != nil {
			t.Errorf("stale order at an engine that doesn't check: %v", err)
		}
		if stale := server.Journal().Violations.StaleOrders; (stale == 0) != checks {
			t.Errorf("%d stale orders counted, checks = %v", stale, checks)
		}
	}
}

// TestLoadContinuesAfterCallerTimeout cancels a load and repeats the order, which
// must not start a second load.
func TestLoadContinuesAfterCallerTimeout(t *testing.T) {
	server, client := start(t, nil)
	server.SetFaults(Faults{FreezeLoads: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := client.Load(ctx, order("load", 1, target)); failed(t, err).NotRun {
		t.Error("a cancelled load is reported as not run")
	}
	state, err := client.State(t.Context())
	if err != nil || len(state.Residents) != 1 || state.Residents[0].State != engine.StateLoading {
		t.Fatalf("state %+v, %v", state, err)
	}
	server.SetFaults(Faults{})
	load(t, client)
	loads := 0
	for _, entry := range server.Journal().Entries {
		if entry.Event == EventLoaded {
			loads++
		}
	}
	if loads != 1 {
		t.Errorf("%d loads, want 1", loads)
	}
}

func TestCancelRunningRequest(t *testing.T) {
	server, client := start(t, func(o *Options) { o.TokenTime = time.Hour })
	load(t, client)
	done := make(chan error, 1)
	go func() {
		_, err := read(t.Context(), client, call("r", true))
		done <- err
	}()
	for client.Cancel(t.Context(), "r") != nil {
		time.Sleep(time.Millisecond)
	}
	if err := <-done; failed(t, err).NotRun {
		t.Error("a cancelled request is reported as not run")
	}
	if running := server.State().Running; running > 1 {
		t.Errorf("%d running", running)
	}
}
