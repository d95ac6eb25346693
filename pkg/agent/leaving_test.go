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

// TestHostLeavingExpires guards against an agent that keeps refusing requests
// after the entries stopped reporting its host as leaving, and against one that
// accepts requests again although the process itself is leaving.
func TestHostLeavingExpires(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newController(context.Background(), settings.Agent{}, "i", metrics.NewAgent(tally.NoopScope), slog.New(slog.DiscardHandler))
	steps := []struct {
		name    string
		change  func()
		passed  time.Duration
		leaving bool
	}{
		{"listed", func() { c.hostMarkedLeaving(now) }, hostLeavingTTL / 2, true},
		{"listed again", func() { c.hostMarkedLeaving(now) }, hostLeavingTTL / 2, true},
		{"not listed any more", func() {}, hostLeavingTTL, false},
		{"listed and stopped", func() { c.hostMarkedLeaving(now); c.leave("signal") }, 2 * hostLeavingTTL, true},
		{"stopped and listed", func() { c.hostMarkedLeaving(now) }, 2 * hostLeavingTTL, true},
	}
	for _, step := range steps {
		step.change()
		now = now.Add(step.passed)
		c.expireHostLeaving(now)
		if c.leaving != step.leaving {
			t.Errorf("%s: leaving %v, want %v", step.name, c.leaving, step.leaving)
		}
	}
}
