package packing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	testService = "engine"
	testSlots   = 32
)

// drawProblem draws runners with local copies of some models, some of which are
// loaded, and demand for some models.
func drawProblem(t *rapid.T) *Problem {
	engine := &fleet.Engine{Slots: 32, MiB: 200, AdapterSlots: 4}
	models := rapid.IntRange(1, 24).Draw(t, "models")
	for i := range models {
		engine.Models = append(engine.Models, fleet.Model{
			Name:       fmt.Sprintf("m%02d", i),
			MiB:        rapid.Int64Range(20, 120).Draw(t, "MiB"),
			Adapters:   rapid.IntRange(0, 2).Draw(t, "adapters"),
			AdapterMiB: 1,
		})
	}
	problem := &Problem{Service: testService, Engine: engine, Replicas: map[string]int{}}
	runners := rapid.IntRange(0, 8).Draw(t, "runners")
	for i := range runners {
		runner := Runner{
			Host:          fmt.Sprintf("h%02d", i),
			FailureDomain: fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")),
			Locality:      map[string]Locality{},
		}
		for _, model := range engine.Models {
			locality := Locality(rapid.IntRange(0, 3).Draw(t, "nearness"))
			if locality != Remote {
				runner.Locality[model.Name] = locality
			}
		}
		problem.Runners = append(problem.Runners, runner)
	}
	for _, model := range engine.Models {
		if rapid.IntRange(0, 3).Draw(t, "hot") == 0 {
			problem.Replicas[model.Name] = rapid.IntRange(1, 3).Draw(t, "replicas")
		}
	}
	return problem
}

// checkPlacement fails the test if the placement can't be applied.
func checkPlacement(t *rapid.T, problem *Problem, placed []ModelPlacement) {
	kept := map[string]int64{}
	hosts := map[string]bool{}
	for _, runner := range problem.Runners {
		hosts[runner.Host] = true
	}
	if len(placed) != len(problem.Engine.Models) {
		t.Fatalf("%d of %d models placed", len(placed), len(problem.Engine.Models))
	}
	for _, p := range placed {
		seen := map[string]bool{}
		for _, permit := range p.Permits {
			if !hosts[permit.Host] || seen[permit.Host] {
				t.Fatalf("%s: host %s is unknown or has two permits", p.Model, permit.Host)
			}
			seen[permit.Host] = true
			if permit.Keep {
				kept[permit.Host] += problem.Engine.Model(p.Model).MiB
			}
		}
		if len(problem.Runners) > 0 && len(p.Permits) == 0 {
			t.Fatalf("%s has no permit", p.Model)
		}
	}
	for host, mib := range kept {
		if mib+adapterMemory(problem.Engine) > problem.Engine.MiB {
			t.Fatalf("%s: %d MiB kept", host, mib)
		}
	}
}

func keptHosts(placed []ModelPlacement, model string) []string {
	var hosts []string
	for _, p := range placed {
		for _, permit := range p.Permits {
			if p.Model == model && permit.Keep {
				hosts = append(hosts, permit.Host)
			}
		}
	}
	return hosts
}

func TestPackFitsAndIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		problem := drawProblem(t)
		first := Pack(problem)
		checkPlacement(t, problem, first)
		problem.Current = &Placement{Models: first}
		second := Pack(problem)
		checkPlacement(t, problem, second)
		problem.Current = &Placement{Models: second}
		third := &Placement{Models: Pack(problem)}
		if !third.Equal(problem.Current) {
			t.Fatalf("the same runners and demand yield a different placement:\n%+v\n%+v", second, third.Models)
		}
	})
}

