package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// attemptWorld drives an Attempt with drawn events and knows what really ran.
type attemptWorld struct {
	*rapid.T
	attempt    *Attempt
	idempotent bool
	table      *Table
	leaving    string
	now        time.Time
	deadline   time.Time

	current  string
	resuming bool
	accepted string
	received int64
	passedOn bool
	// bound and lostOwner tell that the key is bound, and to a lost incarnation.
	bound     bool
	lostOwner bool
	// runs counts the runs of the work, inDoubt the sends that may have run.
	runs    int
	inDoubt int
	sends   int
	// answered tells that the last event was a whole answer.
	answered bool
}

// TestAttempt draws all events that agents, links and callers can cause, and
// checks that a refusal tells the truth, that non-idempotent work is never sent
// again while an earlier send may have run, and that a passed-on answer is only
// resumed.
func TestAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &attemptWorld{T: t, now: start, deadline: start.Add(10 * time.Second), leaving: "d"}
		w.idempotent = rapid.Bool().Draw(t, "idempotent")
		view := viewOf("a", "b", "c", "d")
		view.StatusReceived(start, wire.Status{Runner: "d", Leaving: true, Incarnation: "d-1"})
		view.StatusReceived(start, statusOf("b", wire.ModelAbsent, 0))
		w.table = NewTable(view.Snapshot(), placementOf("a", "b", "c", "d"))
		query := Query{Model: "m", Version: "1"}
		if rapid.Bool().Draw(t, "service") {
			query = Query{Service: "orders", AffinityKey: "k"}
		}
		work := Request{RequestID: "q", Query: query, Idempotent: w.idempotent, Deadline: w.deadline}
		w.attempt = NewAttempt(work, NewRetryBudget(), rapid.Uint64().Draw(t, "seed"))
		action := w.attempt.Start(w.now, w.table)
		for range 40 {
			if w.take(action) {
				return
			}
			action = w.attempt.Step(w.now, w.event(), w.table)
		}
		t.Fatal("the attempt doesn't end")
	})
}

// take checks an action and tells whether it is the last.
func (w *attemptWorld) take(action Action) bool {
	switch action := action.(type) {
	case Send:
		w.sent(action)
	case Resume:
		w.resumed(action)
	case Fail:
		w.failed(action.Refusal)
		return true
	case Done:
		if !w.answered {
			w.Fatal("done without a whole answer")
		}
		return true
	}
	return false
}

func (w *attemptWorld) sent(send Send) {
	w.sends++
	w.now = w.now.Add(send.After)
	switch {
	case w.now.After(w.deadline):
		w.Fatal("sent after the deadline")
	case send.Target.Agent == w.leaving && !w.bound:
		w.Fatal("new work for a leaving agent")
	case w.lostOwner:
		w.Fatal("sent to an incarnation that replaced the key's owner")
	case w.passedOn:
		w.Fatal("sent again after a part of the answer was passed on")
	case !w.idempotent && w.inDoubt > 0:
		w.Fatal("non-idempotent work sent again")
	case w.sends > MaxAttempts+1:
		w.Fatal("too many sends")
	}
	w.current, w.accepted, w.received, w.resuming = send.Target.Agent, "", 0, false
}

func (w *attemptWorld) resumed(resume Resume) {
	w.now = w.now.Add(resume.After)
	if w.accepted == "" || resume.Incarnation != w.accepted || resume.Target.Agent != w.current || resume.Offset != w.received {
		w.Fatalf("resumed %+v after %q at %d", resume, w.accepted, w.received)
	}
	w.resuming = true
}

func (w *attemptWorld) failed(refusal wire.Refusal) {
	if refusal.Outcome == wire.OutcomeNotRun && (w.runs > 0 || w.inDoubt > 0) {
		w.Fatalf("%d runs, %d in doubt, and told %+v", w.runs, w.inDoubt, refusal)
	}
	if refusal.RetryAfterMillis == 0 || refusal.RequestID != "q" {
		w.Fatalf("incomplete refusal %+v", refusal)
	}
}

