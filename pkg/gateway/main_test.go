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
	"teaselgauge.example/teaselgauge/pkg/packing"
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

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testRunner is a model runner as the fixture draws it.
type testRunner struct {
	id, zone string
	status   *wire.RunnerStatus
	// unheard leaves the agent without a status.
	unheard bool
	// lost has the agent fall silent after its status.
	lost    bool
	permits bool
	loaded  bool
	// draining is what the runner has registered.
	draining bool
}

// fixture is a control state that isn't driven by a loop.
func fixture(now time.Time, runners ...testRunner) *control {
	c := newControl(quiet())
	c.informed = true
	c.configured(&fleet.Configuration{
		Version: 1,
		Services: []fleet.Service{{Name: testEngine, Engine: &fleet.Engine{
			Slots: 10, MiB: 100, AdapterSlots: 2, Models: []fleet.Model{{Name: testModel, MiB: 40}},
		}}},
	})
	placement := &packing.Placement{Revision: 5, Models: []packing.ModelPlacement{{Service: testEngine, Model: testModel}}}
	for _, runner := range runners {
		listed := fleet.Backend{
			ID: runner.id, Service: testEngine, Address: "addr-" + runner.id, FailureDomain: runner.zone, Slots: 10, StartedAtMillis: 1,
		}
		if runner.loaded {
			listed.Models = []fleet.LoadedModel{{Name: testModel}}
		}
		if runner.draining {
			listed.State = fleet.BackendDraining
		}
		c.registry.Put(now, listed)
		host := "host-" + runner.id
		c.siteChanged(siteChange{asOf: 9, hosts: []roster.Host{{ID: host, Role: keys.RoleAgent, Runner: listed.Address, Revision: 3}}})
		if runner.permits {
			placed := &placement.Models[0]
			placed.Permits = append(placed.Permits, packing.Permit{Host: host})
		}
		if !runner.unheard {
			var status wire.RunnerStatus
			if runner.status != nil {
				status = *runner.status
			}
			if runner.permits {
				permit(&status, len(placement.Models[0].Permits))
			}
			status.StartedAtMillis = 1
			said(c, now, host, &status)
		}
		if runner.lost {
			c.agentLost(host, c.agents[host].from)
		}
	}
	c.siteChanged(siteChange{placement: placement})
	return c
}

// said has an agent say something on the stream on which it is heard.
func said(c *control, now time.Time, host string, status *wire.RunnerStatus) {
	from := &source{}
	if known := c.agents[host]; known != nil {
		from = known.from
	}
	c.agentSaid(now, from, host, status)
}

// refuseStreams ends the streams that others open.
type refuseStreams struct{}

func (refuseStreams) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	stream.Cancel()
}

// permit has a status say that the runner may hold the test's model.
func permit(status *wire.RunnerStatus, place int) {
	models := slices.Clone(status.Models)
	if len(models) == 0 {
		models = []wire.RunnerModel{{Name: testModel}}
	}
	models[0].PermitRank = place
	status.Models = models
}

// statusOf is a status with one model.
func statusOf(running int, model wire.RunnerModel) *wire.RunnerStatus {
	model.Name = testModel
	return &wire.RunnerStatus{Slots: 10, Running: running, LoadPercent: 10 * running, Models: []wire.RunnerModel{model}}
}

// selectionAt chooses for the test's model while all servers are open.
func selectionAt(now time.Time, c *control, tracker *backends.Tracker, tried ...string) *selection {
	return &selection{
		now:     now,
		view:    c.current(),
		tracker: tracker,
		gate:    backpressure.NewGate(),
		service: testEngine,
		model:   testModel,
		domain:  testZone,
		tried:   tried,
		random:  func(int) int { return 0 },
	}
}

func chosen(c *control, tracker *backends.Tracker, now time.Time, tried ...string) string {
	s := chooseRunner(selectionAt(now, c, tracker, tried...))
	if s == nil {
		return ""
	}
	return s.ID
}
