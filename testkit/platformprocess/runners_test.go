package platformprocess

import (
	"fmt"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// TestDelayedOrders makes the runners lose the responses to orders and execute these
// orders after newer ones.
func TestDelayedOrders(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	for round := range 3 {
		setRunnerFaults(s, backendserver.Faults{LoseOrders: 400 * time.Millisecond})
		for _, model := range []string{"m3", "m4", "m1/a1", "m2/a2"} {
			request := s.NewRequest(platformsite.AdvicePath, model)
			request.Budget = 500 * time.Millisecond
			checkInvariants(t, s, request, s.Entries[0].Send(testContext(t), request))
		}
		setRunnerFaults(s, backendserver.Faults{})
		for _, model := range []string{"m1", "m2", "m3", "m4", fmt.Sprintf("m%d/a2", round+1)} {
			eventuallyServe(t, s, s.Entries[1], platformsite.AdvicePath, model)
		}
	}
}

// TestRestartedRunner restarts runners, which lose their memory but not their disk,
// under a new ID and under the old one.
func TestRestartedRunner(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	for i, id := range []string{"r-new", "r-2", "r-3"} {
		s.Runners[i].Backend.Restart(id)
		for _, model := range []string{"m1", "m2", "m3"} {
			eventuallyServe(t, s, s.Entries[i%2], platformsite.AdvicePath, model)
		}
	}
}

// TestDrainingServerGetsNoNewRequests makes servers announce in their registrations
// that they drain.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	s.Plain[0].Drain()
	s.Runners[0].Backend.Drain()
	const bound = 2 * time.Second
	time.Sleep(bound)
	drained := time.Now()
	for range 20 {
		for _, entry := range s.Entries {
			mustServe(t, s, entry, s.NewRequest(platformsite.BookingPath, ""))
			eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
		}
	}
	for _, backend := range []*backendserver.Server{s.Plain[0], s.Runners[0].Backend} {
		for id, runs := range backend.Journal().Runs {
			for _, run := range runs {
				if run.At.After(drained) {
					t.Errorf("%s reached a draining server", id)
				}
			}
		}
	}
}

// TestServersFailWithoutDeregistering stops a plain server and a runner without notice.
// Their registrations remain in the store.
func TestServersFailWithoutDeregistering(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	s.Plain[0].Close()
	s.Runners[0].Backend.Close()
	s.Plain = s.Plain[1:]
	for range 10 {
		for _, entry := range s.Entries {
			mustServe(t, s, entry, s.NewRequest(platformsite.BookingPath, ""))
		}
	}
	for _, model := range []string{"m1", "m2", "m3", "m4"} {
		eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, model)
	}
	lost := s.Runners[0]
	if err := lost.Kill(); err != nil {
		t.Fatal(err)
	}
	s.Runners = s.Runners[1:]
}

// TestAddedRunnerIsUsed adds a runner to a running site.
func TestAddedRunnerIsUsed(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Runners = 1 })
	eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, "m1")
	added, err := s.AddRunner()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		if loads := len(added.Backend.Journal().Loads); loads == 0 {
			return errNotYet("no load")
		}
		return nil
	})
	for _, model := range []string{"m1", "m2", "m3", "m4"} {
		eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, model)
	}
}

// TestMoreAdaptersThanSlots requests more adapters than the runner has adapter slots.
func TestMoreAdaptersThanSlots(t *testing.T) {
	s := start(t, func(o *platformsite.Options) {
		o.Runners = 1
		o.AdapterSlots = 1
	})
	for range 4 {
		for _, model := range []string{"m1/a1", "m1/a2", "m2/a1"} {
			eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, model)
		}
	}
}

// TestReusedAddress starts a server of another service at the address of a stopped
// server, with and without a registration of its own.
func TestReusedAddress(t *testing.T) {
	for _, unregistered := range []bool{false, true} {
		t.Run(fmt.Sprintf("unregistered=%t", unregistered), func(t *testing.T) {
			testReusedAddress(t, unregistered)
		})
	}
}

func testReusedAddress(t *testing.T, unregistered bool) {
	s := start(t, func(o *platformsite.Options) { o.Plain = 1 })
	entry := s.Entries[0]
	mustServe(t, s, entry, s.NewRequest(platformsite.BookingPath, ""))
	old := s.Plain[0]
	address := old.Address()
	old.Close()
	other, err := backendserver.Start(address, s.Store, backendserver.Options{
		ID: "x-1", Service: "another", Zone: "zone-1", Slots: 4, Queue: 4, Unregistered: unregistered,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for range 10 {
		request := s.NewRequest(platformsite.BookingPath, "")
		result := entry.Send(testContext(t), request)
		if !result.IsNotRun() {
			t.Errorf("%s, want a refusal", result)
		}
	}
	for id, runs := range other.Journal().Runs {
		for _, run := range runs {
			if run.Ran {
				t.Errorf("%s ran at a server of another service", id)
			}
		}
	}
	s.Plain = nil
}
