package serverfaults

import (
	"fmt"
	"net/http"
	"testing"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// resumeStream breaks a stream off after four events, lets the server that resumes it
// respond as given, and returns the caller and what it received.
func resumeStream(t *testing.T, framing backendserver.Framing, resume *backendserver.Resume) (*caller, received) {
	t.Helper()
	return resumeStreamAfter(t, framing, 4, resume)
}

// resumeStreamAfter is the same after another number of events.
func resumeStreamAfter(t *testing.T, framing backendserver.Framing, events int, resume *backendserver.Resume) (*caller, received) {
	t.Helper()
	s := directSite.start(t)
	plan := streamPlan(framing)
	plan.Stop, plan.StopAfter, plan.Resume = backendserver.StopReset, events, resume
	c, _ := sendUntilStarted(t, s, s.Entries[mainEntry], call{path: platformsite.BatchPath, plan: plan}, plan.StopAfter)
	got := c.finish()
	verify(t, s, c, got)
	if runs := len(c.runs(s)); runs < 2 {
		t.Errorf("%d runs, the stream wasn't resumed", runs)
	}
	return c, got
}

// resumeStatuses are the statuses with which a server doesn't resume a stream.
var resumeStatuses = []int{
	http.StatusNoContent, http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestTimeout,
	http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

func TestErrorOfSecondServerDoesNotEndResumedStream(t *testing.T) {
	for _, status := range resumeStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			resumeStream(t, backendserver.FramingChunks, &backendserver.Resume{Status: status})
		})
	}
}

func TestRefusalOfSecondServerDoesNotEndResumedStream(t *testing.T) {
	for _, status := range []int{
		http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			resumeStream(t, backendserver.FramingChunks, &backendserver.Resume{Status: status, NotRun: true})
		})
	}
}

func TestOtherContentDoesNotEndResumedStream(t *testing.T) {
	for name, resume := range map[string]backendserver.Resume{
		"text": {ContentType: "text/plain"},
		"json": {ContentType: "application/json", Framing: backendserver.FramingLength},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resumeStream(t, backendserver.FramingChunks, &resume)
		})
	}
}

func TestCompressedContentDoesNotEndResumedStream(t *testing.T) {
	resumeStream(t, backendserver.FramingChunks, &backendserver.Resume{Compressed: true})
}

func TestResumedStreamDoesNotRepeatOrSkipEvents(t *testing.T) {
	for name, skip := range map[string]int{"from the start": -100, "one repeated": -1, "one skipped": 1, "all but the last skipped": 5} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resumeStream(t, backendserver.FramingChunks, &backendserver.Resume{Skip: skip})
		})
	}
}

func TestStreamResumedAfterItsFirstEventDoesNotSkipEvents(t *testing.T) {
	for _, skip := range []int{1, 5} {
		t.Run(fmt.Sprint(skip), func(t *testing.T) {
			t.Parallel()
			resumeStreamAfter(t, backendserver.FramingChunks, 1, &backendserver.Resume{Skip: skip})
		})
	}
}

func TestStreamIsServedAfterABreakBehindItsFirstEvent(t *testing.T) {
	c, got := resumeStreamAfter(t, backendserver.FramingChunks, 1, &backendserver.Resume{})
	verifyServed(t, c, got)
}

func TestResumedStreamIsServedInAnyFraming(t *testing.T) {
	for _, first := range framings {
		for _, second := range framings {
			t.Run(fmt.Sprintf("%s then %s", first, second), func(t *testing.T) {
				t.Parallel()
				c, got := resumeStream(t, first, &backendserver.Resume{Framing: second})
				verifyServed(t, c, got)
			})
		}
	}
}
