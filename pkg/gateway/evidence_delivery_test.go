package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// evidenceAgent is an agent that receives evidence, and loses the first frames.
type evidenceAgent struct {
	loses    atomic.Int32
	received chan *wire.Frame
}

func (a *evidenceAgent) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	frame, err := stream.ReceiveFirst()
	if err != nil || a.loses.Add(-1) >= 0 {
		stream.Cancel()
		return
	}
	a.received <- frame
	stream.Close()
}

// newEvidenceClient returns the client of an entry with one agent.
func newEvidenceClient(t *testing.T, agent *evidenceAgent) *quarantineClient {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	secret, err := roster.Secret(t.Context(), store, store, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	c := newTestControl(time.Now(), versionedRunner("a", "v1"))
	host := c.hosts["host-a"]
	host.InternalAddress = newNode(t, secret, "host-a", keys.RoleAgent, keys.RoleEntry, agent).Address()
	c.applySiteChange(siteChange{asOf: 10, hosts: []roster.Host{host}})
	node := new(atomic.Pointer[wire.Node])
	node.Store(newNode(t, secret, "front-1", keys.RoleEntry, keys.RoleAgent, rejectStreams{}))
	return newQuarantineClient(c, node, discardLogger())
}

// publishAs has the agent publish what a process of it has decided.
func publishAs(c *quarantineClient, decided *wire.Quarantine) {
	status := statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})
	status.Quarantine = decided
	receiveStatus(c.control, time.Now(), "host-a", status)
}

// crashOfServer returns a crash by a request that had just begun.
func crashOfServer(id string, at time.Time) crash {
	return crash{
		service: testEngine, server: backpressure.Incarnation{ID: id, StartedAtMillis: 1}, at: at,
		suspects: []suspectRequest{{requestID: "r", fingerprints: []quarantine.Fingerprint{7}, begun: true}},
	}
}

// next returns the next frame that the agent receives, while the client's task runs.
func (a *evidenceAgent) next(c *quarantineClient) *wire.Frame {
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(deliveryInterval) {
		publishAs(c, c.control.agents["host-a"].Status.Quarantine)
		c.tick(time.Now())
		select {
		case frame := <-a.received:
			return frame
		default:
		}
	}
	return nil
}

// Guards against evidence that is lost with an agent's process, or on its way to it.
func TestEachProcessOfDetectorGetsAllEvidenceOnce(t *testing.T) {
	agent := &evidenceAgent{received: make(chan *wire.Frame, 100)}
	agent.loses.Store(1)
	c := newEvidenceClient(t, agent)
	publishAs(c, &wire.Quarantine{Instance: 1})
	c.reportCrash(crashOfServer("s-1", time.Now()))
	if frame := agent.next(c); frame == nil || frame.CrashReport == nil {
		t.Fatalf("received %+v, want the report that was lost on its way", frame)
	}
	c.reportCrash(crashOfServer("s-2", time.Now().Add(-2*newEvidenceAge)))
	if frame := agent.next(c); frame == nil || frame.EvidenceHandover == nil || len(frame.EvidenceHandover.Crashes) != 1 {
		t.Fatalf("received %+v, want the second crash alone", frame)
	}
	kept := []wire.KeptBlock{{Service: testEngine, MadeMillis: 1000, CrashMillis: 2000, CrashReport: 5}}
	publishAs(c, &wire.Quarantine{Instance: 1, Blocks: []quarantine.Signature{{7}}, Kept: kept})
	c.tick(time.Now())
	publishAs(c, &wire.Quarantine{Instance: 2})
	frame := agent.next(c)
	if frame == nil || frame.EvidenceHandover == nil || len(frame.EvidenceHandover.Crashes) != 2 || len(frame.EvidenceHandover.Blocks) != 1 {
		t.Fatalf("the next process received %+v, want both crashes and the block", frame)
	}
	if _, ok := c.check(time.Now(), []quarantine.Fingerprint{7}); !ok {
		t.Error("the block ended with the process of its detector")
	}
	if frame := agent.next(c); frame != nil {
		t.Errorf("received %+v again", frame)
	}
}

// Guards against a sound part that a detector blocks as it knows the crashes of one entry and
// the starts of none.
func TestNewDetectorIsSentLastStartsOfWhatItSuspects(t *testing.T) {
	agent := &evidenceAgent{received: make(chan *wire.Frame, 100)}
	c := newEvidenceClient(t, agent)
	now := time.Now()
	c.recordStart(now, now, testEngine, quarantine.Fingerprints{Parts: []quarantine.Fingerprint{9}})
	publishAs(c, &wire.Quarantine{Instance: 1, Watched: []quarantine.Fingerprint{8, 9}})
	frame := agent.next(c)
	if frame == nil || frame.StartReport == nil || len(frame.StartReport.Starts) != 1 || frame.StartReport.Starts[0].Fingerprint != 9 {
		t.Fatalf("received %+v, want the last start of what is under suspicion", frame)
	}
	if frame := agent.next(c); frame != nil {
		t.Errorf("received %+v again", frame)
	}
}
