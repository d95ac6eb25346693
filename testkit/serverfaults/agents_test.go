package serverfaults

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// agentSettleTime is the time after which the entries know which agents run.
const agentSettleTime = 4 * time.Second

// disconnect has the callers lose their connections.
func disconnect(t *testing.T, chains []*chain) {
	t.Helper()
	for _, ch := range chains {
		c := ch.tries[len(ch.tries)-1]
		if err := c.conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		_ = c.conn.Close()
		got := parse(c.raw, c.err)
		got.end = endReset
		if err := ch.add(c, got); err != nil {
			t.Fatal(err)
		}
	}
}

func TestStreamsAreNotLostAfterTheirAgentsRestarted(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	restartAfter(t, s, s.AgentProcesses(), nil)
	time.Sleep(agentSettleTime)
	disconnect(t, chains)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains)/2 {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}

func TestStreamsAreNotLostAfterTheirAgentsRestartedAndThenTheirEntryWasKilled(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	restartAfter(t, s, s.AgentProcesses(), nil)
	time.Sleep(agentSettleTime)
	if err := s.Entries[0].Kill(); err != nil {
		t.Fatal(err)
	}
	readInterrupted(t, chains)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains)/2 {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}

func TestStreamsOfOnlyVersionAreNotLostWhileNoAgentRuns(t *testing.T) {
	s := startVersions(t, oneVersion)
	chains := beginStreams(t, s, s.Entries[0])
	if err := site.KillAll(s.AgentProcesses()...); err != nil {
		t.Fatal(err)
	}
	time.Sleep(agentSettleTime)
	// New streams begin.
	beginStreams(t, s, s.Entries[1])
	if err := s.Entries[0].Kill(); err != nil {
		t.Fatal(err)
	}
	readInterrupted(t, chains)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains)/2 {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}
