package gateway

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/packing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// TestOddMessagesEndNothing has agents and relays say what no sound one says: any
// values, and parts that are missing. What is known may be wrong then, but requests
// are still chosen for, and the process lives.
func TestOddMessagesEndNothing(t *testing.T) {
	const rounds = 300
	random := rand.New(rand.NewSource(20261204))
	c := fixture(testStart, testRunner{id: "a", permits: true}, testRunner{id: "b", loaded: true})
	relay := &source{}
	leader := &decider{control: c, logger: quiet(), startLoad: func(string, string, string) {}}
	leader.begin(1)
	now := testStart
	for range rounds {
		now = now.Add(time.Millisecond)
		status := oddValue[wire.RunnerStatus](t, random)
		said(c, now, "host-a", status)
		update := oddValue[wire.SiteUpdate](t, random)
		for i := range update.Agents {
			update.Agents[i].Host = "host-b"
		}
		c.relaySaid(now, relay, update, update.Complete)
		applyServers(now, c.registry, update)
		c.expireAgents(now)
		c.publishStatuses()
		sel := selectionAt(now, c, backends.NewTracker())
		sel.choose()
		betterRunner(sel, "a")
		leader.noteDown(now, sel.view)
		leader.size(now, sel.view)
		for _, service := range sel.view.table.Engines() {
			packing.Pack(leader.problem(now, sel.view, service))
		}
		leader.startLoads(now, sel.view)
	}
}

// oddValue draws a message with any values.
func oddValue[T any](t *testing.T, random *rand.Rand) *T {
	t.Helper()
	value, ok := quick.Value(reflect.TypeFor[T](), random)
	if !ok {
		t.Fatal("no value for the message")
	}
	drawn := value.Interface().(T)
	return &drawn
}
