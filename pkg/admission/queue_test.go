package admission

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

func always(Target) bool { return true }

// calibrate sets the queue's service rate to 100 tokens per second and slot.
func calibrate(t *testing.T, q *Queue) {
	t.Helper()
	mustQueue(t, q, Item{ID: "calibrate", Plan: "calibrate", Tokens: 100}, 0)
	if _, ok := q.Next(testStart, always); !ok {
		t.Fatal("nothing to run")
	}
	q.Finish(testStart, "calibrate", 100, time.Second)
}

func mustQueue(t *testing.T, q *Queue, item Item, readyIn time.Duration) {
	t.Helper()
	if r := q.Offer(testStart, item, Estimate{ReadyIn: readyIn}); r != nil {
		t.Fatalf("%s refused: %+v", item.ID, r)
	}
}

func TestOfferRefusesItemsThatMissDeadline(t *testing.T) {
	const second = time.Second
	cold := Target{Model: "cold"}
	tests := []struct {
		name    string
		ahead   []Item
		item    Item
		budget  time.Duration
		readyIn time.Duration
		want    wire.Reason
	}{
		{"empty queue", nil, Item{Plan: "p", Tokens: 100}, 2 * second, 0, ""},
		{"service time exceeds the deadline", nil, Item{Plan: "p", Tokens: 300}, 2 * second, 0, wire.ReasonDeadline},
		{"load time exceeds the deadline", nil, Item{Plan: "p", Tokens: 100}, 2 * second, 5 * second, wire.ReasonDeadline},
		{"load completes in time", nil, Item{Plan: "p", Tokens: 100}, 7 * second, 5 * second, ""},
		{"deadline already passed", nil, Item{Plan: "p"}, -second, 0, wire.ReasonDeadline},
		{
			"behind items of the same plan",
			[]Item{{ID: "1", Plan: "p", Priority: 1, Tokens: 500}},
			Item{Plan: "p", Tokens: 100},
			4 * second, 0, wire.ReasonDeadline,
		},
		{
			"ahead of a later deadline in the same plan",
			[]Item{{ID: "1", Plan: "p", Tokens: 50000}},
			Item{Plan: "p", Tokens: 100},
			4 * second, 0, "",
		},
		{
			"burst of another plan is limited to its share",
			[]Item{{ID: "1", Plan: "q", Weight: 1, Tokens: 50000}},
			Item{Plan: "p", Weight: 1, Tokens: 100},
			4 * second, 0, "",
		},
		{
			"burst of another plan and a queue of the same plan",
			[]Item{{ID: "1", Plan: "q", Weight: 1, Tokens: 50000}, {ID: "2", Plan: "p", Weight: 1, Priority: 1, Tokens: 100}},
			Item{Plan: "p", Weight: 1, Tokens: 100},
			4 * second, 0, "",
		},
		{
			"queue of a cold model doesn't count",
			[]Item{{ID: "1", Plan: "p", Priority: 2, Tokens: 50000, Target: cold}},
			Item{Plan: "p", Tokens: 100},
			4 * second, 0, "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Limits{MaxQueued: 100, Slots: 1})
			calibrate(t, q)
			for _, item := range tt.ahead {
				readyIn := time.Duration(0)
				if item.Target == cold {
					readyIn = time.Minute
				}
				mustQueue(t, q, item, readyIn)
			}
			tt.item.ID = "x"
			tt.item.Deadline = testStart.Add(tt.budget)
			r := q.Offer(testStart, tt.item, Estimate{ReadyIn: tt.readyIn})
			var got wire.Reason
			if r != nil {
				got = r.Reason
			}
			if got != tt.want {
				t.Errorf("refusal %q, want %q", got, tt.want)
			}
			if r != nil && r.RetryAfter <= 0 {
				t.Errorf("no retry-after time")
			}
		})
	}
}

