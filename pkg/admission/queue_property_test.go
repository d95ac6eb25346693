package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// queueModel compares a Queue with a reference set of waiting and running items.
type queueModel struct {
	queue   *Queue
	now     time.Time
	slots   int
	next    int
	waiting map[string]Item
	running map[string]Item
	// departures counts how often each accepted item left the queue.
	departures map[string]int
	ready      map[Target]bool
}

func newQueueModel(slots int) *queueModel {
	return &queueModel{
		queue:      New(Limits{MaxQueued: 40, Slots: slots}),
		now:        testStart,
		slots:      slots,
		waiting:    map[string]Item{},
		running:    map[string]Item{},
		departures: map[string]int{},
		ready:      map[Target]bool{},
	}
}

func drawTarget(t *rapid.T) Target {
	return Target{Model: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model")}
}

func (m *queueModel) offer(t *rapid.T) {
	m.next++
	plan := rapid.IntRange(0, 3).Draw(t, "plan")
	item := Item{
		ID:            fmt.Sprint(m.next),
		Plan:          fmt.Sprint("p", plan),
		Weight:        plan + 1,
		Priority:      rapid.IntRange(-1, MaxPriority+1).Draw(t, "priority"),
		Tokens:        rapid.Int64Range(0, 500).Draw(t, "tokens"),
		Target:        drawTarget(t),
		MaxQueuedPlan: 15,
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		item.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	if plan == 3 {
		item.TokensPerSecond = 200
	}
	ready := time.Duration(0)
	if !m.ready[item.Target] {
		ready = time.Duration(rapid.IntRange(0, 3000).Draw(t, "readyIn")) * time.Millisecond
	}
	if m.queue.Offer(m.now, item, Estimate{ReadyIn: ready}) == nil {
		m.waiting[item.ID] = item
		m.departures[item.ID] = 0
	}
}

func (m *queueModel) leave(t *rapid.T, item Item) {
	m.departures[item.ID]++
	if m.departures[item.ID] != 1 {
		t.Fatalf("item %s left the queue %d times", item.ID, m.departures[item.ID])
	}
	if _, ok := m.waiting[item.ID]; !ok {
		t.Fatalf("item %s left the queue but wasn't waiting", item.ID)
	}
	delete(m.waiting, item.ID)
}

// inTime reports whether an item's target is ready and its deadline hasn't passed.
func (m *queueModel) inTime(item Item) bool {
	return m.ready[item.Target] && (item.Deadline.IsZero() || m.now.Before(item.Deadline))
}

// canRun reports whether an item may start now.
func (m *queueModel) canRun(item Item) bool {
	free := len(m.running) < m.slots
	return free && m.inTime(item) && m.queue.flows[item.Plan].bucket.allows(m.now)
}

func (m *queueModel) run(t *rapid.T) {
	m.expire(t)
	item, ok := m.queue.Next(m.now, func(target Target) bool { return m.ready[target] })
	if !ok {
		for _, w := range m.waiting {
			if m.canRun(w) {
				t.Fatalf("not work-conserving: %+v waits while a slot is free", w)
			}
		}
		return
	}
	if !m.inTime(item) || len(m.running) >= m.slots {
		t.Fatalf("%+v must not run at %v", item, m.now)
	}
	for _, w := range m.waiting {
		if w.Plan == item.Plan && m.inTime(w) && clampPriority(w.Priority) > clampPriority(item.Priority) {
			t.Fatalf("%+v ran before %+v", item, w)
		}
	}
	m.leave(t, item)
	m.running[item.ID] = item
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	id := rapid.SampledFrom(sortedKeys(m.running)).Draw(t, "id")
	item := m.running[id]
	delete(m.running, id)
	tokens := rapid.Int64Range(0, item.cost()).Draw(t, "used")
	took := time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Millisecond
	m.queue.Finish(m.now, id, tokens, took)
}

func (m *queueModel) expire(t *rapid.T) {
	for _, item := range m.queue.Expire(m.now) {
		if item.Deadline.IsZero() {
			t.Fatalf("%+v expired without a deadline", item)
		}
		m.leave(t, item)
	}
	for _, w := range m.waiting {
		if !w.Deadline.IsZero() && m.now.After(w.Deadline) {
			t.Fatalf("%+v still waits at %v", w, m.now)
		}
	}
}

func (m *queueModel) remove(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	id := rapid.SampledFrom(sortedKeys(m.waiting)).Draw(t, "id")
	if !m.queue.Remove(m.now, id) {
		t.Fatalf("item %s isn't in the queue", id)
	}
	m.leave(t, m.waiting[id])
}

func (m *queueModel) failTarget(t *rapid.T) {
	target := drawTarget(t)
	for _, item := range m.queue.FailTarget(m.now, target) {
		if item.Target != target {
			t.Fatalf("%+v failed, but doesn't wait for %v", item, target)
		}
		m.leave(t, item)
	}
	for _, w := range m.waiting {
		if w.Target == target {
			t.Fatalf("%+v still waits for a failed target", w)
		}
	}
}

func (m *queueModel) check(t *rapid.T) {
	var tokens int64
	for _, item := range m.waiting {
		tokens += item.cost()
	}
	if m.queue.Len() != len(m.waiting)-len(m.queue.expired) {
		t.Fatalf("length %d, want %d", m.queue.Len(), len(m.waiting))
	}
	if len(m.queue.expired) == 0 && m.queue.QueuedTokens() != tokens {
		t.Fatalf("tokens %d, want %d", m.queue.QueuedTokens(), tokens)
	}
	if m.queue.Running() != len(m.running) {
		t.Fatalf("running %d, want %d", m.queue.Running(), len(m.running))
	}
}

func sortedKeys(items map[string]Item) []string {
	keys := make([]string, 0, len(items))
	for i := 1; len(keys) < len(items); i++ {
		if _, ok := items[fmt.Sprint(i)]; ok {
			keys = append(keys, fmt.Sprint(i))
		}
	}
	return keys
}

func TestEveryAcceptedItemLeavesQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(rapid.IntRange(1, 4).Draw(t, "slots"))
		t.Repeat(map[string]func(*rapid.T){
			"offer":      m.offer,
			"offerMore":  m.offer,
			"run":        m.run,
			"finish":     m.finish,
			"expire":     m.expire,
			"remove":     m.remove,
			"failTarget": m.failTarget,
			"toggle": func(t *rapid.T) {
				target := drawTarget(t)
				m.ready[target] = !m.ready[target]
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

// TestQueueFairness checks the bound of start-time fair queueing: the service
// divided by weight of two backlogged plans differs by at most one request of each.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plans := rapid.IntRange(2, 6).Draw(t, "plans")
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), plans, plans).Draw(t, "weights")
		q := New(Limits{MaxQueued: 1 << 20, Slots: 1})
		largest := make([]float64, plans)
		served := make([]float64, plans)
		next := 0
		offer := func(p int) {
			next++
			tokens := rapid.Int64Range(1, 1000).Draw(t, "tokens")
			largest[p] = max(largest[p], float64(tokens))
			item := Item{ID: fmt.Sprint(next), Plan: fmt.Sprint(p), Weight: weights[p], Tokens: tokens}
			if r := q.Offer(testStart, item, Estimate{}); r != nil {
				t.Fatalf("refused: %+v", r)
			}
		}
		for p := range plans {
			offer(p)
			offer(p)
		}
		for range 200 {
			item, ok := q.Next(testStart, func(Target) bool { return true })
			if !ok {
				t.Fatalf("nothing to run")
			}
			var p int
			if _, err := fmt.Sscan(item.Plan, &p); err != nil {
				t.Fatal(err)
			}
			served[p] += float64(item.Tokens)
			q.Finish(testStart, item.ID, item.Tokens, 0)
			offer(p)
			checkShares(t, served, weights, largest)
		}
	})
}

func checkShares(t *rapid.T, served []float64, weights []int, largest []float64) {
	for i := range served {
		for j := range served {
			wi, wj := float64(weights[i]), float64(weights[j])
			drift := served[i]/wi - served[j]/wj
			bound := largest[i]/wi + largest[j]/wj
			if drift > bound+1e-6 {
				t.Fatalf("plan %d is %.1f tokens per weight ahead of plan %d, bound %.1f", i, drift, j, bound)
			}
		}
	}
}
