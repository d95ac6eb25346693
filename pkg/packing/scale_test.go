package packing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// largeProblem is a service of many runners with more models than they hold at
// once: two held on each runner, several copies on its disk, and a few hot models.
func largeProblem(runners, models, hot int) *Problem {
	random := rand.New(rand.NewPCG(1, 2))
	engine := &fleet.Engine{MiB: 200_000, AdapterSlots: 8}
	for i := range models {
		size := []int64{34_300, 72_700, 72_700, 65_500}[i%4]
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprintf("m%d", i), MiB: size, Adapters: i % 2, AdapterMiB: 66})
	}
	problem := &Problem{Service: "s", Engine: engine, Replicas: map[string]int{}}
	for i := range runners {
		near := map[string]Locality{}
		near[engine.Models[(2*i)%models].Name] = Loaded
		near[engine.Models[(2*i+1)%models].Name] = Loaded
		for range 3 {
			near[engine.Models[random.IntN(models)].Name] = OnDisk
		}
		problem.Runners = append(problem.Runners, Runner{Host: fmt.Sprintf("side-%03d", i), FailureDomain: fmt.Sprintf("z%d", i%6), Locality: near})
	}
	for i := range hot {
		problem.Replicas[engine.Models[i].Name] = 2 + i%3
	}
	return problem
}

func BenchmarkPackAtSize(b *testing.B) {
	for _, size := range []struct{ runners, models, hot int }{{18, 66, 20}, {46, 107, 40}, {120, 287, 60}, {2200, 120, 60}} {
		problem := largeProblem(size.runners, size.models, size.hot)
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
