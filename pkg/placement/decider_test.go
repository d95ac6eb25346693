package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

var testModel = ModelVersion{Model: "m", Version: "1"}

// testRunners returns four runners in different failure domains and in two regions;
// c has the weights of the model in memory, d has them on disk.
func testRunners() []Runner {
	runners := make([]Runner, 4)
	for i, id := range []string{"a", "b", "c", "d"} {
		runners[i] = Runner{
			ID: id, FailureDomain: "domain-" + id, Region: fmt.Sprint("region-", i%2),
			MemoryMiB: 100, FreeMemoryMiB: 100,
		}
	}
	runners[2].Models = []wire.ModelStatus{{Model: "m", Version: "1", Cache: wire.CacheMemory}}
	runners[3].Models = []wire.ModelStatus{{Model: "m", Version: "1", Cache: wire.CacheDisk}}
	return runners
}

func TestDecide(t *testing.T) {
	standing := []wire.Permit{{Runner: "c", Epoch: 5}, {Runner: "d", Epoch: 6}}
	tests := []struct {
		name    string
		permits []wire.Permit
		setUp   func(*Problem)
		want    string
	}{
		{"cached weights in two regions", nil, func(*Problem) {}, "c d"},
		{"one replica at most", nil, func(p *Problem) { p.Models[0].MaxReplicas = 1 }, "c"},
		{"runner too small", nil, func(p *Problem) { p.Runners[2].MemoryMiB = 9 }, "d a"},
		{"as decided", standing, func(*Problem) {}, "no change"},
		{"no lists", nil, func(p *Problem) { p.ListsRevision = 0 }, "no change"},
		{"another entry's", nil, func(p *Problem) { p.Owns = func(ModelVersion) bool { return false } }, "no change"},
		{"demand", standing, func(p *Problem) {
			p.Demand = map[ModelVersion]Demand{testModel: {WaitMillis: 900, BusyPermits: 2}}
		}, "c d b"},
		{"leaving", standing, func(p *Problem) { p.Runners[2].Leaving = true }, "c- d a"},
		{"leaving at the maximum", standing, func(p *Problem) {
			p.Runners[2].Leaving = true
			p.Models[0].MaxReplicas = 2
		}, "c- d"},
		{"unreachable", standing, func(p *Problem) { p.Runners[2].Unreachable = true }, "c d a"},
		{"unreachable at the maximum", standing, func(p *Problem) {
			p.Runners[2].Unreachable = true
			p.Models[0].MaxReplicas = 2
		}, "no change"},
		{"gone", standing, func(p *Problem) { p.Runners[2].Gone = true }, "d a"},
		{"unknown host counts towards the maximum", standing, func(p *Problem) {
			p.Runners = p.Runners[3:]
			p.Models[0].MaxReplicas = 2
		}, "no change"},
		{"unknown host isn't replaced", standing, func(p *Problem) { p.Runners = p.Runners[:3] }, "no change"},
		{"no memory beside kept replicas", standing, func(p *Problem) { addKeptModel(p, "d") }, "c d- b"},
		{"no memory on any runner", standing, func(p *Problem) {
			for _, runner := range p.Runners {
				addKeptModel(p, runner.ID)
			}
		}, "no change"},
		{"unlisted", standing, func(p *Problem) { p.Models = nil }, "c- d-"},
		{"maximum lowered", standing, func(p *Problem) {
			p.Models[0].MaxReplicas = 1
			p.Runners[3].Models[0].State = wire.ModelLoaded
		}, "c- d"},
		{"surplus", append([]wire.Permit{{Runner: "a", Epoch: 4}}, standing...), func(*Problem) {}, "a c d-"},
		{"loaded surplus", append([]wire.Permit{{Runner: "a", Epoch: 4}}, standing...), func(p *Problem) {
			for i := range p.Runners {
				p.Runners[i].Models = []wire.ModelStatus{{Model: "m", Version: "1", State: wire.ModelLoaded}}
			}
		}, "no change"},
		{"revoked surplus counts", []wire.Permit{{Runner: "a", Epoch: 4, Revoked: true}, {Runner: "b", Epoch: 5}}, func(p *Problem) {
			p.Models[0].MaxReplicas = 2
		}, "no change"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			problem := &Problem{
				ListsRevision: 1,
				Models:        []lists.Model{{Name: "m", Version: "1", MemoryMiB: 10, MaxReplicas: 4}},
				Runners:       testRunners(),
			}
			if test.permits != nil {
				problem.Current = []wire.Placement{{Model: "m", Version: "1", MemoryMiB: 10, Revision: 9, Permits: test.permits}}
			}
			test.setUp(problem)
			got := "no change"
			for _, change := range (Decider{}).Decide(problem) {
				got = formatPermits(change.Placement.Permits)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// addKeptModel adds a model whose kept replica occupies most of a runner's memory.
func addKeptModel(p *Problem, runner string) {
	name := "kept-on-" + runner
	p.Models = append(p.Models, lists.Model{Name: name, Version: "1", MemoryMiB: 95, MinReplicas: 1, MaxReplicas: 1})
	p.Current = append(p.Current, wire.Placement{
		Model: name, Version: "1", Revision: 3, MemoryMiB: 95,
		Permits: []wire.Permit{{Runner: runner, Epoch: 1, Keep: true}},
	})
}

func formatPermits(permits []wire.Permit) string {
	text := ""
	for i, permit := range permits {
		if i > 0 {
			text += " "
		}
		text += permit.Runner
		if permit.Revoked {
			text += "-"
		}
	}
	return text
}

// TestDecideIsStable checks that a decision, once applied, requires no other, and
// that the number of permits stays within the maximum, each on a different runner.
func TestDecideIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		problem := drawProblem(t)
		for i, change := range (Decider{}).Decide(problem) {
			change.Placement.Revision = int64(100 + i)
			permits := change.Placement.Permits
			if change.Granted > 0 && len(permits) > problem.Models[0].MaxReplicas {
				t.Fatalf("%d permits", len(permits))
			}
			for j, permit := range permits {
				if permitOf(permits, permit.Runner) != j {
					t.Fatalf("two permits for %s", permit.Runner)
				}
			}
			problem.Current = append(problem.Current, change.Placement)
		}
		if again := (Decider{}).Decide(problem); len(again) > 0 {
			t.Fatalf("again: %+v", again)
		}
	})
}

func drawProblem(t *rapid.T) *Problem {
	problem := &Problem{ListsRevision: 1, Demand: map[ModelVersion]Demand{}}
	replicas := rapid.IntRange(1, 5).Draw(t, "max replicas")
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		model := lists.Model{Name: fmt.Sprint("m", i), Version: "1", MemoryMiB: 30, MaxReplicas: replicas}
		model.MinReplicas = rapid.IntRange(0, replicas).Draw(t, "min")
		problem.Models = append(problem.Models, model)
		problem.Demand[ModelVersion{model.Name, "1"}] = Demand{
			WaitMillis:  rapid.Uint32Range(0, 2000).Draw(t, "wait"),
			BusyPermits: rapid.IntRange(0, 5).Draw(t, "busy"),
		}
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "runners") {
		problem.Runners = append(problem.Runners, Runner{
			ID: runnerID(i), FailureDomain: fmt.Sprint(i % 3), MemoryMiB: rapid.Int64Range(0, 100).Draw(t, "memory"),
			Leaving: rapid.Bool().Draw(t, "leaving"), Unreachable: rapid.Bool().Draw(t, "unreachable"),
		})
	}
	return problem
}

