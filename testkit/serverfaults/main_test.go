// Package serverfaults tests what callers see of a response when processes are killed,
// stopped or cut off while it is being sent. All servers are processes, and callers read
// the bytes of their connections.
package serverfaults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// waitTimeout bounds the wait for an expected event.
	waitTimeout = 20 * time.Second
	// callBudget is how long a caller waits for a response.
	callBudget = 4 * time.Second
)

const modelName = "m1"

// entryCount is the number of entries: mainEntry takes the calls of most tests, the others
// end during a test.
const (
	mainEntry = iota
	killedEntry
	terminatedEntry
	terminatedHTTP10Entry
	entryCount
)

// drainTime is the time between SIGTERM and an entry's exit.
const drainTime = 3500 * time.Millisecond

// directSite has servers that entries reach directly, relayedSite such that they reach
// through relays that cut responses off, uploadSite such whose connections hold little that
// the server hasn't read.
var (
	directSite  = &sharedSite{entries: entryCount}
	relayedSite = &sharedSite{entries: 1, relayTo: cuts.relayTo}
	uploadSite  = &sharedSite{entries: 1, receiveBuffer: smallReceiveBuffer}
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := errors.Join(directSite.close(), relayedSite.close(), uploadSite.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	site.CleanShared()
	os.Exit(code)
}

// sharedSite is a site for several tests. The first one starts it.
type sharedSite struct {
	entries int
	relayTo func(string) (string, error)
	// receiveBuffer is that of the servers' connections, in bytes; zero for the system's.
	receiveBuffer int

	once sync.Once
	site *platformsite.Site
	err  error
}

// start returns the site. It logs the end of the processes' output if the test fails.
func (s *sharedSite) start(t *testing.T) *platformsite.Site {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	s.once.Do(s.open)
	if s.err != nil {
		t.Fatal(s.err)
	}
	t.Cleanup(func() {
		if os.Getenv("SITE_LOGS") != "" {
			t.Log(s.site.Logs())
		}
	})
	return s.site
}

func (s *sharedSite) open() {
	binaries, err := site.Shared()
	if err != nil {
		s.err = err
		return
	}
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = s.entries, 4, 3
	options.Slots = 16
	options.LogLevel = "info"
	options.Models = options.Models[:1]
	// Each incarnation of a runner has the model, so that another one can always resume.
	options.ConfigureEngine = func(_ int, engine *backendserver.Engine) { engine.Loaded = []string{modelName} }
	options.DrainMillis = int(drainTime.Milliseconds())
	options.Retries = settings.Retries{Ratio: 10, Slack: 1000}
	options.ServerProcesses = true
	options.RelayTo = s.relayTo
	options.ReceiveBuffer = s.receiveBuffer
	s.site, s.err = platformsite.Start(context.Background(), binaries, options)
}

func (s *sharedSite) close() error {
	if s.site == nil {
		return nil
	}
	return s.site.Close()
}

// testContext returns a context that ends after waitTimeout or with the test.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// framings are all framings of a server's response.
var framings = []backendserver.Framing{backendserver.FramingChunks, backendserver.FramingLength, backendserver.FramingConnection}

// streamPaths are the paths of a stream that may not be resumed, and of one that may.
var streamPaths = []string{platformsite.AdvicePath, platformsite.BatchPath}

// streamPlan returns the plan of a stream of ten events.
func streamPlan(framing backendserver.Framing) backendserver.Plan {
	return backendserver.Plan{Framing: framing, Events: 10, GapMillis: 5}
}

// stalledPlan returns the plan of a stream that stalls after four events, or inside the
// fifth.
func stalledPlan(framing backendserver.Framing, inside bool) backendserver.Plan {
	plan := streamPlan(framing)
	plan.Stop, plan.StopAfter, plan.Inside = backendserver.StopStall, 4, inside
	return plan
}
