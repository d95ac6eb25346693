package packing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// largeProblem returns a service whose runners can't load all of its models: each
// has two models loaded and several on disk, and a few models are interactive.
func largeProblem(runners, models, interactive int) *Problem {
	random := rand.New(rand.NewPCG(1, 2))
	engine := &fleet.Engine{MiB: 200_000, AdapterSlots: 8}
	for i := range models {
		size := []int64{34_300, 72_700, 72_700, 65_500}[i%4]
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprintf("m%d", i), MiB: size, Adapters: i % 2, AdapterMiB: 66})
	}
	problem := &Problem{Service: "s", Engine: engine, Replicas: map[string]int{}}
	for i := range runners {
		localities := map[string]Locality{}
		localities[engine.Models[(2*i)%models].Name] = Loaded
		localities[engine.Models[(2*i+1)%models].Name] = Loaded
		for range 3 {
			localities[engine.Models[random.IntN(models)].Name] = OnDisk
		}
		problem.Runners = append(problem.Runners, Runner{Host: fmt.Sprintf("side-%03d", i), FailureDomain: fmt.Sprintf("z%d", i%6), Locality: localities})
	}
	for i := range interactive {
		problem.Replicas[engine.Models[i].Name] = 2 + i%3
	}
	return problem
}

func BenchmarkPackAtSize(b *testing.B) {
	for _, size := range []struct{ runners, models, interactive int }{{18, 66, 20}, {46, 107, 40}, {120, 287, 60}, {2200, 120, 60}} {
		problem := largeProblem(size.runners, size.models, size.interactive)
		b.Run(fmt.Sprintf("first/%dx%d", size.runners, size.models), func(b *testing.B) {
			for b.Loop() {
				Pack(problem)
			}
		})
		current := *problem
		current.Current = &Placement{Models: Pack(problem)}
		b.Run(fmt.Sprintf("again/%dx%d", size.runners, size.models), func(b *testing.B) {
			for b.Loop() {
				Pack(&current)
			}
		})
	}
}
