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

// closedServerURL returns the URL of a server that no longer listens.
func closedServerURL() string {
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

// TestCallOutcome checks the reported outcome of calls without a complete response.
func TestCallOutcome(t *testing.T) {
	ours := map[string]string{HeaderRequestID: "r1", "Content-Length": "2"}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		// engine and service are set if the call gets a complete response.
		engine, service bool
		notRun          bool
	}{
		{"whole", respond(200, ours, "{}"), true, true, false},
		{"client error", respond(400, ours, "{}"), true, true, false},
		{"not run", respond(503, map[string]string{HeaderOutcome: OutcomeNotRun}, ""), false, false, true},
		{"success with outcome not run", respond(200, map[string]string{
			HeaderOutcome: OutcomeNotRun, HeaderRequestID: "r1", "Content-Length": "2",
		}, "{}"), true, true, false},
		{"server error", respond(500, ours, "{}"), false, true, false},
		{"redirect", respond(307, map[string]string{"Location": "/", HeaderRequestID: "r1", "Content-Length": "0"}, ""), true, true, false},
		{"crossed", respond(200, map[string]string{HeaderRequestID: "r2", "Content-Length": "2"}, "{}"), false, false, false},
		{"no request ID", respond(200, map[string]string{"Content-Length": "2"}, "{}"), false, true, false},
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

func checkOutcome(t *testing.T, client string, call Call, send func(context.Context, Call) (Response, error), complete, notRun bool) {
	t.Helper()
	response, err := send(t.Context(), call)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if (err == nil) != complete {
		t.Errorf("%s: error %v, want complete response %v", client, err, complete)
	}
	if err == nil {
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("%s: error %v is no *Error", client, err)
	}
	if failure.NotRun != notRun {
		t.Errorf("%s: NotRun = %v (%v), want %v", client, failure.NotRun, err, notRun)
	}
}

func TestFailedConnectionIsReportedAsNotRun(t *testing.T) {
	call := Call{RequestID: "r1", Method: http.MethodPost, Path: "/x"}
	checkOutcome(t, "engine", call, NewHTTPEngine(closedServerURL()).Call, false, true)
	checkOutcome(t, "service", call, NewHTTPService(closedServerURL()).Call, false, true)
}

func TestTimeoutIsNotReportedAsNotRun(t *testing.T) {
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

// TestServiceCallIsNotResentByTransport drops the second call. The transport of
// net/http resends a call with an Idempotency-Key if a reused connection breaks.
func TestServiceCallIsNotResentByTransport(t *testing.T) {
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
		t.Errorf("the service received %d calls, want 2", got)
	}
}

func TestServiceHealthy(t *testing.T) {
	server := httptest.NewServer(respond(204, nil, ""))
	defer server.Close()
	if err := NewHTTPService(server.URL).Healthy(t.Context(), time.Minute); err != nil {
		t.Errorf("healthy service: %v", err)
	}
	if err := NewHTTPService(closedServerURL()).Healthy(t.Context(), time.Minute); err == nil {
		t.Error("a service that does not listen is reported as healthy")
	}
}
