package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
)

// recorder is a dialect that keeps the directives it was given.
type recorder struct{ directives forward.BackendHeaders }

func (*recorder) DecodeRequest(http.Header) (forward.RequestInfo, error) {
	return forward.RequestInfo{}, nil
}

func (r *recorder) EncodeRequest(caller http.Header, directives forward.BackendHeaders) http.Header {
	r.directives = directives
	return caller
}

func (*recorder) DecodeResponse(int, http.Header) forward.ResponseInfo { return forward.ResponseInfo{} }

func testExchange(dialect forward.HeaderCodec, route *fleet.Route) *exchange {
	h := &handler{dialect: dialect, observer: &observer{logger: quiet()}}
	request := httptest.NewRequest(http.MethodPost, "/p/item?a=1", nil)
	return h.newExchange(httptest.NewRecorder(), request, route, forward.RequestInfo{RequestID: "r", Budget: 2 * time.Second}, nil, testStart)
}

// TestDirectives checks what a backend server is told beside the caller's headers.
func TestDirectives(t *testing.T) {
	dialect := &recorder{}
	x := testExchange(dialect, &fleet.Route{Priority: 3, Destinations: []fleet.Destination{{Service: "s"}}})
	x.answer.lastEventID = "7"
	sent := x.outgoing(testStart.Add(1500*time.Millisecond), &server{Backend: &fleet.Backend{ID: "i-1"}})
	want := forward.BackendHeaders{Budget: 500 * time.Millisecond, Instance: "i-1", Priority: 3, LastEventID: "7"}
	if dialect.directives != want {
		t.Errorf("directives %+v, want %+v", dialect.directives, want)
	}
	if sent.ID != "r" || sent.Target != "/p/item?a=1" || sent.Method != http.MethodPost {
		t.Errorf("request %+v isn't the caller's", sent)
	}
}

func TestJudge(t *testing.T) {
	tests := []struct {
		status int
		info   forward.ResponseInfo
		// passed answers go to the caller as they are.
		passed bool
		want   attempt.Event
	}{
		{status: 200, info: forward.ResponseInfo{Sealed: true}, passed: true},
		{status: 404, info: forward.ResponseInfo{Sealed: true}, passed: true},
		// A success without the server's seal is no answer of a backend server.
		{status: 200, want: attempt.Lost},
		{status: 500, info: forward.ResponseInfo{Sealed: true}, want: attempt.Failed},
		{status: 503, info: forward.ResponseInfo{Sealed: true}, want: attempt.Failed},
		{status: 503, info: forward.ResponseInfo{NotRun: true}, want: attempt.NotRun},
		{status: 421, info: forward.ResponseInfo{NotRun: true}, want: attempt.NotRun},
	}
	x := testExchange(&recorder{}, &fleet.Route{Destinations: []fleet.Destination{{Service: "s"}}})
	for _, test := range tests {
		event := x.judge(&forward.Response{Status: test.status, Info: test.info})
		switch {
		case test.passed && event != nil:
			t.Errorf("%d %+v: %s, want it passed on", test.status, test.info, event)
		case !test.passed && (event == nil || *event != test.want):
			t.Errorf("%d %+v: %v, want %s", test.status, test.info, event, test.want)
		}
	}
}
