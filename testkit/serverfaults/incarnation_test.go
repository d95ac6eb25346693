package serverfaults

import (
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
)

// incarnationBudget is how long the callers wait whose streams must not go on.
const incarnationBudget = 4 * time.Second

// abandonStreams begins streams, whose callers then close their connections.
func abandonStreams(t *testing.T, s *platformsite.Site, entry *platformsite.Entry) []*chain {
	t.Helper()
	chains := beginStreams(t, s, entry)
	for _, ch := range chains {
		c := ch.tries[len(ch.tries)-1]
		_ = c.conn.Close()
		if err := ch.add(c, parse(c.raw, nil)); err != nil {
			t.Fatal(err)
		}
		ch.deadline = time.Now().Add(incarnationBudget)
	}
	return chains
}

// restartUnnoticed restarts a server with other software before its agent's next report.
func restartUnnoticed(t *testing.T, server *platformsite.ServerProcess) {
	t.Helper()
	if err := server.RestartAs(newSoftware); err != nil {
		t.Fatal(err)
	}
}

func TestServerRestartedBetweenReportsDoesNotGoOnWithStreamOfOtherVersion(t *testing.T) {
	s := startVersions(t, []string{oldSoftware})
	chains := abandonStreams(t, s, s.Entries[0])
	restartUnnoticed(t, s.Servers[0])
	takeUp(t, s, s.Entries[1], chains)
}

// The entry's connection to the agent is one to its earlier incarnation.
func TestServerRestartedWithItsAgentDoesNotGoOnWithStreamOfOtherVersion(t *testing.T) {
	s := startVersions(t, []string{oldSoftware})
	chains := abandonStreams(t, s, s.Entries[0])
	if err := s.Runners[0].Restart(); err != nil {
		t.Fatal(err)
	}
	restartUnnoticed(t, s.Servers[0])
	takeUp(t, s, s.Entries[0], chains)
}

// The streams begin at the new incarnation while its agent and the entries know the old one.
func TestStreamBegunBetweenReportsDoesNotHoldTwoVersions(t *testing.T) {
	s := startVersions(t, oneVersion)
	// Both runners must take streams.
	abandonStreams(t, s, s.Entries[0])
	restartUnnoticed(t, s.Servers[0])
	takeUp(t, s, s.Entries[0], abandonStreams(t, s, s.Entries[0]))
}
