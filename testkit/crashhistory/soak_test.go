// Package crashhistory plays histories of requests that crash backend servers against
// processes: backend servers exit at such requests and are started again, while agents,
// entries and servers are killed, frozen and restarted and the store is silent. What
// servers received and callers got is checked at the end of each history.
//
// `make soak SEEDS=50 SEED=1000` plays 50 seeds from 1000 on, `make soak SEED=7` that one
// seed, and `make soak SEEDS=failed` all that failed once; a run of CI plays ciSeeds.
// SOAK_LOGS names a directory that receives the logs of all processes. The plan of a seed
// depends on the seed alone, the history also on the speed of the processes: repeat a seed
// that failed once.
//
// A failed history prints its plan, each fault and crash with its time, the sends that were
// too late with their entries, and the log lines on crashes and blocks. Read it from the
// first late send back: which entry sent it, whether that entry had the block (`block
// learned`, and `request refused` in its log), which detectors had it (`block changed`), and
// what became of them.
//
// A fault is a function in faultKinds and its name in the plan; it reports when it disturbs
// an entry or the store, as sends during such time and shortly after it don't count. It is
// drawn from a part of random of its own, so that the plans of failed seeds stay as they
// are. A checker reads the record of a history: see check.
package crashhistory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// failedSeeds are all seeds that failed once, each with its cause.
var failedSeeds = []uint64{
	1, // All agents are killed every 1.05 s: no detector lives until it has three crashes.
	2, // One agent after the other is killed: the next detectors don't have the blocks.
	// Entries hand over reports of others without the starts that these know, so that sound
	// parts are blocked; a deadly stream that sends an event before its server exits isn't
	// among those that had just begun.
	9,
}

var (
	// ciSeeds are the seeds that a run of CI plays.
	ciSeeds = []uint64{1, 2}
	// openSeeds are failed seeds whose causes aren't mended yet. KNOWN-RED.txt names their
	// test.
	openSeeds = []uint64{9}
)

const (
	// entryCount and runnerCount are the numbers of processes; a site has as many plain
	// servers as runners. disturbedEntries is the number of entries that faults may
	// disturb: what the others send counts all the time.
	entryCount       = 4
	runnerCount      = 4
	disturbedEntries = 2
)

func TestMain(m *testing.M) {
	code := m.Run()
	site.CleanShared()
	os.Exit(code)
}

// number returns the number in an environment variable, or without one a given value.
func number(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// seeds returns the seeds to play.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	if os.Getenv("SOAK_SEEDS") == "failed" {
		return failedSeeds
	}
	if os.Getenv("SOAK_SEEDS") == "" && os.Getenv("SOAK_SEED") == "" {
		return ciSeeds
	}
	var all []uint64
	first := number(t, "SOAK_SEED", 1)
	for i := range number(t, "SOAK_SEEDS", 1) {
		all = append(all, first+i)
	}
	return all
}

func TestHistoryHasFewSendsOfRequestsThatCrashServers(t *testing.T) { playHistories(t, seeds(t)) }

func TestHistoryOfOpenSeedsHasFewSendsOfRequestsThatCrashServers(t *testing.T) {
	if os.Getenv("SOAK_SEEDS") != "" || os.Getenv("SOAK_SEED") != "" {
		t.Skip("other seeds are played")
	}
	playHistories(t, openSeeds)
}

func playHistories(t *testing.T, seeds []uint64) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, newPlan(seed)) })
	}
}

// startSite starts the site of a history.
func startSite(t *testing.T, p *plan) *platformsite.Site {
	t.Helper()
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = entryCount, runnerCount, runnerCount
	options.Slots = 32
	options.Models = options.Models[:1]
	options.ConfigureEngine = func(_ int, engine *backendserver.Engine) { engine.OnDisk = []string{modelName} }
	options.Work = 20 * time.Millisecond
	options.LogLevel = "info"
	options.DrainMillis = int(maxDown.Milliseconds())
	options.ServerProcesses = true
	options.Deadly = &backendserver.Deadly{Marks: p.marks, Events: p.events, AfterMillis: int(p.after.Milliseconds())}
	s, err := platformsite.Start(t.Context(), binaries, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		saveLogs(t, s, p.seed)
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// saveLogs writes the logs of all processes to the directory that SOAK_LOGS names.
func saveLogs(t *testing.T, s *platformsite.Site, seed uint64) {
	t.Helper()
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	dir = filepath.Join(dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Error(err)
		return
	}
	for _, process := range s.Processes() {
		if err := os.WriteFile(filepath.Join(dir, process.Name+".log"), []byte(process.Log()), 0o600); err != nil {
			t.Error(err)
		}
	}
}

// playHistory plays the plan of a seed and checks it.
func playHistory(t *testing.T, p *plan) {
	t.Helper()
	t.Log(p)
	s := startSite(t, p)
	h := &history{plan: p, site: s, killed: map[*platformsite.ServerProcess]time.Duration{}}
	h.awaitService(t)
	h.begin = time.Now()
	running := h.keepServersRunning(t)
	h.playFaults(t)
	h.playRequests(t.Context())
	h.wait.Wait()
	running()
	h.check(t)
}

// random returns the source of random numbers of one part of a plan.
func random(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

func TestSeedDeterminesPlan(t *testing.T) {
	for seed := range uint64(100) {
		if first, second := newPlan(seed).String(), newPlan(seed).String(); first != second {
			t.Errorf("two plans of a seed:\n%s%s", first, second)
		}
	}
}
