package packing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// site draws a site like the users': runners with copies of some models on disk,
// of which a few are loaded.
type site struct {
	runners, models, diskMiB int
	memoryMiB                int64
	held                     int
	hot                      int
}

func (s site) draw(seed uint64) *Problem {
	random := rand.New(rand.NewPCG(seed, 1))
	sizes := []int64{34300, 65100, 65500, 72700}
	engine := &fleet.Engine{Slots: 32, MiB: s.memoryMiB, AdapterSlots: 8}
	for i := range s.models {
		engine.Models = append(engine.Models, fleet.Model{
			Name:       fmt.Sprintf("m%02d", i),
			MiB:        sizes[random.IntN(len(sizes))],
			AdapterMiB: 66,
			DiskLoad:   time.Second,
			RemoteLoad: 6 * time.Second,
		})
	}
	problem := &Problem{Service: "engine", Engine: engine}
	next := 0
	for i := range s.runners {
		runner := Runner{Host: fmt.Sprintf("h%02d", i), FailureDomain: fmt.Sprintf("d%d", i%4), Near: map[string]Nearness{}}
		used := int64(0)
		for range s.held {
			model := engine.Models[next%len(engine.Models)]
			if i < s.hot && next%3 == 0 {
				model = engine.Models[i/3]
			}
			next++
			if used+model.MiB <= s.memoryMiB {
				used += model.MiB
				runner.Near[model.Name] = Held
			}
		}
		disk := int64(0)
		for _, j := range random.Perm(len(engine.Models)) {
			model := engine.Models[j]
			if disk += model.MiB; disk > int64(s.diskMiB) {
				break
			}
			if runner.Near[model.Name] == Remote {
				runner.Near[model.Name] = OnDisk
			}
		}
		problem.Runners = append(problem.Runners, runner)
	}
	return problem
}

func TestKept(t *testing.T) {
	for seed := range uint64(5) {
		problem := site{runners: 18, models: 66, diskMiB: 830000, memoryMiB: 200000, held: 2, hot: 12}.draw(seed)
		started := time.Now()
		placed := Pack(problem)
		took := time.Since(started)
		kept, replicas := 0, 0
		var mib int64
		for _, p := range placed {
			n := 0
			for _, permit := range p.Permits {
				if permit.Keep {
					n++
					mib += problem.Engine.Model(p.Model).MiB
				}
			}
			replicas += n
			if n > 0 {
				kept++
			}
		}
		t.Logf("kept %d of %d, replicas %d, fill %.3f, took %v", kept, len(placed), replicas, float64(mib)/float64(18*200000), took)
	}
}
