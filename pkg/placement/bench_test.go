package placement

import (
	"fmt"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// benchProblem returns a site whose runners have 20 models each on disk.
func benchProblem(models, runners int) *Problem {
	problem := &Problem{ListsRevision: 1}
	for i := range models {
		problem.Models = append(problem.Models, lists.Model{Name: fmt.Sprint("model-", i), Version: "1", MemoryMiB: 20, MaxReplicas: 40})
	}
	for i := range runners {
		runner := Runner{ID: fmt.Sprint("runner-", i), FailureDomain: fmt.Sprint(i % 6), Region: fmt.Sprint(i % 2), MemoryMiB: 80, FreeMemoryMiB: 80}
		for j := range 20 {
			id := (i*7 + j*11) % models
			runner.Models = append(runner.Models, wire.ModelStatus{Model: fmt.Sprint("model-", id), Version: "1", Cache: wire.CacheDisk})
		}
		problem.Runners = append(problem.Runners, runner)
	}
	return problem
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ models, runners int }{{30, 2200}, {60, 2200}, {120, 550}, {120, 1100}, {120, 2200}} {
		name := fmt.Sprintf("models=%d/runners=%d", size.models, size.runners)
		problem := benchProblem(size.models, size.runners)
		first := (Decider{}).Decide(problem)
		b.Run("first/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				(Decider{}).Decide(problem)
			}
		})
		stable := *problem
		for i := range first {
			stable.Current = append(stable.Current, first[i].Placement)
		}
		b.Run("stable/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if changes := (Decider{}).Decide(&stable); len(changes) > 0 {
					b.Fatal(changes)
				}
			}
		})
	}
}
