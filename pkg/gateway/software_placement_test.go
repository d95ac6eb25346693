package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// mixedSite is a site whose runners have one of two software versions, and local copies of
// some of its models.
type mixedSite struct {
	control *control
	models  []string
	// local holds the models of which a runner has a local copy, by the runner's ID.
	local map[string][]string
}

// softwareOf returns the version of the runner with an index.
func softwareOf(runner int) string { return fmt.Sprint("v", 1+runner%2) }

func newMixedSite(random *rand.Rand, runners, models, copies int) *mixedSite {
	site := &mixedSite{local: make(map[string][]string)}
	engine := &fleet.Engine{Slots: 10, MiB: 200}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		site.models = append(site.models, name)
		engine.Models = append(engine.Models, fleet.Model{Name: name, MiB: 60})
		for _, runner := range random.Perm(runners)[:copies] {
			id := fmt.Sprint("r", runner)
			site.local[id] = append(site.local[id], name)
		}
	}
	var described []testRunner
	for i := range runners {
		id := fmt.Sprint("r", i)
		described = append(described, testRunner{id: id, zone: fmt.Sprint("zone-", i%3), software: softwareOf(i), status: site.status(id, nil)})
	}
	site.control = newTestControl(testStart, described...)
	site.control.applyConfiguration(&fleet.Configuration{Version: 2, Services: []fleet.Service{{Name: testEngine, Engine: engine}}})
	site.control.publish()
	return site
}

// status returns the status of a runner that has no model loaded.
func (s *mixedSite) status(id string, ranks map[string]int) *wire.RunnerStatus {
	status := &wire.RunnerStatus{Slots: 10, StartedAtMillis: 1}
	for _, name := range s.models {
		isLocal := slices.Contains(s.local[id], name)
		if !isLocal && ranks[name] == 0 {
			continue
		}
		model := wire.RunnerModel{Name: name, PermitRank: ranks[name]}
		if isLocal {
			model.Tier = wire.CacheDisk
		}
		status.Models = append(status.Models, model)
	}
	return status
}

// place decides a placement and has all agents report its permits.
func (s *mixedSite) place(replicas map[string]int) {
	d := &decider{control: s.control, logger: discardLogger()}
	d.startTerm(1)
	current := s.control.current()
	problem := d.problem(testStart, current, current.table.Engines()[0])
	problem.Replicas = replicas
	ranks := make(map[string]map[string]int)
	for _, placed := range packing.Pack(problem) {
		for i, permit := range placed.Permits {
			if ranks[permit.Host] == nil {
				ranks[permit.Host] = make(map[string]int)
			}
			ranks[permit.Host][placed.Model] = i + 1
		}
	}
	for _, server := range current.servers[testEngine] {
		receiveStatus(s.control, testStart, server.agent, s.status(server.ID, ranks[server.agent]))
	}
	s.control.publish()
}

// Guards against a stream that breaks off and is refused though another runner of its
// software version has the weights.
func TestStreamOfEitherSoftwareVersionFindsAnotherRunner(t *testing.T) {
	const runners, models, copies = 8, 12, 5
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		site := newMixedSite(random, runners, models, copies)
		site.place(map[string]int{"m00": 3, "m01": 2})
		for _, model := range site.models {
			for broken := range runners {
				site.checkGoesOn(t, seed, model, broken)
			}
		}
	}
}

// checkGoesOn checks that a stream that breaks off at a runner goes on if another one of the
// same version has a copy of the model.
func (s *mixedSite) checkGoesOn(t *testing.T, seed uint64, model string, broken int) {
	t.Helper()
	brokenID, software := fmt.Sprint("r", broken), softwareOf(broken)
	if !slices.Contains(s.local[brokenID], model) {
		return
	}
	hasOther := slices.ContainsFunc(s.control.current().servers[testEngine], func(other *server) bool {
		return other.ID != brokenID && other.Software == software && slices.Contains(s.local[other.ID], model)
	})
	sel := selectionAt(testStart, s.control, backends.NewTracker(), brokenID)
	sel.model, sel.software = model, software
	chosen := sel.choose()
	if hasOther && (chosen == nil || chosen.Software != software) {
		t.Errorf("seed %d: a stream of %s that broke off at %s finds %v of %s", seed, model, brokenID, chosen, software)
	}
}

// Guards against a placement that stays as it is when a runner comes back with other software.
func TestPlacementIsDecidedAgainWhenASoftwareVersionChanges(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", software: "v1"}, testRunner{id: "b", software: "v1"})
	d := &decider{control: c, logger: discardLogger()}
	d.startTerm(1)
	d.lastInputs = d.inputsOf(testStart, c.current())
	released := c.registry.Backends()[0]
	released.Software = "v2"
	released.Sequence++
	c.registry.Put(testStart, released)
	c.publish()
	if !d.isDue(testStart, d.inputsOf(testStart, c.current())) {
		t.Error("no new decision is due")
	}
}
