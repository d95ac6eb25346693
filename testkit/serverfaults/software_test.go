package serverfaults

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// interruptedByEntries begins streams, kills all entries, calls meanwhile, and starts the
// entries again.
func interruptedByEntries(t *testing.T, s *platformsite.Site, meanwhile func()) []*chain {
	t.Helper()
	chains := beginStreams(t, s, s.Entries[0])
	restartAfter(t, s, s.EntryProcesses(), meanwhile)
	readInterrupted(t, chains)
	return chains
}

func TestKilledEntriesDoNotJoinStreamsOfTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	takeUp(t, s, s.Entries[1], interruptedByEntries(t, s, nil))
}

func TestStreamsAreNotLostAfterAllEntriesWereKilled(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := interruptedByEntries(t, s, nil)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains)/2 {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}

func TestKilledEntryDoesNotJoinStreamsOfTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	if err := s.Entries[0].Kill(); err != nil {
		t.Fatal(err)
	}
	readInterrupted(t, chains)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains)/2 {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}

// mustBeRefused fails the test if a stream goes on.
func mustBeRefused(t *testing.T, s *platformsite.Site, chains []*chain) {
	t.Helper()
	if len(chains) == 0 {
		t.Fatal("no stream to take up")
	}
	takeUp(t, s, s.Entries[1], chains)
	for _, ch := range chains {
		if len(ch.refused) == 0 || ch.complete {
			t.Errorf("%s wasn't refused", ch.content)
		}
	}
}

func TestStreamDoesNotGoOnAtOtherVersionThanTheOneThatLeft(t *testing.T) {
	for _, agents := range []bool{false, true} {
		t.Run(fmt.Sprintf("agents gone=%t", agents), func(t *testing.T) {
			s := startVersions(t, twoVersions)
			chains := interruptedByEntries(t, s, func() { removeServers(t, s, oldSoftware, agents) })
			mustBeRefused(t, s, beganAt(chains, oldSoftware))
		})
	}
}

// removeServers kills and deregisters the servers with a version of the software, and
// their agents if agents is set.
func removeServers(t *testing.T, s *platformsite.Site, software string, agents bool) {
	t.Helper()
	var processes []*site.Process
	for _, server := range serversOf(s, software) {
		processes = append(processes, server.Process)
		if agents {
			processes = append(processes, s.Runners[slices.Index(s.Servers, server)].Process)
		}
		defer server.Deregister()
	}
	if err := site.KillAll(processes...); err != nil {
		t.Fatal(err)
	}
}

func TestStreamTakenUpTwiceDoesNotHoldTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := interruptedByEntries(t, s, nil)
	_ = inParallel(chains, func(ch *chain) error {
		ch.plan.StopResumed = true
		return ch.begin(testContext(t), s.Entries[1])
	})
	for _, ch := range chains {
		ch.plan.StopResumed = false
	}
	restartAfter(t, s, s.EntryProcesses(), nil)
	readInterrupted(t, chains)
	takeUp(t, s, s.Entries[0], chains)
}

func TestStreamOfUnnamedRequestDoesNotHoldTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := interruptedByEntries(t, s, nil)
	for _, ch := range chains {
		ch.unnamed = true
	}
	takeUp(t, s, s.Entries[1], chains)
}

// lateRegistration is the time after which the new incarnation of a server registers.
const lateRegistration = 500 * time.Millisecond

// restartInPlace restarts the only server of a stream with other software under its ID,
// which registers at once or late.
func restartInPlace(t *testing.T, s *platformsite.Site, late bool) {
	t.Helper()
	server := s.Servers[0]
	if err := server.RestartAs(newSoftware); err != nil {
		t.Fatal(err)
	}
	if late {
		time.AfterFunc(lateRegistration, func() { _ = server.Register(context.Background()) })
		return
	}
	if err := server.Register(testContext(t)); err != nil {
		t.Fatal(err)
	}
}

func TestServerRestartedInPlaceDoesNotGoOnWithStreamOfOtherVersion(t *testing.T) {
	for _, entries := range []bool{false, true} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("entries killed=%t late=%t", entries, late), func(t *testing.T) {
				s := startVersions(t, []string{oldSoftware})
				chains := beginStreams(t, s, s.Entries[0])
				if entries {
					restartAfter(t, s, s.EntryProcesses(), func() { restartInPlace(t, s, late) })
				} else {
					restartInPlace(t, s, late)
				}
				readInterrupted(t, chains)
				takeUp(t, s, s.Entries[1], chains)
			})
		}
	}
}

func TestStreamOfUnknownOriginDoesNotHoldTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	restartAfter(t, s, append(s.EntryProcesses(), s.AgentProcesses()...), nil)
	readInterrupted(t, chains)
	takeUp(t, s, s.Entries[1], chains)
}

func TestStreamOfUnknownOriginIsNotRefusedWhereOneVersionServes(t *testing.T) {
	s := startVersions(t, oneVersion)
	chains := beginStreams(t, s, s.Entries[0])
	restartAfter(t, s, append(s.EntryProcesses(), s.AgentProcesses()...), nil)
	readInterrupted(t, chains)
	if wentOn := takeUp(t, s, s.Entries[1], chains); wentOn < len(chains) {
		t.Errorf("%d of %d streams went on", wentOn, len(chains))
	}
}

// serverOfLast returns the server that responds to the last request of a chain.
func (ch *chain) serverOfLast(t *testing.T, s *platformsite.Site) *platformsite.ServerProcess {
	t.Helper()
	c := ch.tries[len(ch.tries)-1]
	return serverOf(t, s, parse(c.raw, c.err).header.Get(backendserver.HeaderServer))
}

// release lets the streams go on that stall at a server that runs.
func release(t *testing.T, s *platformsite.Site, chains []*chain) {
	t.Helper()
	for _, server := range s.Servers {
		if !server.Running() {
			continue
		}
		for _, ch := range chains {
			if err := server.Release(testContext(t), ch.tries[len(ch.tries)-1].id); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestKilledServerDoesNotJoinResponseOfTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	if err := chains[0].serverOfLast(t, s).Kill(); err != nil {
		t.Fatal(err)
	}
	release(t, s, chains)
	finishLast(t, chains)
	for _, ch := range chains {
		if !ch.complete {
			t.Errorf("%s didn't go on at the other server of its version", ch.content)
		}
	}
}

func TestResponseDoesNotGoOnAtOtherVersionThanTheOneThatLeft(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	removeServers(t, s, chains[0].serverOfLast(t, s).Software(), false)
	release(t, s, chains)
	finishLast(t, chains)
}

func TestServerRestartedInPlaceDoesNotJoinResponseOfTwoVersions(t *testing.T) {
	s := startVersions(t, twoVersions)
	chains := beginStreams(t, s, s.Entries[0])
	for _, server := range serversOf(s, oldSoftware) {
		if err := server.RestartAs(newSoftware); err != nil {
			t.Fatal(err)
		}
		if err := server.Register(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	release(t, s, chains)
	finishLast(t, chains)
}
