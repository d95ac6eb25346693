package packing

import (
	"testing"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// TestOverloadedModelGetsARemoteReplica has one runner with the weights of a hot
// model, and others that would have to load it from the weight store.
func TestOverloadedModelGetsARemoteReplica(t *testing.T) {
	tests := []struct {
		name   string
		load   ModelLoad
		remote int
		// room tells that the other runners keep nothing.
		room bool
		want int
	}{
		{"it reads prompts most of its time", ModelLoad{Reading: 2 * overloadedReading}, 1, true, 2},
		{"its slots are taken", ModelLoad{Busy: 30}, 1, true, 2},
		{"in the place of patient models", ModelLoad{Reading: 2 * overloadedReading}, 1, false, 2},
		{"it is busy as it should be", ModelLoad{Reading: overloadedReading / 2, Busy: 10}, 1, true, 1},
		{"the weight store is busy", ModelLoad{Reading: 2 * overloadedReading}, 0, true, 1},
		{"it needs more than the weight store gives", ModelLoad{Reading: 8 * overloadedReading}, 1, true, 2},
		{"it needs more, and gets it", ModelLoad{Reading: 8 * overloadedReading}, 2, true, 3},
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
			if !test.room {
				problem.Runners[1].Locality["p1"] = Loaded
				problem.Runners[2].Locality["p2"] = Loaded
			}
			placed := Pack(problem)
			if kept := keptHosts(placed, "hot"); len(kept) != test.want {
				t.Errorf("kept on %v, want %d runners", kept, test.want)
			}
			// What was decided stays while it waits for its load, and isn't decided again.
			again := *problem
			again.Current = &Placement{Models: placed}
			if kept := keptHosts(Pack(&again), "hot"); len(kept) != test.want {
				t.Errorf("then on %v, want %d runners", kept, test.want)
			}
		})
	}
}