func TestOfferBounds(t *testing.T) {
	q := New(Limits{MaxQueued: 3, Slots: 1})
	mustQueue(t, q, Item{ID: "1", Plan: "p", MaxQueuedPlan: 2}, 0)
	mustQueue(t, q, Item{ID: "2", Plan: "p", MaxQueuedPlan: 2}, 0)
	tests := []struct {
		item Item
		want wire.Reason
	}{
		{Item{ID: "2", Plan: "q"}, wire.ReasonInvalid},
		{Item{ID: "3", Plan: "p", MaxQueuedPlan: 2}, wire.ReasonQueueFull},
		{Item{ID: "4", Plan: "q"}, ""},
		{Item{ID: "5", Plan: "r"}, wire.ReasonQueueFull},
	}
	for _, tt := range tests {
		r := q.Offer(testStart, tt.item, Estimate{})
		if (r == nil) != (tt.want == "") || r != nil && r.Reason != tt.want {
			t.Errorf("item %s: %+v, want %q", tt.item.ID, r, tt.want)
		}
	}
}

func TestNextSkipsLoadingTargets(t *testing.T) {
	q := New(Limits{MaxQueued: 10, Slots: 1})
	cold := Target{Model: "cold"}
	mustQueue(t, q, Item{ID: "cold", Plan: "p", Priority: 5, Target: cold}, time.Minute)
	mustQueue(t, q, Item{ID: "warm", Plan: "p"}, 0)
	item, ok := q.Next(testStart, func(target Target) bool { return target != cold })
	if !ok || item.ID != "warm" {
		t.Fatalf("got %q, %v", item.ID, ok)
	}
}

func TestIdlePlanAccumulatesNoCredit(t *testing.T) {
	q := New(Limits{MaxQueued: 1000, Slots: 1})
	for i := range 60 {
		mustQueue(t, q, Item{ID: fmt.Sprint("p", i), Plan: "p", Tokens: 10}, 0)
	}
	serve := func(n int) map[string]int {
		served := map[string]int{}
		for range n {
			item, ok := q.Next(testStart, always)
			if !ok {
				t.Fatal("nothing to run")
			}
			served[item.Plan]++
			q.Finish(testStart, item.ID, item.Tokens, 0)
		}
		return served
	}
	serve(30)
	for i := range 60 {
		mustQueue(t, q, Item{ID: fmt.Sprint("q", i), Plan: "q", Tokens: 10}, 0)
	}
	if served := serve(20); served["p"] < 9 || served["q"] < 9 {
		t.Errorf("served %v", served)
	}
}

func TestNextEnforcesRateLimit(t *testing.T) {
	q := New(Limits{MaxQueued: 10, Slots: 4})
	mustQueue(t, q, Item{ID: "1", Plan: "p", Tokens: 300, TokensPerSecond: 100}, 0)
	mustQueue(t, q, Item{ID: "2", Plan: "p", Tokens: 100, TokensPerSecond: 100}, 0)
	if _, ok := q.Next(testStart, always); !ok {
		t.Fatal("the first request didn't start")
	}
	if item, ok := q.Next(testStart.Add(time.Second), always); ok {
		t.Fatalf("%s started above the plan's rate", item.ID)
	}
	late := Item{ID: "3", Plan: "p", TokensPerSecond: 100, Deadline: testStart.Add(2 * time.Second)}
	if r := q.Offer(testStart.Add(time.Second), late, Estimate{}); r == nil || r.Reason != wire.ReasonRate {
		t.Errorf("refusal %+v", r)
	}
	if _, ok := q.Next(testStart.Add(2100*time.Millisecond), always); !ok {
		t.Error("the second request didn't start")
	}
}

func BenchmarkOffer(b *testing.B) {
	q := New(Limits{MaxQueued: 1 << 30, Slots: 8})
	for i := range 4000 {
		q.Offer(testStart, benchItem(i), Estimate{})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		item := benchItem(i)
		item.ID = "x"
		q.Offer(testStart, item, Estimate{})
		q.Remove(testStart, "x")
	}
}

func benchItem(i int) Item {
	return Item{
		ID: fmt.Sprint(i), Plan: fmt.Sprint("p", i%30), Weight: 1 + i%7, Tokens: int64(100 + i%900),
		Deadline: testStart.Add(time.Duration(i%60+60) * time.Second), MaxQueuedPlan: 10000,
		Target: Target{Model: fmt.Sprint("m", i%5)},
	}
}
