package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/placement"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// The target size of the site.
const (
	targetEntries  = 390
	targetRunners  = 2200
	targetModels   = 120
	targetAdapters = 12000
	targetDomains  = 6
	targetPlans    = 200

	modelMemoryMiB = 80 << 10
	// runnerMemoryMiB is the accelerator memory of a runner, whose nearly eight
	// accelerators are counted as eight.
	runnerMemoryMiB = 8 * 80 << 10
	// modelsPerStatus is the number of models, loaded or cached, in a runner's status.
	modelsPerStatus = 6
)

// start is the start of virtual time.
var start = time.Unix(0, 0)

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%targetDomains) }

func regionOf(i int) string { return fmt.Sprintf("region-%d", i%targetDomains/3) }

func runnerID(i int) string { return fmt.Sprintf("runner-%04d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// makeLists returns lists of targetModels models with the adapters spread over
// them, and allowances that name every adapter once.
func makeLists(adapters int) lists.Snapshot {
	snapshot := lists.Snapshot{Revision: 1}
	for i := range targetPlans {
		snapshot.Plans.Plans = append(snapshot.Plans.Plans, lists.Plan{
			Name:         fmt.Sprintf("plan-%03d", i),
			Customer:     fmt.Sprintf("Customer %d", i),
			APIKeyHashes: []string{fmt.Sprintf("%064x", i+1)},
			Weight:       1 + i%10,
		})
		snapshot.Allowances.Allowances = append(snapshot.Allowances.Allowances, lists.Allowance{
			Plan: fmt.Sprintf("plan-%03d", i), Models: []string{"*"}, MaxConcurrent: 100,
		})
	}
	for i := range targetModels {
		snapshot.Allowances.Models = append(snapshot.Allowances.Models, lists.Model{
			Name: modelName(i), Version: "1", MemoryMiB: modelMemoryMiB, MaxReplicas: targetRunners,
		})
	}
	for i := range adapters {
		name := adapterName(i)
		snapshot.Allowances.Adapters = append(snapshot.Allowances.Adapters, lists.Adapter{
			Name: name, Version: "1", Model: modelName(i % targetModels), MemoryMiB: 200 + int64(i%7),
		})
		allowance := &snapshot.Allowances.Allowances[i%targetPlans]
		allowance.Adapters = append(allowance.Adapters, name)
	}
	return snapshot
}

// adapterName returns a name with an incompressible part, as real names have.
func adapterName(i int) string {
	number := strconv.Itoa(i)
	return fmt.Sprintf("adapter-%s-%08x", number, uint32(xxhash.Sum64String(number)))
}

// makeHosts returns a host list with the target's ratio of entries to agents.
func makeHosts(count int) []hostlist.Host {
	hosts := make([]hostlist.Host, 0, count)
	entries := count * targetEntries / (targetEntries + targetRunners)
	for i := range count {
		host := hostlist.Host{
			ID:            runnerID(i),
			Role:          hostlist.RoleAgent,
			FailureDomain: domainOf(i),
			Region:        regionOf(i),
			Address:       fmt.Sprintf("10.%d.%d.%d:7443", i/65536, i/256%256, i%256),
			State:         hostlist.Live,
		}
		if i < entries {
			host.ID = fmt.Sprintf("entry-%04d", i)
			host.Role = hostlist.RoleEntry
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// makeStatus returns the status of an agent.
func makeStatus(runner, sequence int) wire.Status {
	status := wire.Status{
		Runner:        runnerID(runner),
		Incarnation:   fmt.Sprintf("0b8f2c1e-7a53-4e0d-9f41-%012d", runner),
		Sequence:      uint64(sequence),
		Running:       5,
		Slots:         64,
		MemoryMiB:     runnerMemoryMiB,
		FreeMemoryMiB: runnerMemoryMiB / 2,
		ListsRevision: 1,
	}
	for i := range modelsPerStatus {
		model := wire.ModelStatus{Model: modelName((runner*7 + i) % targetModels), Version: "1", Cache: wire.CacheDisk}
		if i < 2 {
			model.State = wire.ModelLoaded
		}
		status.Models = append(status.Models, model)
	}
	return status
}

// makeProblem returns a placement problem with the given number of runners and no
// permits.
func makeProblem(runners int) *placement.Problem {
	problem := &placement.Problem{
		ListsRevision: 1,
		Models:        makeLists(0).Allowances.Models,
		Demand:        make(map[placement.ModelVersion]placement.Demand),
	}
	for i := range runners {
		status := makeStatus(i, 1)
		problem.Runners = append(problem.Runners, placement.Runner{
			ID:            status.Runner,
			FailureDomain: domainOf(i),
			Region:        regionOf(i),
			MemoryMiB:     status.MemoryMiB,
			FreeMemoryMiB: status.FreeMemoryMiB,
			Models:        status.Models,
		})
	}
	return problem
}

// grantPermits gives each model permits on its share of the runners in each
// failure domain, as under full load.
func grantPermits(problem *placement.Problem) {
	permits := make([][]wire.Permit, len(problem.Models))
	for i := range problem.Runners {
		m := i / targetDomains % len(problem.Models)
		permits[m] = append(permits[m], wire.Permit{Runner: problem.Runners[i].ID, Epoch: int64(i + 1)})
	}
	for i, model := range problem.Models {
		id := placement.ModelVersion{Model: model.Name, Version: model.Version}
		problem.Current = append(problem.Current, wire.Placement{
			Model: model.Name, Version: model.Version, Revision: 1, Permits: permits[i], MemoryMiB: model.MemoryMiB,
		})
		problem.Demand[id] = placement.Demand{WaitMillis: 400, BusyPermits: len(permits[i])}
	}
}