func (w *attemptWorld) event() Event {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(w.T, "ms")) * time.Millisecond)
	kinds := []string{"refused", "not sent", "lost", "expired", "cancelled", "answered", "bound else"}
	if w.accepted == "" && !w.resuming {
		kinds = append(kinds, "accepted", "accepted")
	}
	if w.accepted != "" {
		kinds = append(kinds, "streaming", "streaming", "cut")
	}
	switch kind := rapid.SampledFrom(kinds).Draw(w.T, "event"); kind {
	case "accepted":
		w.accepted = w.current + "-1"
		return Accepted{Incarnation: w.accepted}
	case "refused":
		return w.refused()
	case "bound else":
		return w.boundElse()
	case "not sent":
		return Lost{Stage: NotSent, Received: w.received, Forwarded: w.passedOn}
	case "lost":
		w.doubt()
		return Lost{Stage: Sent, Received: w.received, Forwarded: w.passedOn}
	case "streaming":
		w.doubt()
		w.received += int64(rapid.IntRange(0, 9).Draw(w.T, "bytes"))
		w.passedOn = w.passedOn || (w.received > 0 && rapid.Bool().Draw(w.T, "passed on"))
		return Lost{Stage: Streaming, Received: w.received, Forwarded: w.passedOn}
	case "cut":
		w.doubt()
		return CorruptResponse{PassedOn: w.passedOn}
	case "expired":
		return Expired{Stage: w.abandoned()}
	case "cancelled":
		return Cancelled{Stage: w.abandoned()}
	default:
		w.answered = true
		return Completed{}
	}
}

// doubt notes that the send under way may have run, and whether it did.
func (w *attemptWorld) doubt() {
	if !w.resuming || w.inDoubt == 0 {
		w.inDoubt++
	}
	if rapid.Bool().Draw(w.T, "ran") {
		w.runs++
	}
}

func (w *attemptWorld) abandoned() Stage {
	stage := rapid.SampledFrom([]Stage{NotSent, Sent}).Draw(w.T, "stage")
	if stage == Sent || w.accepted != "" {
		w.doubt()
		return Sent
	}
	return stage
}

// refused draws a refusal. Only the incarnation that has the work, or that the
// key is bound to, can tell that a send in doubt didn't run.
func (w *attemptWorld) refused() Event {
	refusal := wire.Refusal{
		Outcome:          rapid.SampledFrom([]wire.Outcome{wire.OutcomeNotRun, wire.OutcomeUnknown, wire.OutcomeRan}).Draw(w.T, "outcome"),
		Reason:           rapid.SampledFrom([]wire.Reason{wire.ReasonQueueFull, wire.ReasonLeaving, wire.ReasonEngine, wire.ReasonRate}).Draw(w.T, "reason"),
		RetryAfterMillis: rapid.Uint32Range(0, 3).Draw(w.T, "retry after"),
		BetterRunner:     rapid.SampledFrom([]string{"", "a", "d", "nowhere"}).Draw(w.T, "better"),
	}
	required := w.accepted
	if w.bound {
		required = "b-1"
	}
	knows := true
	if w.resuming || w.bound {
		incarnation := rapid.SampledFrom([]string{"", "other", required}).Draw(w.T, "incarnation")
		refusal.Status = &wire.Status{Incarnation: incarnation}
		knows = incarnation == required
	}
	switch {
	case refusal.Outcome != wire.OutcomeNotRun:
		w.doubt()
	case knows && w.resuming:
		w.inDoubt--
		w.runs = 0
	case !knows && rapid.Bool().Draw(w.T, "ran before"):
		w.runs++
	}
	return Refused{Refusal: refusal}
}

// boundElse draws that the key is bound to an incarnation of b, which lives, or
// to one that doesn't, and whose run nobody else knows of.
func (w *attemptWorld) boundElse() Event {
	refusal := wire.Refusal{Reason: wire.ReasonBoundElse, Outcome: wire.OutcomeNotRun, BetterRunner: "b"}
	refusal.BetterIncarnation = rapid.SampledFrom([]string{"b-1", "b-0"}).Draw(w.T, "owner")
	w.lostOwner = refusal.BetterIncarnation == "b-0"
	if w.bound || w.lostOwner {
		w.runs++
	}
	w.bound = true
	return Refused{Refusal: refusal}
}