func TestLatePlacementsAreIgnored(t *testing.T) {
	enforcer := NewPermitEnforcer("c")
	enforcer.Step(EngineRead{})
	at := func(revision int64, permits ...wire.Permit) wire.Placement {
		return wire.Placement{Model: "m", Version: "1", Revision: revision, Permits: permits}
	}
	enforcer.Step(RelayedUpTo{Revision: 30})
	enforcer.Step(PlacementRead{Revision: 9, Placements: []wire.Placement{at(8, wire.Permit{Runner: "c", Epoch: 2})}})
	for _, late := range []wire.Placement{at(5), at(7, wire.Permit{Runner: "c", Epoch: 1})} {
		if actions := enforcer.Step(PlacementRelayed{late}); len(actions) > 0 {
			t.Errorf("revision %d caused %v", late.Revision, actions)
		}
	}
	if actions := enforcer.Step(PlacementChanged{at(7)}); len(actions) > 0 {
		t.Errorf("a late read caused %v", actions)
	}
	enforcer.Step(PlacementChanged{at(20, wire.Permit{Runner: "c", Epoch: 2})})
	enforcer.Step(RelayedUpTo{Revision: 12})
	enforcer.Step(RelayedUpTo{Revision: 7})
	if revision := enforcer.Revision(); revision != 12 {
		t.Errorf("requests changes after revision %d, want 12", revision)
	}
	if epoch, ok := enforcer.MayLoad("m", "1"); !ok || epoch != 2 {
		t.Errorf("MayLoad: %d, %t", epoch, ok)
	}
}

// TestOnlyOrderedUnloadIsConfirmed checks that the response to an eviction that was
// already in progress doesn't lead to the removal of a permit. It could be the
// response to an incarnation that was paused.
func TestOnlyOrderedUnloadIsConfirmed(t *testing.T) {
	enforcer := NewPermitEnforcer("c")
	enforcer.Step(EngineRead{Loaded: []ModelVersion{testModel}})
	enforcer.Step(PlacementRead{Revision: 9})
	revoked := wire.Placement{Model: "m", Version: "1", Revision: 10, Permits: []wire.Permit{{Runner: "c", Epoch: 2, Revoked: true}}}
	enforcer.Step(Unloaded{Model: testModel})
	if actions := enforcer.Step(PlacementRelayed{revoked}); len(actions) != 1 || actions[0] != (Unload{Model: testModel, Epoch: 2}) {
		t.Fatalf("the revocation caused %v", actions)
	}
	if actions := enforcer.Step(Unloaded{Model: testModel}); len(actions) > 0 {
		t.Errorf("the response to an eviction caused %v", actions)
	}
	if actions := enforcer.Step(Unloaded{Model: testModel, Epoch: 2}); len(actions) != 1 {
		t.Errorf("the ordered unload caused %v", actions)
	}
}

func TestPlacementEncoding(t *testing.T) {
	change := Change{Placement: wire.Placement{Model: "org/m", Version: "1", Permits: []wire.Permit{{Runner: "a", Epoch: 1}}}}
	condition, op, err := change.Transaction()
	if err != nil || condition.Key != op.Key {
		t.Fatal(condition, op, err)
	}
	placement, err := Decode(keyvalue.KeyValue{Key: op.Key, Value: op.Value, ModRevision: 7})
	if err != nil || ModelVersionOf(&placement) != ModelVersionOf(&change.Placement) || placement.Revision != 7 {
		t.Errorf("decoded %+v, %v", placement, err)
	}
	if _, err := Decode(keyvalue.KeyValue{Key: Key(testModel), Value: op.Value}); err == nil {
		t.Error("a value under another model's key was accepted")
	}
}
