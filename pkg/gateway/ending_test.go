package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
)

// observed returns an exchange whose observer logs to w.
func observed(tb testing.TB, w io.Writer) *exchange {
	tb.Helper()
	logger, _, err := logging.New(w, settings.Log{})
	if err != nil {
		tb.Fatal(err)
	}
	shown := telemetry.New(state.Identity{Program: "entry"})
	tb.Cleanup(func() { shown.Close() })
	x := testExchange(&recorder{}, &fleet.Route{Name: "r-1", Destinations: []fleet.Destination{{Service: "s", Weight: 1}}})
	x.handler.observer = newObserver(logger, metrics.NewGateway(shown.Scope()))
	x.machine = attempt.New(attempt.Request{}, nil)
	x.arrived = time.Now()
	return x
}

// TestBurstOfAnswersIsSampled ends many requests at once. Answers are counted
// beyond their bound; each refusal and each broken stream has its line.
func TestBurstOfAnswersIsSampled(t *testing.T) {
	const each = 1000
	var log bytes.Buffer
	x := observed(t, &log)
	o := x.handler.observer
	started := time.Now()
	for range each {
		o.ended(x, ending{outcome: outcomeAnswered, status: http.StatusOK})
		o.ended(x, ending{outcome: outcomeNotRun, status: http.StatusServiceUnavailable})
		o.ended(x, ending{outcome: outcomeBroken})
	}
	// The bound is a bucket that holds a second's lines and fills meanwhile.
	allowed := answersPerSecond + int(answersPerSecond*time.Since(started).Seconds()) + 1
	o.reportSkipped()
	text := log.String()
	answered := strings.Count(text, "outcome="+string(outcomeAnswered))
	if answered == 0 || answered > allowed {
		t.Errorf("%d lines about answers, want 1 to %d", answered, allowed)
	}
	for _, outcome := range []outcome{outcomeNotRun, outcomeBroken} {
		if got := strings.Count(text, "outcome="+string(outcome)+" "); got != each {
			t.Errorf("%d lines with outcome %s, want %d", got, outcome, each)
		}
	}
	if !strings.Contains(text, `msg="answers not logged"`) {
		t.Error("nothing tells how many answers were left out")
	}
}

// BenchmarkRequestLog is the cost of a request's end in log and metrics, before a
// reader who doesn't read.
func BenchmarkRequestLog(b *testing.B) {
	for name, end := range map[string]ending{
		"answered": {outcome: outcomeAnswered, status: http.StatusOK},
		"refused":  {outcome: outcomeNotRun, status: http.StatusServiceUnavailable, cause: "no backend server"},
	} {
		b.Run(name, func(b *testing.B) {
			reader, writer := io.Pipe()
			async := logging.NewAsyncWriter(writer)
			b.Cleanup(func() {
				reader.Close()
				async.Close()
			})
			x := observed(b, async)
			b.ReportAllocs()
			for b.Loop() {
				x.handler.observer.ended(x, end)
			}
		})
	}
}
