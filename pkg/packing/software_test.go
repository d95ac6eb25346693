package packing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// drawVersions gives the runners of a problem one of several software versions.
func drawVersions(t *rapid.T, problem *Problem) {
	for i := range problem.Runners {
		problem.Runners[i].Software = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "software")
	}
}

// permittedOf counts the permits of a model for runners with a software version, without
// those for a copy.
func permittedOf(problem *Problem, placed *ModelPlacement, software string) int {
	count := 0
	for _, runner := range problem.Runners {
		isPermitted := slices.ContainsFunc(placed.Permits, func(p Permit) bool { return p.Host == runner.Host && !p.Copy })
		if runner.Software == software && isPermitted {
			count++
		}
	}
	return count
}

// localOf counts the runners with a software version that have a local copy of a model.
func localOf(problem *Problem, model, software string) int {
	count := 0
	for _, runner := range problem.Runners {
		if runner.Software == software && runner.Locality[model] != Remote {
			count++
		}
	}
	return count
}

func TestPackIsStableWithSeveralSoftwareVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		problem := drawProblem(t)
		drawVersions(t, problem)
		problem.Current = &Placement{Models: Pack(problem)}
		checkPlacement(t, problem, problem.Current.Models)
		second := &Placement{Models: Pack(problem)}
		problem.Current = second
		if third := (&Placement{Models: Pack(problem)}); !third.Equal(second) {
			t.Fatalf("the same runners and demand yield a different placement:\n%+v\n%+v", second.Models, third.Models)
		}
	})
}

// Guards against a stream that breaks off at one runner and finds no other one that has its
// software version and may load its model.
func TestEachSoftwareVersionMayLoadEachModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		problem := drawProblem(t)
		drawVersions(t, problem)
		placed := Pack(problem)
		for i := range placed {
			model := problem.Engine.Model(placed[i].Model)
			for _, software := range []string{"v1", "v2", "v3"} {
				want := min(minVersionPermits, localOf(problem, model.Name, software))
				if got := permittedOf(problem, &placed[i], software); got < want {
					t.Fatalf("%s: %d runners of %s permitted, want %d: %+v", model.Name, got, software, want, placed[i].Permits)
				}
			}
		}
	})
}

// Guards against permits that are given up while a release replaces the runners one by one.
func TestSoftwareVersionKeepsItsPermitsDuringARelease(t *testing.T) {
	const runners = 8
	engine := &fleet.Engine{Slots: testSlots, MiB: 200, Models: []fleet.Model{{Name: "a", MiB: 60}}}
	problem := &Problem{Service: testService, Engine: engine, Replicas: map[string]int{"a": 5}}
	for i := range runners {
		problem.Runners = append(problem.Runners, Runner{
			Host: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%3), Software: "v1", Locality: map[string]Locality{"a": OnDisk},
		})
	}
	for released := range runners - 1 {
		problem.Current = &Placement{Models: Pack(problem)}
		problem.Runners[released].Software = "v2"
		placed := Pack(problem)
		for software, serving := range map[string]int{"v1": runners - released - 1, "v2": released + 1} {
			if got, want := permittedOf(problem, &placed[0], software), min(minVersionPermits, serving); got < want {
				t.Errorf("%d released: %d runners of %s permitted, want %d", released+1, got, software, want)
			}
		}
	}
}

// Guards against the new runners of a release, which have no local copies, having no permit
// besides that of the one runner that keeps a model.
func TestSoftwareVersionWithoutCopiesMayLoadFromTheStore(t *testing.T) {
	engine := &fleet.Engine{Slots: testSlots, MiB: 200, Models: []fleet.Model{{Name: "a", MiB: 60}}}
	problem := &Problem{Service: testService, Engine: engine, Runners: []Runner{
		{Host: "h0", FailureDomain: "d0", Software: "v1", Locality: map[string]Locality{"a": OnDisk}},
		{Host: "h1", FailureDomain: "d1", Software: "v1", Locality: map[string]Locality{"a": OnDisk}},
		{Host: "h2", FailureDomain: "d0", Software: "v2", Locality: map[string]Locality{"a": Loaded}},
		{Host: "h3", FailureDomain: "d1", Software: "v2"},
		{Host: "h4", FailureDomain: "d2", Software: "v2"},
		{Host: "h5", FailureDomain: "d0", Software: "v3"},
	}}
	for range 3 {
		placed := Pack(problem)
		for software, want := range map[string]int{"v1": 2, "v2": 2, "v3": 1} {
			if got := permittedOf(problem, &placed[0], software); got != want {
				t.Errorf("%d runners of %s permitted, want %d: %+v", got, software, want, placed[0].Permits)
			}
		}
		problem.Current = &Placement{Models: placed}
	}
}
