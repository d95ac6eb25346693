package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// noServer returns the URL of a server that no longer listens.
func noServer() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, header map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestCallOutcome checks what is said of a request that got no whole answer.
func TestCallOutcome(t *testing.T) {
	ours := map[string]string{HeaderRequestID: "r1", "Content-Length": "2"}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		// engine and service tell whether the call gets an answer.
		engine, service bool
		notRun          bool
	}{
		{"whole", respond(200, ours, "{}"), true, true, false},
		{"client error", respond(400, ours, "{}"), true, true, false},
		{"not run", respond(503, map[string]string{HeaderOutcome: OutcomeNotRun}, ""), false, false, true},
		{"success that claims not run", respond(200, map[string]string{
			HeaderOutcome: OutcomeNotRun, HeaderRequestID: "r1", "Content-Length": "2",
		}, "{}"), true, true, false},
		{"server error", respond(500, ours, "{}"), false, true, false},
		{"redirect", respond(307, map[string]string{"Location": "/", HeaderRequestID: "r1", "Content-Length": "0"}, ""), true, true, false},
		{"crossed", respond(200, map[string]string{HeaderRequestID: "r2", "Content-Length": "2"}, "{}"), false, false, false},
		{"no id", respond(200, map[string]string{"Content-Length": "2"}, "{}"), false, true, false},
		{"dropped", abort, false, false, false},
		{"cut", respond(200, map[string]string{HeaderRequestID: "r1", "Content-Length": "3"}, "{}"), false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			call := Call{RequestID: "r1", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}
			modelEngine := NewHTTPEngine(server.URL)
			defer modelEngine.Close()
			checkOutcome(t, "engine", call, modelEngine.Call, test.engine, test.notRun)
			checkOutcome(t, "service", call, NewHTTPService(server.URL).Call, test.service, test.notRun)
		})
	}
}

func checkOutcome(t *testing.T, who string, call Call, send func(context.Context, Call) (Response, error), whole, notRun bool) {
	t.Helper()
	answer, err := send(t.Context(), call)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	if (err == nil) != whole {
		t.Errorf("%s: error %v, want whole answer %v", who, err, whole)
	}
	if err == nil {
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("%s: error %v is no *Error", who, err)
	}
	if failure.NotRun != notRun {
		t.Errorf("%s: NotRun = %v (%v), want %v", who, failure.NotRun, err, notRun)
	}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	call := Call{RequestID: "r1", Method: http.MethodPost, Path: "/x"}
	checkOutcome(t, "engine", call, NewHTTPEngine(noServer()).Call, false, true)
	checkOutcome(t, "service", call, NewHTTPService(noServer()).Call, false, true)
}

func TestLateAnswerIsNotCalledNotRun(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	send := func(_ context.Context, call Call) (Response, error) {
		return NewHTTPService(server.URL).Call(ctx, call)
	}
	checkOutcome(t, "service", Call{RequestID: "r1", Method: http.MethodPost, Path: "/x"}, send, false, false)
}

// TestServiceCallIsSentOnce drops the second call: net/http sends a call with an
// Idempotency-Key again by itself if it was lost on a reused connection.
func TestServiceCallIsSentOnce(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 2 {
			abort(w, r)
		}
	}))
	defer server.Close()
	service := NewHTTPService(server.URL)
	call := Call{RequestID: "r1", Method: http.MethodPost, Path: "/book", IdempotencyKey: "k1"}
	checkOutcome(t, "first", call, service.Call, true, false)
	checkOutcome(t, "second", call, service.Call, false, false)
	if got := received.Load(); got != 2 {
		t.Errorf("the service got %d calls, want 2", got)
	}
}

func TestServiceHealthy(t *testing.T) {
	server := httptest.NewServer(respond(204, nil, ""))
	defer server.Close()
	if err := NewHTTPService(server.URL).Healthy(t.Context(), time.Minute); err != nil {
		t.Errorf("healthy service: %v", err)
	}
	if err := NewHTTPService(noServer()).Healthy(t.Context(), time.Minute); err == nil {
		t.Error("a service that does not listen is healthy")
	}
}
