package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// observedCrash lets two requests fail at the server "a" of a site and returns the
// crash that was reported, if one was.
func observedCrash(t *testing.T, c *control) (crash, bool) {
	t.Helper()
	observer := newCrashObserver(c, discardLogger(), metrics.NewGateway(tally.NoopScope))
	reported := make(chan crash, 1)
	observer.reportCrash = func(observed crash) { reported <- observed }
	target := c.current().servers[testEngine][0]
	for _, id := range []string{"r-1", "r-2"} {
		observer.requestFailed(time.Now(), target, suspectRequest{requestID: id, fingerprints: []quarantine.Fingerprint{1}})
	}
	select {
	case observed := <-reported:
		return observed, true
	case <-time.After(crashConfirmTimeout + time.Second):
		return crash{}, false
	}
}

func TestFailedRequestsAreACrashOnlyIfServerHasEnded(t *testing.T) {
	for _, test := range []struct {
		name   string
		status wire.RunnerStatus
		want   bool
	}{
		{"the agent's runner is up", wire.RunnerStatus{}, false},
		{"it doesn't respond", wire.RunnerStatus{Down: true}, false},
		{"it isn't running", wire.RunnerStatus{NotRunning: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newTestControl(time.Now(), testRunner{id: "a", permitted: true, status: &test.status})
			observed, ok := observedCrash(t, c)
			if ok != test.want {
				t.Fatalf("crash reported: %t, want %t", ok, test.want)
			}
			if ok && (len(observed.suspects) != 2 || observed.server.ID != "a" || observed.service != testEngine) {
				t.Errorf("crash %+v", observed)
			}
		})
	}
}

func TestServerWithoutAgentHasCrashedIfItRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if refusesConnections(address) {
		t.Error("a listening server counts as crashed")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !refusesConnections(address) {
		t.Error("a server that refuses connections doesn't count as crashed")
	}
}

func TestLeavingServerHasNotCrashed(t *testing.T) {
	for _, draining := range []bool{false, true} {
		c := newTestControl(time.Now(), testRunner{id: "a", permitted: true, draining: draining, status: &wire.RunnerStatus{NotRunning: true}})
		observer := newCrashObserver(c, discardLogger(), metrics.NewGateway(tally.NoopScope))
		evidence := observer.evidence(c.current().servers[testEngine][0])
		if (evidence == "") != draining {
			t.Errorf("evidence %q of a crash, draining=%t", evidence, draining)
		}
	}
}
