package metrics

import (
	"errors"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// TestPrometheusText checks the exposed text, and that docs/METRICS.md lists every
// metric.
func TestPrometheusText(t *testing.T) {
	defer goleak.VerifyNone(t)
	registry := NewRegistry()
	recordEntryAndAgent(NewEntry(registry.Scope()), NewAgent(registry.Scope()))
	recordGatewayAndRunner(NewGateway(registry.Scope()), NewRunner(registry.Scope()))
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	registry.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	text := recorder.Body.String()
	for _, line := range []string{
		`teaselgauge_entry_requests_total{kind="model",outcome="not-run",reason="queue-full"} 2`,
		`teaselgauge_entry_request_seconds_bucket{kind="model",le="0.2"} 2`,
		`teaselgauge_entry_request_seconds_sum{kind="model"} 0.3`,
		`teaselgauge_agent_idle_accelerator_milliseconds_total 1500`,
		`teaselgauge_agent_requests_queued 4`,
		`teaselgauge_gateway_requests_total{kind="streaming",outcome="answered",route="a"} 1`,
		`teaselgauge_gateway_store_calls_total{operation="txn",result="uncertain"} 1`,
		`teaselgauge_gateway_belief_age_seconds{belief="configuration"} 2.5`,
		`teaselgauge_runner_loads_total{result="ok",source="disk"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is missing in\n%s", line, text)
		}
	}
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\S+)`).FindAllStringSubmatch(text, -1) {
		if !strings.Contains(string(page), "`"+match[1]+"`") {
			t.Errorf("docs/METRICS.md doesn't list %s", match[1])
		}
	}
}

func recordGatewayAndRunner(gateway *Gateway, runner *Runner) {
	uncertain := &keyvalue.StoreError{Op: "txn", Uncertain: true, Err: errors.New("no response")}
	gateway.RequestDone("a", "streaming", "answered", time.Second)
	gateway.FirstByte("streaming", time.Millisecond)
	gateway.Send("lost")
	gateway.RetryDecision("elsewhere")
	gateway.LeaseWait("granted", time.Millisecond)
	gateway.Connect(ResultOf(nil))
	gateway.ObserveView(ViewConfiguration, 7, 2500*time.Millisecond)
	gateway.State(1, 2, 3, true)
	gateway.ResponseNotLogged()
	gateway.ObserveStore(keyvalue.OpTxn, time.Millisecond, uncertain)
	runner.ObserveLease("granted", time.Millisecond)
	runner.Order("load", "accepted", time.Millisecond)
	runner.Load("disk", ResultOK, time.Second)
	runner.Report(nil)
	runner.ObserveView(ViewReport, 0, time.Second)
	runner.State(1, 2, 3)
	runner.ObserveStore(keyvalue.OpRange, time.Millisecond, nil)
}

func recordEntryAndAgent(entry *Entry, agent *Agent) {
	for range 2 {
		entry.RequestDone(KindModel, "not-run", "queue-full", 150*time.Millisecond)
	}
	entry.FirstByte(KindModel, time.Second)
	entry.Attempt(ResultOK)
	entry.Retry("leaving")
	entry.PermitChange("grant")
	entry.Decision(time.Millisecond)
	entry.InFlight(1)
	entry.Members(2)
	entry.Connections(3)
	agent.RequestDone(OutcomeCompleted, "")
	agent.QueueWait("press", time.Millisecond)
	agent.Load("model", ResultOK, time.Second)
	agent.ColdStart(time.Second)
	agent.Unload("idle")
	agent.IdleAccelerator(1500 * time.Millisecond)
	agent.LoadPacingWait(0)
	agent.Requests(4, 5)
	agent.Memory(100, 50)
	for _, c := range []*control{&entry.control, &agent.control} {
		c.KeyValueCall("txn", ResultUncertain, time.Millisecond)
		c.Sync(ResultOK, 100)
		c.ListsRevision(9)
	}
}
