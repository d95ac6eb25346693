package serverfaults

import (
	"context"
	"errors"
	"os"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// The versions of the servers' software.
const (
	oldSoftware = "2026.4"
	newSoftware = "2026.5"
)

var (
	twoVersions = []string{oldSoftware, oldSoftware, newSoftware, newSoftware}
	oneVersion  = []string{oldSoftware, oldSoftware}
)

const (
	// takenUpStreams is the number of streams that are taken up in a test.
	takenUpStreams = 12
	// eventsBefore is the number of events of a stream before it is interrupted.
	eventsBefore = 3
	// streamBudget is how long a caller waits for a stream over all its requests.
	streamBudget = 15 * time.Second
)

// interruptedPlan returns the plan of a stream that stalls until a test interrupts it.
func interruptedPlan() backendserver.Plan {
	return backendserver.Plan{
		Framing: backendserver.FramingChunks, Events: 40, GapMillis: 5,
		Stop: backendserver.StopStall, StopAfter: eventsBefore,
	}
}

// startVersions starts a site with two entries and a runner for each given version of the
// software.
func startVersions(t *testing.T, software []string) *platformsite.Site {
	t.Helper()
	return startSite(t, versionsOptions(software))
}

// startSite starts a site of its own for a test.
func startSite(t *testing.T, options platformsite.Options) *platformsite.Site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	s, err := platformsite.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if os.Getenv("SITE_LOGS") != "" {
			t.Log(s.Logs())
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

func versionsOptions(software []string) platformsite.Options {
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = 2, len(software), 0
	options.Slots = 32
	options.LogLevel = "info"
	options.Models = options.Models[:1]
	options.ConfigureEngine = func(_ int, engine *backendserver.Engine) { engine.Loaded = []string{modelName} }
	options.Retries = settings.Retries{Ratio: 10, Slack: 1000}
	options.ServerProcesses = true
	options.Software = func(i int) string { return software[i] }
	return options
}

// inParallel calls do for each chain on a goroutine of its own.
func inParallel(chains []*chain, do func(*chain) error) error {
	failures := make([]error, len(chains))
	var group sync.WaitGroup
	for i, ch := range chains {
		group.Go(func() { failures[i] = do(ch) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// beginStreams begins streams at an entry and returns their chains. Each caller has
// received some events.
func beginStreams(t *testing.T, s *platformsite.Site, entry *platformsite.Entry) []*chain {
	t.Helper()
	chains := make([]*chain, takenUpStreams)
	for i := range chains {
		chains[i] = newChain(interruptedPlan(), streamBudget)
	}
	if err := inParallel(chains, func(ch *chain) error { return ch.begin(testContext(t), entry) }); err != nil {
		t.Fatal(err)
	}
	return chains
}

// begin sends a request, again after a refusal, and waits for its first events.
func (ch *chain) begin(ctx context.Context, entry *platformsite.Entry) error {
	ctx, cancel := context.WithDeadline(ctx, ch.deadline)
	defer cancel()
	return site.Eventually(ctx, func() error {
		c, err := ch.dial(entry)
		if err != nil {
			return err
		}
		return c.awaitEvents(eventsBefore)
	})
}

// finishLast reads the rest of the response to the last request of each chain.
func finishLast(t *testing.T, chains []*chain) {
	t.Helper()
	err := inParallel(chains, func(ch *chain) error {
		c := ch.tries[len(ch.tries)-1]
		return ch.add(c, c.finish())
	})
	if err != nil {
		t.Error(err)
	}
}

// readInterrupted reads what is left of streams that were interrupted.
func readInterrupted(t *testing.T, chains []*chain) {
	t.Helper()
	finishLast(t, chains)
	for _, ch := range chains {
		if ch.complete {
			t.Fatalf("%s was complete before it was interrupted", ch.content)
		}
	}
}

// takeUp resumes all streams at an entry and checks what their callers have in all. It
// returns the number of those that are complete.
func takeUp(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, chains []*chain) int {
	t.Helper()
	if err := inParallel(chains, func(ch *chain) error { return ch.goOn(entry) }); err != nil {
		t.Error(err)
	}
	wentOn, ran := 0, ranAt(s)
	for _, ch := range chains {
		if ch.complete {
			wentOn++
		}
		if err := ch.checkRefused(ran); err != nil {
			t.Error(err)
		}
		t.Logf("%s of %s: %d of %d events, %d requests, %d refused", ch.content, ch.software(), len(ch.events), ch.plan.Events, len(ch.tries), len(ch.refused))
	}
	return wentOn
}

// restartAfter kills processes at once, calls meanwhile, and starts them again. It returns
// when the entries are ready.
func restartAfter(t *testing.T, s *platformsite.Site, processes []*site.Process, meanwhile func()) {
	t.Helper()
	if err := site.KillAll(processes...); err != nil {
		t.Fatal(err)
	}
	if meanwhile != nil {
		meanwhile()
	}
	if err := site.StartAll(processes...); err != nil {
		t.Fatal(err)
	}
	if err := s.AwaitEntries(testContext(t)); err != nil {
		t.Fatal(err)
	}
}

// beganAt returns the chains that a version of the software began.
func beganAt(chains []*chain, software string) []*chain {
	var began []*chain
	for _, ch := range chains {
		if ch.software() == software {
			began = append(began, ch)
		}
	}
	return began
}

// serversOf returns the servers with a version of the software.
func serversOf(s *platformsite.Site, software string) []*platformsite.ServerProcess {
	var found []*platformsite.ServerProcess
	for _, server := range s.Servers {
		if server.Software() == software {
			found = append(found, server)
		}
	}
	return found
}
