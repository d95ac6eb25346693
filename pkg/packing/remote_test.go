package packing

import (
	"testing"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// TestOverloadedModelGetsRemoteReplica has one runner with the weights of an
// interactive model, and others that would have to load it from the weight store.
func TestOverloadedModelGetsRemoteReplica(t *testing.T) {
	tests := []struct {
		name   string
		load   ModelLoad
		remote int
		// free indicates that the other runners keep nothing.
		free bool
		want int
	}{
		{"high prefill share", ModelLoad{Prefill: 2 * maxPrefillShare}, 1, true, 2},
		{"slots occupied", ModelLoad{Busy: 30}, 1, true, 2},
		{"in place of batch models", ModelLoad{Prefill: 2 * maxPrefillShare}, 1, false, 2},
		{"not overloaded", ModelLoad{Prefill: maxPrefillShare / 2, Busy: 10}, 1, true, 1},
		{"weight store busy", ModelLoad{Prefill: 2 * maxPrefillShare}, 0, true, 1},
		{"more needed than the weight store allows", ModelLoad{Prefill: 8 * maxPrefillShare}, 1, true, 2},
		{"more needed and allowed", ModelLoad{Prefill: 8 * maxPrefillShare}, 2, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			problem := &Problem{
				Service:        testService,
				Engine:         &fleet.Engine{Slots: testSlots, MiB: 100, Models: []fleet.Model{{Name: "hot", MiB: 60}, {Name: "p1", MiB: 60}, {Name: "p2", MiB: 60}}},
				Replicas:       map[string]int{"hot": 3},
				Loads:          map[string]ModelLoad{"hot": test.load},
				MaxRemoteLoads: test.remote,
				Runners: []Runner{
					{Host: "h1", FailureDomain: "z1", Locality: map[string]Locality{"hot": Loaded}},
					{Host: "h2", FailureDomain: "z2", Locality: map[string]Locality{}},
					{Host: "h3", FailureDomain: "z3", Locality: map[string]Locality{}},
				},
			}
			if !test.free {
				problem.Runners[1].Locality["p1"] = Loaded
				problem.Runners[2].Locality["p2"] = Loaded
			}
			placed := Pack(problem)
			if kept := keptHosts(placed, "hot"); len(kept) != test.want {
				t.Errorf("kept on %v, want %d runners", kept, test.want)
			}
			// The decision must not change or be repeated while its load is
			// pending.
			again := *problem
			again.Current = &Placement{Models: placed}
			if kept := keptHosts(Pack(&again), "hot"); len(kept) != test.want {
				t.Errorf("after a second decision kept on %v, want %d runners", kept, test.want)
			}
		})
	}
}
