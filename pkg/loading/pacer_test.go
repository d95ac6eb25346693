package loading

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var testLimits = StoreLimits{StartsPerSecond: 4, MaxConcurrent: 4}

// TestPacersStartEveryLoadOnce runs each pacer without a coordinator: every load
// that isn't removed starts exactly once, regardless of the duration of the loads.
func TestPacersStartEveryLoadOnce(t *testing.T) {
	pacers := map[string]func() Pacer{
		"split":    func() Pacer { return NewStaticPacer(testLimits, 9) },
		"adaptive": func() Pacer { return NewAdaptivePacer(testLimits, 9) },
		"guided":   func() Pacer { return NewCoordinatedPacer(testLimits, 9, FallbackStatic) },
		"position": func() Pacer { return NewCoordinatedPacer(testLimits, 9, FallbackPosition) },
	}
	for name, make := range pacers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { startAll(t, make()) })
		})
	}
}

func startAll(t *rapid.T, p Pacer) {
	now := testStart
	loads := rapid.IntRange(1, 8).Draw(t, "loads")
	started := map[engine.Target]int{}
	for i := range loads {
		p.Add(now, PendingLoad{Target: engine.Target{Model: fmt.Sprint(i)}, Waiting: 1})
	}
	removed := engine.Target{Model: "0"}
	if rapid.Bool().Draw(t, "drop") {
		p.Remove(removed)
		loads--
	}
	took := time.Duration(rapid.IntRange(1, 60).Draw(t, "took")) * time.Second
	for range 10000 {
		if coordinated, ok := p.(*CoordinatedPacer); ok {
			failRequests(coordinated, now)
		}
		target, ok := p.Next(now)
		if ok {
			started[target]++
			now = now.Add(took)
			p.Done(now, target, took, 5*time.Second)
			continue
		}
		wake := p.Wake()
		if wake.IsZero() {
			break
		}
		now = later(now.Add(time.Millisecond), wake)
	}
	if len(started) != loads {
		t.Fatalf("%d of %d loads started", len(started), loads)
	}
	for target, n := range started {
		if n != 1 {
			t.Fatalf("%v started %d times", target, n)
		}
	}
}

func failRequests(g *CoordinatedPacer, now time.Time) {
	for {
		pendingLoad, ok := g.NextRequest(now)
		if !ok {
			return
		}
		g.RequestFailed(now, pendingLoad.Target)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestCoordinatorKeepsLimits runs a coordinator with agents that poll, crash and
// lose reports. It never grants more than the limits allow, and each polled load
// starts.
func TestCoordinatorKeepsLimits(t *testing.T) {
	for _, order := range []Order{OrderArrival, OrderDeadline, OrderUrgent, OrderWaiting} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { coordinate(t, NewCoordinator(testLimits, order)) })
		})
	}
}

func coordinate(t *rapid.T, c *Coordinator) {
	now := testStart
	waiting := map[string]wire.LoadRequest{}
	ends := map[string]time.Time{}
	var lastStart time.Time
	for i := range 20 {
		runner := fmt.Sprint("r", i)
		waiting[runner] = wire.LoadRequest{
			Runner: runner, Model: "m", Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"),
			DeadlineMillis: uint32(rapid.IntRange(0, 60000).Draw(t, "deadline")),
		}
	}
	pauses := rapid.SliceOfN(rapid.IntRange(20, 250), 1, 10).Draw(t, "pauses")
	for step := 0; len(waiting) > 0; step++ {
		if step > 2000 {
			t.Fatalf("%d loads never start", len(waiting))
		}
		for i := range 20 {
			runner := fmt.Sprint("r", i)
			if end, ok := ends[runner]; ok && now.After(end) {
				c.Request(now, wire.LoadRequest{Runner: runner, Model: "m", Done: true, TookMillis: 2000})
				delete(ends, runner)
			}
			request, ok := waiting[runner]
			if left := int64(request.DeadlineMillis) - now.Sub(testStart).Milliseconds(); i%2 == 0 {
				request.DeadlineMillis = uint32(max(left, 0))
			}
			if !ok || c.Request(now, request).WaitMillis > 0 {
				continue
			}
			if now.Sub(lastStart) < 250*time.Millisecond {
				t.Fatalf("two starts within %v", now.Sub(lastStart))
			}
			lastStart = now
			delete(waiting, runner)
			ends[runner] = now.Add(2 * time.Second)
			if len(ends) > testLimits.MaxConcurrent+extraLoads || c.Running() > testLimits.MaxConcurrent+extraLoads {
				t.Fatalf("%d concurrent loads", len(ends))
			}
		}
		now = now.Add(time.Duration(pauses[step%len(pauses)]) * time.Millisecond)
	}
}

// TestFallbackPositionKeepsOrder checks that loads start in the order of their last
// known positions after the coordinator has become unresponsive.
func TestFallbackPositionKeepsOrder(t *testing.T) {
	var agents []*CoordinatedPacer
	for position := range 6 {
		g := NewCoordinatedPacer(testLimits, 6, FallbackPosition)
		g.Add(testStart, PendingLoad{Target: testTarget})
		g.NextRequest(testStart)
		g.GrantReceived(testStart, testTarget, wire.LoadGrant{WaitMillis: 100, Position: position})
		agents = append(agents, g)
	}
	next := 0
	for now := testStart; next < len(agents); now = now.Add(50 * time.Millisecond) {
		for position, g := range slices.Backward(agents) {
			failRequests(g, now)
			if _, ok := g.Next(now); !ok {
				continue
			}
			if position != next {
				t.Fatalf("position %d started instead of %d", position, next)
			}
			next++
		}
	}
}

func TestCoordinatedPacerFollowsCoordinator(t *testing.T) {
	g := NewCoordinatedPacer(testLimits, 6, FallbackStatic)
	g.Add(testStart, PendingLoad{Target: testTarget})
	if _, ok := g.NextRequest(testStart); !ok {
		t.Fatal("no request to send")
	}
	if _, ok := g.Next(testStart); ok {
		t.Fatal("a load starts before the response")
	}
	g.GrantReceived(testStart, testTarget, wire.LoadGrant{})
	if target, ok := g.Next(testStart); !ok || target != testTarget {
		t.Fatal("the granted load doesn't start")
	}
	if g.GrantReceived(testStart, testTarget, wire.LoadGrant{}) {
		t.Error("a grant for a load that isn't wanted was accepted")
	}
}

func TestAdapterWindowsShareWeightStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 100).Draw(t, "agents")
		inTransit := 0
		var windows []*AdapterWindow
		for range agents {
			w := NewAdapterWindow(agents)
			windows = append(windows, w)
			for w.Start(testStart) {
				inTransit++
			}
		}
		if agents <= AdaptersInTransit && (3*inTransit > 4*AdaptersInTransit || 3*inTransit < 2*AdaptersInTransit) {
			t.Fatalf("%d adapters in transit", inTransit)
		}
		if agents > AdaptersInTransit {
			windows[0].Done(testStart, time.Second)
			if windows[0].Start(testStart) || !windows[0].Wake().After(testStart) {
				t.Fatal("no pause between adapters")
			}
		}
	})
}