// TestPackIsStableAfterRunnerLoss removes one runner and checks that models without
// replicas on it are still kept.
func TestPackIsStableAfterRunnerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		problem := drawProblem(t)
		if len(problem.Runners) < 2 {
			return
		}
		// Without demand no model may replace another one. A model that several
		// runners have loaded before the first placement counts as having demand.
		clear(problem.Replicas)
		limitLoadedReplicas(problem)
		before := Pack(problem)
		lost := problem.Runners[0].Host
		problem.Current = &Placement{Models: before}
		problem.Runners = problem.Runners[1:]
		after := Pack(problem)
		checkPlacement(t, problem, after)
		for _, model := range problem.Engine.Models {
			hosts := keptHosts(before, model.Name)
			if len(hosts) == 0 || slices.Contains(hosts, lost) {
				continue
			}
			if now := keptHosts(after, model.Name); len(now) == 0 {
				t.Fatalf("%s was kept on %v, now nowhere", model.Name, hosts)
			}
		}
	})
}

// limitLoadedReplicas leaves each model loaded on at most one runner.
func limitLoadedReplicas(problem *Problem) {
	loaded := map[string]bool{}
	for _, runner := range problem.Runners {
		for model, locality := range runner.Locality {
			if locality == Loaded && loaded[model] {
				runner.Locality[model] = OnDisk
			}
			loaded[model] = loaded[model] || locality == Loaded
		}
	}
}

func TestPackSpreadsReplicasOverFailureDomains(t *testing.T) {
	engine := &fleet.Engine{MiB: 100, Models: []fleet.Model{{Name: "a", MiB: 40}}}
	problem := &Problem{Service: testService, Engine: engine, Replicas: map[string]int{"a": 2}}
	for i, domain := range []string{"d1", "d1", "d2"} {
		problem.Runners = append(problem.Runners, Runner{
			Host: fmt.Sprint("h", i), FailureDomain: domain, Locality: map[string]Locality{"a": OnDisk},
		})
	}
	got := keptHosts(Pack(problem), "a")
	if len(got) != 2 || !slices.Contains(got, "h2") {
		t.Fatalf("kept on %v, want one in each failure domain", got)
	}
}

func TestPackEvictsBatchModelsForInteractiveOnes(t *testing.T) {
	engine := &fleet.Engine{MiB: 100, Models: []fleet.Model{{Name: "hot", MiB: 90}, {Name: "patient", MiB: 90}}}
	localities := map[string]Locality{"hot": OnDisk, "patient": Loaded}
	problem := &Problem{
		Service: testService, Engine: engine,
		Runners: []Runner{{Host: "h1", FailureDomain: "d1", Locality: localities}},
		Current: &Placement{Models: []ModelPlacement{
			{Service: testService, Model: "patient", Permits: []Permit{{Host: "h1", Keep: true}}},
		}},
		Replicas: map[string]int{"hot": 1},
	}
	placed := Pack(problem)
	if got := keptHosts(placed, "hot"); !slices.Equal(got, []string{"h1"}) {
		t.Fatalf("interactive model kept on %v", got)
	}
	if got := keptHosts(placed, "patient"); len(got) > 0 {
		t.Fatalf("batch model also kept on %v", got)
	}
}

func TestFirstPackKeepsLoadedReplicas(t *testing.T) {
	engine := &fleet.Engine{MiB: 100, Models: []fleet.Model{{Name: "busy", MiB: 40}, {Name: "rare", MiB: 40}}}
	problem := &Problem{Service: testService, Engine: engine}
	for i := range 3 {
		problem.Runners = append(problem.Runners, Runner{
			Host: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i), Locality: map[string]Locality{"busy": Loaded},
		})
	}
	placed := Pack(problem)
	if got := keptHosts(placed, "busy"); len(got) != 3 {
		t.Fatalf("a model loaded on three runners is kept on %v", got)
	}
}

func TestPlacementRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := &Placement{Models: Pack(drawProblem(t))}
		value, err := written.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := Decode(keyvalue.KeyValue{Value: value})
		if err != nil {
			t.Fatal(err)
		}
		if !read.Equal(written) {
			t.Fatalf("read %+v, wrote %+v", read, written)
		}
	})
}

func TestDecodeRejectsMalformedPlacement(t *testing.T) {
	for _, value := range []string{"", "{", `{"models": 3}`} {
		if _, err := Decode(keyvalue.KeyValue{Value: []byte(value)}); err == nil {
			t.Errorf("%q was decoded", value)
		}
	}
}

