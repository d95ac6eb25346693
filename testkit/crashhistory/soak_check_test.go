package crashhistory

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// contactTime is the time after the last allowed crash from which entries must know
	// what crashes servers; an entry counts if nothing has disturbed it for so long.
	contactTime = 3 * time.Second
	// maxLateSends is how many such requests may reach servers then.
	maxLateSends = 3
	// minShare bounds the share of the sound requests that are served beside deadly ones, in
	// parts of the share that is served beside the other faults alone. minBegun bounds the
	// share that begins at the first attempt in the same way. Both need minCount requests.
	minShare = 0.9
	minBegun = 0.5
	minCount = 20
	// contentReason is in the response to a request that is refused for its content.
	contentReason = "crash"
	// maxShown bounds the lines that a failed history prints.
	maxShown = 400
)

func sortByTime(faults []fault) {
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
}

// check fails the test if a promise was broken.
func (h *history) check(t *testing.T) {
	t.Helper()
	lastAllowed := time.Time{}
	for _, mark := range h.plan.marks {
		crashes := h.crashes(mark)
		t.Logf("%s: %d crashes", mark, len(crashes))
		allowed := h.plan.kind.allowedCrashes()
		if len(crashes) > 0 {
			last := crashes[min(allowed, len(crashes))-1].At
			if last.After(lastAllowed) {
				lastAllowed = last
			}
		}
		if len(crashes) >= allowed {
			h.checkLateSends(t, mark, crashes[allowed-1].At)
		}
	}
	if lastAllowed.IsZero() {
		t.Error("no server has crashed")
	}
	h.checkNoneBlocked(t)
	h.checkShares(t, lastAllowed.Add(2*contactTime))
	if t.Failed() {
		t.Log(h.trace())
	}
}

// crashes returns the crashes by one mark, in order.
func (h *history) crashes(mark string) []backendserver.Crash {
	var all []backendserver.Crash
	for _, server := range h.site.Servers {
		for _, crash := range server.Crashes() {
			if crash.Mark == mark {
				all = append(all, crash)
			}
		}
	}
	slices.SortFunc(all, func(a, b backendserver.Crash) int { return a.At.Compare(b.At) })
	return all
}

