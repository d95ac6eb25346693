package gateway

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	testEngine = "engine"
	testModel  = "m"
	testZone   = "zone-1"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testRunner describes a model runner for newTestControl.
type testRunner struct {
	id, zone string
	status   *wire.RunnerStatus
	// noStatus leaves the agent without a status.
	noStatus bool
	// disconnected has the agent disconnect after its status.
	disconnected bool
	permitted    bool
	loaded       bool
	// draining is the state in the runner's registration, software the version in it.
	draining bool
	software string
}

// newTestControl returns a control state that isn't driven by an event loop.
func newTestControl(now time.Time, runners ...testRunner) *control {
	c := newControl(discardLogger())
	c.agentsKnown = true
	c.applyConfiguration(&fleet.Configuration{
		Version: 1,
		Services: []fleet.Service{{Name: testEngine, Engine: &fleet.Engine{
			Slots: 10, MiB: 100, AdapterSlots: 2, Models: []fleet.Model{{Name: testModel, MiB: 40}},
		}}},
	})
	placement := &packing.Placement{Revision: 5, Models: []packing.ModelPlacement{{Service: testEngine, Model: testModel}}}
	for _, runner := range runners {
		listed := fleet.Backend{
			ID: runner.id, Service: testEngine, Address: "addr-" + runner.id, FailureDomain: runner.zone, Software: runner.software, Slots: 10, StartedAtMillis: 1,
		}
		if runner.loaded {
			listed.Models = []fleet.LoadedModel{{Name: testModel}}
		}
		if runner.draining {
			listed.State = fleet.BackendDraining
		}
		c.registry.Put(now, listed)
		host := "host-" + runner.id
		c.applySiteChange(siteChange{asOf: 9, hosts: []roster.Host{{ID: host, Role: keys.RoleAgent, Runner: listed.Address, Revision: 3}}})
		if runner.permitted {
			placed := &placement.Models[0]
			placed.Permits = append(placed.Permits, packing.Permit{Host: host})
		}
		if !runner.noStatus {
			var status wire.RunnerStatus
			if runner.status != nil {
				status = *runner.status
			}
			if runner.permitted {
				permit(&status, len(placement.Models[0].Permits))
			}
			status.StartedAtMillis = 1
			receiveStatus(c, now, host, &status)
		}
		if runner.disconnected {
			c.markAgentDisconnected(host, c.agents[host].source)
		}
	}
	c.applySiteChange(siteChange{placement: placement})
	return c
}

// receiveStatus applies a status on the stream that the agent already uses, if any.
func receiveStatus(c *control, now time.Time, host string, status *wire.RunnerStatus) {
	source := &statusSource{}
	if known := c.agents[host]; known != nil {
		source = known.source
	}
	c.applyAgentStatus(now, source, host, status)
}

// rejectStreams cancels all incoming streams.
type rejectStreams struct{}

func (rejectStreams) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	stream.Cancel()
}

// permit adds a permit of the given rank for the test's model to a status.
func permit(status *wire.RunnerStatus, rank int) {
	models := slices.Clone(status.Models)
	if len(models) == 0 {
		models = []wire.RunnerModel{{Name: testModel}}
	}
	models[0].PermitRank = rank
	status.Models = models
}

// statusOf returns a status with one model.
func statusOf(running int, model wire.RunnerModel) *wire.RunnerStatus {
	model.Name = testModel
	return &wire.RunnerStatus{Slots: 10, Running: running, LoadPercent: 10 * running, Models: []wire.RunnerModel{model}}
}

// selectionAt returns a selection for the test's model without backpressure.
func selectionAt(now time.Time, c *control, tracker *backends.Tracker, excluded ...string) *selection {
	return &selection{
		now:      now,
		view:     c.current(),
		tracker:  tracker,
		gate:     backpressure.NewGate(),
		limits:   ratelimit.NewRegistry(),
		service:  testEngine,
		model:    testModel,
		domain:   testZone,
		excluded: excluded,
		random:   func(int) int { return 0 },
	}
}

func chosenID(c *control, tracker *backends.Tracker, now time.Time, excluded ...string) string {
	s := bestRunner(selectionAt(now, c, tracker, excluded...))
	if s == nil {
		return ""
	}
	return s.ID
}

// recordVersions has the entry know that only the versions that servers run now were in
// service lately.
func recordVersions(c *control) {
	c.freshness.confirm(time.Now(), metrics.ViewRegistrations, 1)
	c.publish()
	services := make(map[string][]resumption.Usage)
	for service := range c.current().servers {
		for _, software := range c.current().versionsInService(service) {
			services[service] = append(services[service], resumption.Usage{Software: software})
		}
	}
	c.applySiteChange(siteChange{history: &resumption.History{Revision: 1, Services: services}})
	c.publish()
}