func TestSizerScalesUpImmediatelyAndDownLate(t *testing.T) {
	sizer := NewReplicaSizer(nil)
	now := testStart
	if got := sizer.Update(now, testSlots, map[string]ModelLoad{"a": {Rate: interactiveOnRate / 2}}); len(got) > 0 {
		t.Fatalf("a model with little demand counts as interactive: %v", got)
	}
	if got := sizer.Update(now, testSlots, map[string]ModelLoad{"a": {Rate: interactiveOnRate, Prefill: 3 * replicaPrefillShare}}); got["a"] != 3 {
		t.Fatalf("replicas = %v", got)
	}
	now = now.Add(scaleDownDelay / 2)
	if got := sizer.Update(now, testSlots, map[string]ModelLoad{"a": {Rate: interactiveOnRate, Prefill: replicaPrefillShare}}); got["a"] != 3 {
		t.Fatalf("replicas removed without delay: %v", got)
	}
	now = now.Add(scaleDownDelay)
	if got := sizer.Update(now, testSlots, map[string]ModelLoad{"a": {Rate: interactiveOnRate, Prefill: replicaPrefillShare}}); got["a"] != minInteractiveReplicas {
		t.Fatalf("replicas = %v after demand decreased", got)
	}
	sizer.Update(now, testSlots, nil)
	if got := sizer.Update(now.Add(scaleDownDelay), testSlots, nil); len(got) > 0 {
		t.Fatalf("a model without demand still counts as interactive: %v", got)
	}
}

// TestSizerAddsReplicasForBusySlots covers a low request rate with long-running
// requests and few slots.
func TestSizerAddsReplicasForBusySlots(t *testing.T) {
	const slots, busy = 12, 20
	sizer := NewReplicaSizer(nil)
	now := testStart
	var got map[string]int
	for range 50 {
		got = sizer.Update(now, slots, map[string]ModelLoad{"a": {Rate: interactiveOnRate, Busy: busy}})
		now = now.Add(200 * time.Millisecond)
	}
	if want := int(math.Ceil(busy / (replicaSlotShare * slots))); got["a"] != want {
		t.Errorf("replicas = %v, want %d", got, want)
	}
	if mean := sizer.MeanLoads()["a"].Busy; mean < busy-1 || mean > busy+1 {
		t.Errorf("busy %.1f, want %d", mean, busy)
	}
}

func TestSizerOfNewLeaderKeepsReplicas(t *testing.T) {
	current := &Placement{Models: []ModelPlacement{{
		Service: testService, Model: "a", Interactive: true,
		Permits: []Permit{{Host: "h1", Keep: true}, {Host: "h2", Keep: true}, {Host: "h3", Keep: true}},
	}}}
	if got := NewReplicaSizer(current).Update(testStart, testSlots, nil); got["a"] != 3 {
		t.Fatalf("replicas = %v", got)
	}
}

// BenchmarkPack packs a site of the target size.
func BenchmarkPack(b *testing.B) {
	engine := &fleet.Engine{Slots: 32, MiB: 200_000, AdapterSlots: 8}
	sizes := []int64{34_300, 65_100, 65_500, 72_700}
	for i := range 400 {
		engine.Models = append(engine.Models, fleet.Model{
			Name: fmt.Sprintf("m%03d", i), MiB: sizes[i%len(sizes)], DiskLoad: time.Second, RemoteLoad: 6 * time.Second,
		})
	}
	problem := &Problem{Service: testService, Engine: engine, Replicas: map[string]int{"m000": 3, "m007": 2}}
	for i := range 300 {
		localities := map[string]Locality{}
		for j := range 12 {
			localities[engine.Models[(i*7+j*31)%len(engine.Models)].Name] = OnDisk
		}
		problem.Runners = append(problem.Runners, Runner{Host: fmt.Sprintf("h%03d", i), FailureDomain: fmt.Sprint("d", i%8), Locality: localities})
	}
	for b.Loop() {
		Pack(problem)
	}
}
