package weightstore

import (
	"testing"
	"time"
)

func TestSpeedIsSharedByConcurrentLoads(t *testing.T) {
	tests := []struct {
		name      string
		inTransit int
		slow      float64
		want      float64
	}{
		{"alone", 1, 0, 1},
		{"at full speed", 4, 0, 1},
		{"one more", 5, 0, 0.8},
		{"twice as many", 8, 0, 0.5},
		{"slowed", 1, 4, 0.25},
		{"slowed and shared", 8, 4, 0.125},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(DefaultOptions())
			s.SetFaults(Faults{SlowFactor: test.slow})
			s.counters.NowCheckpoints = test.inTransit
			if got := s.speed(s.checkpointLoads()); got != test.want {
				t.Errorf("speed = %v, want %v", got, test.want)
			}
		})
	}
}

func TestTransferTakesItsFullDuration(t *testing.T) {
	s := New(DefaultOptions())
	transit := s.checkpointLoads()
	s.beginLoad(transit)
	const work = 30 * time.Millisecond
	start := time.Now()
	if !s.transfer(t.Context(), work, transit) {
		t.Fatal("the load was cancelled")
	}
	if took := time.Since(start); took < work {
		t.Errorf("a load of %v took %v", work, took)
	}
}
