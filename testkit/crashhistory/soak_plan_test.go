package crashhistory

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
)

const (
	// deadlyFrom is when requests that crash servers begin to come, after which faults have
	// shown what share of the other requests they leave; historyLength is when all end.
	deadlyFrom    = 6 * time.Second
	historyLength = 20 * time.Second
	// minPeriod and maxPeriod bound the time between two faults of a series.
	minPeriod = 700 * time.Millisecond
	maxPeriod = 2 * time.Second
	// maxDown bounds how long a fault keeps a process down or frozen.
	maxDown = 900 * time.Millisecond
	// maxSilent bounds how long the store is silent.
	maxSilent = 2500 * time.Millisecond
	// maxMarks is the number of parts or requests that crash servers beside each other.
	maxMarks = 2
)

// deadlyKind is what crashes servers.
type deadlyKind string

// The kinds, and with how many crashes each has to be known.
const (
	deadlyPart         deadlyKind = "part of prompts"
	deadlyRequest      deadlyKind = "request"
	deadlyPlainRequest deadlyKind = "plain request"
)

// allowedCrashes returns the number of crashes from which on few such requests may reach
// servers.
func (k deadlyKind) allowedCrashes() int {
	if k == deadlyPart {
		return 5
	}
	return 3
}

// plan is the play that a seed determines.
type plan struct {
	seed uint64
	kind deadlyKind
	path string
	// marks are the texts that crash servers; each stands for one part or one request.
	marks []string
	// events is the number of events before a server exits, after the time until it does.
	events int
	after  time.Duration
	// period is the time between two deadly requests.
	period time.Duration
	// downs are the times after which servers are started again, one after the other.
	downs  []time.Duration
	faults []fault
}

// fault is one fault of a plan.
type fault struct {
	at   time.Duration
	kind string
	// target is the number of the process in its role; a fault of several takes all from it
	// on. Servers are those that the deadly requests reach.
	target, count int
	down          time.Duration
}

// newPlan returns the plan of a seed.
func newPlan(seed uint64) *plan {
	r := random(seed, 0)
	p := &plan{seed: seed, after: pick(r, 0, 0, 50*time.Millisecond, 300*time.Millisecond)}
	p.kind = pick(r, deadlyPart, deadlyPart, deadlyRequest, deadlyPlainRequest)
	p.path = pick(r, platformsite.AdvicePath, platformsite.BatchPath)
	if p.kind == deadlyPlainRequest {
		p.path = pick(r, platformsite.BookingPath, platformsite.StockPath)
	}
	for i := range 1 + r.IntN(maxMarks) {
		p.marks = append(p.marks, fmt.Sprintf("dead%02d", i+1))
	}
	p.events = pick(r, 0, 0, 0, 1)
	p.period = between(r, 80*time.Millisecond, 500*time.Millisecond)
	longest := pick(r, 100*time.Millisecond, time.Second, 3*time.Second, 5*time.Second)
	for range 1 + r.IntN(3) {
		p.downs = append(p.downs, between(r, 30*time.Millisecond, longest))
	}
	for range 1 + r.IntN(3) {
		p.addSeries(r)
	}
	if r.IntN(4) == 0 {
		p.faults = append(p.faults, fault{at: between(r, deadlyFrom, 12*time.Second), kind: silentStore, down: between(r, 500*time.Millisecond, maxSilent)})
	}
	return p
}

// addSeries adds faults of one kind that come again and again, from the start of the
// history on: half of the series hit all processes of a role at once, the others one after
// the other.
func (p *plan) addSeries(r *rand.Rand) {
	kind := pick(r, killAgents, killAgents, freezeAgents, killEntries, freezeEntries, terminateEntries, killServers)
	processes := map[string]int{
		killAgents: runnerCount, freezeAgents: runnerCount, killServers: runnerCount,
		killEntries: disturbedEntries, freezeEntries: disturbedEntries, terminateEntries: disturbedEntries,
	}[kind]
	count := 1
	if kind != killServers && r.IntN(2) == 0 {
		count = processes
	}
	period := between(r, minPeriod, maxPeriod)
	for n, at := 0, between(r, 0, period); at < historyLength; n, at = n+1, at+period {
		p.faults = append(p.faults, fault{at: at, kind: kind, target: n % (processes - count + 1), count: count, down: between(r, 0, min(maxDown, period/2))})
	}
}

// String describes the plan.
func (p *plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %s at %s, %d of them every %s, %d events and %s before the exit, servers back after %s\n",
		p.seed, p.kind, p.path, len(p.marks), p.period, p.events, p.after, p.downs)
	for _, f := range p.faults {
		fmt.Fprintf(&text, "%.2f s: %s", f.at.Seconds(), f.kind)
		if f.kind != silentStore {
			fmt.Fprintf(&text, " %d to %d", f.target+1, f.target+f.count)
		}
		fmt.Fprintf(&text, " for %s\n", f.down.Round(time.Millisecond))
	}
	return text.String()
}

// pick returns one of several values.
func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// between returns a duration of at least shortest and below longest.
func between(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}
