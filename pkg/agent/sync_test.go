package agent

import (
	"testing"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// TestPositionOfPermits checks that the position moves with what the entry knows
// in full: also past placements that don't name the runner, which would else be
// sent again at once, and never past a placement that may still be missing.
func TestPositionOfPermits(t *testing.T) {
	foreign := wire.Placement{Model: "m", Version: "1", Revision: 12, Permits: []wire.Permit{{Runner: "other", Epoch: 1}}}
	reader := &permitReader{runner: "self", position: 5}
	steps := []struct {
		name     string
		known    int64
		advances bool
		position int64
	}{
		{"the entry knows less than its newest placement", 10, true, 10},
		{"the same again", 10, false, 10},
		{"an entry that is behind", 7, false, 10},
		{"the entry has caught up", 12, true, 12},
	}
	for _, step := range steps {
		update := &wire.Update{PlacementRevision: step.known, Placements: []wire.Placement{foreign}}
		if got := reader.advance(update); got != step.advances || reader.position != step.position {
			t.Errorf("%s: advanced %v to %d, want %v to %d", step.name, got, reader.position, step.advances, step.position)
		}
	}
}
