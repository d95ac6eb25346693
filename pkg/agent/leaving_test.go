package agent

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// TestListedLeavingEnds checks that what entries say of the host list counts
// only while they go on saying it, and that an agent that stops itself stays so.
func TestListedLeavingEnds(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newController(context.Background(), settings.Agent{}, "i", metrics.NewAgent(tally.NoopScope), slog.New(slog.DiscardHandler))
	steps := []struct {
		name    string
		change  func()
		passed  time.Duration
		leaving bool
	}{
		{"listed", func() { c.listedLeaving(now) }, listedLeavingTTL / 2, true},
		{"listed again", func() { c.listedLeaving(now) }, listedLeavingTTL / 2, true},
		{"not listed any more", func() {}, listedLeavingTTL, false},
		{"listed and stopped", func() { c.listedLeaving(now); c.leave("signal") }, 2 * listedLeavingTTL, true},
		{"stopped and listed", func() { c.listedLeaving(now) }, 2 * listedLeavingTTL, true},
	}
	for _, step := range steps {
		step.change()
		now = now.Add(step.passed)
		c.endListedLeaving(now)
		if c.leaving != step.leaving {
			t.Errorf("%s: leaving %v, want %v", step.name, c.leaving, step.leaving)
		}
	}
}
