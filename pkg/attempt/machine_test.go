package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// generous is a budget that is never used up.
func generous() *Budget {
	return NewBudget(testStart, BudgetLimits{Ratio: 1, Slack: 1e6, Window: 10 * time.Second}, 1)
}

func TestVerdicts(t *testing.T) {
	once := Request{Service: "s", MaxRuns: 1}
	again := Request{Service: "s", Idempotent: true, MaxRuns: 2}
	stream := Request{Service: "s", Idempotent: true, Resumable: true, MaxRuns: 2}
	tests := []struct {
		name   string
		work   Request
		events []Event
		want   Verdict
	}{
		{"once, refused", once, []Event{NotRun}, RetryElsewhere},
		{"once, never sent", once, []Event{NotSent}, RetryElsewhere},
		{"once, failed", once, []Event{Failed}, ForwardFailure},
		{"once, lost", once, []Event{Lost}, FailUnknown},
		{"once, refused often", once, []Event{NotRun, NotRun, NotRun, NotRun}, RefuseNotRun},
		{"once, broken", once, []Event{Broken}, Abort},
		{"again, failed", again, []Event{Failed}, RetryElsewhere},
		{"again, failed twice", again, []Event{Failed, Failed}, ForwardFailure},
		{"again, lost, then refused", again, []Event{Lost, NotRun, NotRun, NotRun}, FailUnknown},
		{"again, broken after its start", again, []Event{Broken}, Abort},
		{"stream, broken", stream, []Event{Broken}, RetryElsewhere},
		{"stream, broken twice", stream, []Event{Broken, Broken}, Abort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.work.Deadline = testStart.Add(time.Minute)
			machine := New(test.work, generous())
			var got Verdict
			for _, event := range test.events {
				machine.Sent(testStart)
				got = machine.Step(testStart, event)
			}
			if got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

func TestNothingIsRepeatedAtTheDeadline(t *testing.T) {
	work := Request{Service: "s", Idempotent: true, MaxRuns: 3, Deadline: testStart.Add(minRetryTime / 2)}
	for _, event := range []Event{NotSent, NotRun, Failed, Lost} {
		machine := New(work, generous())
		machine.Sent(testStart)
		if got := machine.Step(testStart, event); got == RetryElsewhere {
			t.Errorf("%s is sent again right before the deadline", event)
		}
	}
}

// TestPromises plays any events and checks what must always hold: a request that
// may run once is sent on only if it surely hasn't run, none runs more often than
// it may, and a refusal as not run is true.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := Request{
			Service: "s", Idempotent: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(1, 4).Draw(t, "max runs"),
			Deadline: testStart.Add(time.Second),
		}
		work.Resumable = work.Idempotent && rapid.Bool().Draw(t, "resumable")
		budget := NewBudget(testStart, BudgetLimits{Slack: rapid.Float64Range(0, 10).Draw(t, "slack"), Window: time.Second}, 1)
		machine := New(work, budget)
		now := testStart
		mayHaveRun := 0
		for {
			machine.Sent(now)
			event := Event(rapid.IntRange(int(NotSent), int(Broken)).Draw(t, "event"))
			if event.IsFailure() {
				mayHaveRun++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			verdict := machine.Step(now, event)
			switch {
			case mayHaveRun > work.MaxRuns && work.Idempotent, mayHaveRun > 1 && !work.Idempotent:
				t.Fatalf("ran %d times", mayHaveRun)
			case verdict == RefuseNotRun && mayHaveRun > 0:
				t.Fatal("called not run after a run")
			case verdict == RetryElsewhere && mayHaveRun > 0 && !work.Idempotent:
				t.Fatal("sent on though it may have run")
			}
			if verdict != RetryElsewhere {
				return
			}
		}
	})
}

// TestBudgetHoldsInEachWindow checks the repeated sends of several entries in any
// span of the window against the bound of all together.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := BudgetLimits{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack"),
			Window: 10 * time.Second,
		}
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = NewBudget(testStart, limits, entries)
		}
		type sent struct {
			at     time.Time
			repeat bool
		}
		var all []sent
		now := testStart
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			budget.Request(now, "s")
			all = append(all, sent{at: now})
			if rapid.Bool().Draw(t, "fails") && budget.Withdraw(now, "s") {
				all = append(all, sent{at: now, repeat: true})
			}
		}
		requestsFrom := func(from time.Time) int {
			count := 0
			for _, s := range all {
				if span := s.at.Sub(from); !s.repeat && span >= 0 && span <= limits.Window {
					count++
				}
			}
			return count
		}
		for i, first := range all {
			repeats := 0
			for _, s := range all[i:] {
				if s.repeat && s.at.Sub(first.at) <= limits.Window {
					repeats++
				}
			}
			// The requests of the window, of the one before it and of the one half a
			// window before count, whichever are most.
			requests := max(requestsFrom(first.at), requestsFrom(first.at.Add(-limits.Window/2)), requestsFrom(first.at.Add(-limits.Window)))
			if bound := limits.Ratio*float64(requests) + limits.Slack; float64(repeats) > bound {
				t.Fatalf("%d repeats in a window of %d requests, %.1f allowed", repeats, requests, bound)
			}
		}
	})
}

func TestBudgetOfServicesIsSeparate(t *testing.T) {
	budget := NewBudget(testStart, BudgetLimits{Slack: 2, Window: time.Second}, 1)
	if !budget.Withdraw(testStart, "a") || budget.Withdraw(testStart, "a") {
		t.Error("the slack of one send isn't one send")
	}
	if !budget.Withdraw(testStart, "b") {
		t.Error("another service's budget was used up")
	}
	if !budget.Withdraw(testStart.Add(2*time.Second), "a") {
		t.Error("the budget isn't there again after the window")
	}
}
