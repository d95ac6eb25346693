package engine

import (
	"context"
	"errors"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/httpresponse/httpresponsetest"
)

// Guards against a status that isn't one of a final response and that counts as a response, or as a promise that nothing was run.
func TestInvalidStatusIsNotAResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, lines := range []string{"", HeaderOutcome + ": " + OutcomeNotRun + "\r\n"} {
			response := "HTTP/1.1 " + status + " Unknown\r\nX-Request-Id: r1\r\n" + lines + "Content-Length: 2\r\n\r\n{}"
			call := Call{RequestID: "r1", Path: "/v1/completions"}
			modelEngine := NewHTTPEngine(respondRaw(t, response))
			checkUncertain(t, status, modelEngine.Call, call)
			modelEngine.Close()
			checkUncertain(t, status, NewHTTPService(respondRaw(t, response)).Call, call)
		}
	}
}

// Guards against a state that is followed by other bytes and counts as the engine's.
func TestStateFollowedByOtherBytesIsAnError(t *testing.T) {
	for _, body := range []string{"{}{}", "{}x", "{}\n[]", "{"} {
		modelEngine := NewHTTPEngine(respondRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+body))
		if state, err := modelEngine.State(t.Context()); err == nil {
			t.Errorf("%q: state %+v", body, state)
		}
		modelEngine.Close()
	}
}

// Guards against a malformed response that counts as one of an engine or a service.
func TestMalformedResponseIsNotAResponse(t *testing.T) {
	for _, test := range httpresponsetest.Malformed("X-Request-Id: r1\r\n") {
		t.Run(test.Name, func(t *testing.T) {
			call := Call{RequestID: "r1", Path: "/v1/completions"}
			modelEngine := NewHTTPEngine(respondRaw(t, test.Response))
			defer modelEngine.Close()
			checkOutcome(t, "engine", call, modelEngine.Call, false, false)
			checkOutcome(t, "service", call, NewHTTPService(respondRaw(t, test.Response)).Call, false, false)
		})
	}
}

// checkUncertain checks that a call has no response and may have run.
func checkUncertain(t *testing.T, name string, call func(context.Context, Call) (Response, error), request Call) {
	t.Helper()
	response, err := call(t.Context(), request)
	if err == nil {
		response.Body.Close()
		t.Errorf("%s: response of status %d", name, response.StatusCode)
		return
	}
	var failure *Error
	if !errors.As(err, &failure) || failure.NotRun {
		t.Errorf("%s: %v, want an *Error of a request that may have run", name, err)
	}
}

// Guards against a rejection of another request that counts as one of this request.
func TestRejectionOfAnotherRequestIsNotAPromise(t *testing.T) {
	heads := map[string]string{
		"another ID":           "X-Request-Id: r0\r\n",
		"another ID, then its": "X-Request-Id: r0\r\nX-Request-Id: r1\r\n",
		"its ID, then another": "X-Request-Id: r1\r\nX-Request-Id: r0\r\n",
	}
	for name, ids := range heads {
		response := "HTTP/1.1 503 Service Unavailable\r\n" + ids + HeaderOutcome + ": " + OutcomeNotRun + "\r\nContent-Length: 2\r\n\r\n{}"
		call := Call{RequestID: "r1", Path: "/v1/completions"}
		modelEngine := NewHTTPEngine(respondRaw(t, response))
		checkUncertain(t, "engine, "+name, modelEngine.Call, call)
		modelEngine.Close()
		checkUncertain(t, "service, "+name, NewHTTPService(respondRaw(t, response)).Call, call)
	}
}

// Guards against a response that broke off in its head and is continued by the one to the request.
func TestHeadThatRunsIntoAnotherOneIsNotAResponse(t *testing.T) {
	const response = "HTTP/1.1 500 Failed\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\n{}"
	const rejection = "HTTP/1.1 503 Unavailable\r\n" + HeaderOutcome + ": " + OutcomeNotRun + "\r\nContent-Type: "
	call := Call{RequestID: "r1", Path: "/v1/completions"}
	for _, torn := range []string{rejection, rejection + "application/", "HTTP/1.1 200 ", "HTTP/1.1 200 O"} {
		modelEngine := NewHTTPEngine(respondRaw(t, torn+response))
		checkUncertain(t, "engine, "+torn, modelEngine.Call, call)
		modelEngine.Close()
		checkUncertain(t, "service, "+torn, NewHTTPService(respondRaw(t, torn+response)).Call, call)
	}
}
