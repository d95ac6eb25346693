package process

import (
	"context"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// TestFrozenAgentKeepsSuccessorOut freezes an agent whose engine ignores fencing
// numbers and starts a second one with the same settings, which must wait until
// the first is dead, and then takes over what the engine holds.
func TestFrozenAgentKeepsSuccessorOut(t *testing.T) {
	for _, checks := range []bool{false, true} {
		s := start(t, func(options *site.Options) { options.CheckFences = checks })
		mustChat(t, s, s.Entries[0], "warm up", false)
		frozen := holderOf(t, s)
		if err := frozen.Freeze(); err != nil {
			t.Fatal(err)
		}
		successor, err := s.StartTwin(frozen)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		shortly, cancel := context.WithTimeout(t.Context(), time.Second)
		err = successor.AwaitReady(shortly)
		cancel()
		if err == nil {
			t.Errorf("checks fences %v: the successor serves beside a frozen agent", checks)
		}
		if err := frozen.Kill(); err != nil {
			t.Fatal(err)
		}
		if err := successor.AwaitReady(within(t)); err != nil {
			t.Fatalf("checks fences %v: the successor never serves: %v", checks, err)
		}
		eventualChat(t, s, s.Entries[1], "after the takeover")
		if count := loads(t, s, colourMatch); count != 1 {
			t.Errorf("checks fences %v: %d loads, want 1", checks, count)
		}
	}
}