// inTouch reports whether nothing disturbed an entry between a time and the contact time
// before it.
func (h *history) inTouch(entry int, from, to time.Time) bool {
	for _, d := range h.disturbances {
		if d.entry == entry && d.from.Before(to) && d.to.After(from.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// checkLateSends checks that few requests with a mark reached servers long after the last
// crash that is allowed.
func (h *history) checkLateSends(t *testing.T, mark string, allowed time.Time) {
	t.Helper()
	entries := map[string]int{}
	for _, request := range h.sent {
		entries[request.ID] = request.entry
	}
	late := 0
	for _, server := range h.site.Servers {
		for _, run := range server.Arrivals() {
			marked := strings.Contains(run.Prompt, mark) || strings.Contains(run.Body, mark)
			entry := entries[run.ID]
			if marked && run.At.After(allowed.Add(contactTime)) && h.inTouch(entry, run.At, run.At) {
				late++
				h.noteAt(run.At, "late send of %s: %s of %s to %s", mark, run.ID, h.site.Entries[entry].ID, server.ID)
			}
		}
	}
	t.Logf("%s: %d sends later than %s after the last allowed crash", mark, late, contactTime)
	if late > maxLateSends {
		t.Errorf("%d requests with %s reached servers later than %s after crash %d at %s, %d may", late, mark, contactTime,
			h.plan.kind.allowedCrashes(), stamp(allowed), maxLateSends)
	}
}

// checkNoneBlocked checks that no sound request was refused for its content.
func (h *history) checkNoneBlocked(t *testing.T) {
	t.Helper()
	blocked := 0
	for _, request := range h.sent {
		if request.deadly || !strings.Contains(request.result.Body, contentReason) || request.result.Status == http.StatusOK {
			continue
		}
		blocked++
		h.noteAt(request.at, "sound request blocked: %s at %s, %s", request.ID, h.site.Entries[request.entry].ID, request.Header.Get(backendserver.HeaderPrompt))
	}
	if blocked > 0 {
		t.Errorf("%d sound requests were refused for their content", blocked)
	}
}

// shares counts the sound requests of undisturbed entries.
type shares struct {
	count, begun, served int
	// others counts what else callers got.
	others map[string]int
}

func (s shares) String() string {
	return fmt.Sprintf("%d requests, %.3f begun, %.3f served, others %v", s.count, s.ratio(s.begun), s.ratio(s.served), s.others)
}

func (s shares) ratio(part int) float64 { return float64(part) / float64(max(s.count, 1)) }

// interruptedByKills returns the requests that were at a server when a fault killed it. No
// system can serve those that must not run twice.
func (h *history) interruptedByKills() map[string]bool {
	sent := map[string]sentRequest{}
	for _, request := range h.sent {
		sent[request.ID] = request
	}
	interrupted := map[string]bool{}
	for _, kill := range h.kills {
		for _, run := range kill.server.Arrivals() {
			request, ok := sent[run.ID]
			if ok && run.At.Before(kill.at) && kill.at.Before(request.at.Add(request.result.Total)) {
				interrupted[run.ID] = true
			}
		}
	}
	return interrupted
}

// sharesBetween counts those that were sent between two points in time. sameFirst leaves
// out those with another first part than the deadly requests.
func (h *history) sharesBetween(from, to time.Time, sameFirst bool) shares {
	s := shares{others: map[string]int{}}
	interrupted := h.interruptedByKills()
	for _, request := range h.sent {
		ended := request.at.Add(request.result.Total)
		if request.deadly || request.at.Before(from) || request.at.After(to) || sameFirst && !request.sameFirst ||
			interrupted[request.ID] || !h.inTouch(request.entry, request.at, ended) {
			continue
		}
		s.count++
		if request.result.Status == http.StatusOK {
			s.begun++
		}
		switch {
		case request.result.Err != nil:
			s.others["broken off"]++
		case request.result.Status == http.StatusOK:
			s.served++
		default:
			s.others[fmt.Sprintf("%d %.40s", request.result.Status, strings.TrimSpace(request.result.Body))]++
		}
	}
	return s
}

// checkShares compares the sound requests from a point in time on with those before the
// first deadly one. The same faults come in both times.
func (h *history) checkShares(t *testing.T, from time.Time) {
	t.Helper()
	end := h.begin.Add(historyLength)
	for _, sameFirst := range []bool{true, false} {
		usual := h.sharesBetween(h.begin, h.begin.Add(deadlyFrom-budget/2), sameFirst)
		beside := h.sharesBetween(from, end, sameFirst)
		t.Logf("sound requests, same first part only=%t: usual %s; beside deadly ones %s", sameFirst, usual, beside)
		if usual.count < minCount || beside.count < minCount {
			continue
		}
		if beside.ratio(beside.begun) < minBegun*usual.ratio(usual.begun) {
			t.Errorf("too few sound requests begin beside deadly ones (same first part only=%t)", sameFirst)
		}
		if beside.ratio(beside.served) < minShare*usual.ratio(usual.served) {
			t.Errorf("too few sound requests are served beside deadly ones (same first part only=%t)", sameFirst)
		}
	}
}

// trace returns what happened in a history, in order, with the decisions of its processes.
func (h *history) trace() string {
	lines := slices.Clone(h.notes)
	for _, mark := range h.plan.marks {
		for number, crash := range h.crashes(mark) {
			lines = append(lines, fmt.Sprintf("%s crash %d by %s: %s", stamp(crash.At), number+1, mark, crash.RequestID))
		}
	}
	for _, process := range append(h.site.EntryProcesses(), h.site.AgentProcesses()...) {
		lines = append(lines, decisions(process)...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(a[:len("15:04:05.000")], b[:len("15:04:05.000")]) })
	return strings.Join(lines[:min(len(lines), maxShown)], "\n")
}

// decisionLines match the log lines on crashes and blocks.
var decisionLines = regexp.MustCompile(`msg="?(.*block changed|block learned|block dropped|backend server crashed|crash of a backend server reported|detector begins|evidence .*not )`)

// decisions returns the log lines of a process on crashes and blocks, in the form of notes.
func decisions(process *site.Process) []string {
	var lines []string
	for line := range strings.Lines(process.Log()) {
		_, clock, found := strings.Cut(line, "T")
		if found && len(clock) > len("15:04:05.000") && decisionLines.MatchString(line) {
			lines = append(lines, clock[:len("15:04:05.000")]+" "+process.Name+": "+strings.TrimSpace(line[strings.Index(line, "msg="):]))
		}
	}
	return lines
}
