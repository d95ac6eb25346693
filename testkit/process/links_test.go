package process

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/site"
)

// insertRelays puts a relay in front of each agent and returns the relays once the
// entries use them.
func insertRelays(t *testing.T, s *site.Site, seed uint64) []*site.Relay {
	t.Helper()
	var relays []*site.Relay
	for i, host := range append(append([]*site.Host{}, s.Runners...), s.Services...) {
		relay, err := site.NewRelay(host.Internal, seed+uint64(i))
		must(t, err)
		t.Cleanup(relay.Close)
		host.Internal = relay.Address()
		must(t, s.List(testContext(t), host, hostlist.Live))
		relays = append(relays, relay)
	}
	// The entries read the host list each second.
	time.Sleep(2 * time.Second)
	return relays
}

// TestNetworkFaults sends requests and bookings over a network that is slow, loses
// datagrams and drops all of them for a while in the middle of streams. Responses are
// complete or end in an error, each booking runs at most once, and requests succeed
// again afterwards.
func TestNetworkFaults(t *testing.T) {
	first := seed(t)
	s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "100ms"} })
	mustChat(t, s, s.Entries[0], "warm up", false)
	relays := insertRelays(t, s, first)
	phases := []struct {
		name   string
		faults site.NetworkFaults
		lasts  time.Duration
	}{
		{"slow", site.NetworkFaults{Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond}, 2 * time.Second},
		{"lossy", site.NetworkFaults{Delay: 5 * time.Millisecond, Loss: 0.1}, 2 * time.Second},
		{"cut", site.NetworkFaults{DropAll: true}, 2 * time.Second},
		// Longer than the idle timeout of a connection.
		{"long interruption", site.NetworkFaults{DropAll: true}, 8 * time.Second},
	}
	booked := &history{outcomes: map[string][]string{}}
	for _, phase := range phases {
		var wait sync.WaitGroup
		for i := range 6 {
			wait.Go(func() { sendOverRelay(t, s, phase.name, i) })
			wait.Go(func() {
				key := fmt.Sprintf("%s-%d", phase.name, i%3)
				result, err := book(testContext(t), s, s.Entries[i%2], key)
				if err != nil {
					result.Outcome = "lost"
				}
				booked.add(key, result.Outcome)
			})
		}
		time.Sleep(200 * time.Millisecond)
		setRelayFaults(relays, phase.faults)
		time.Sleep(phase.lasts)
		setRelayFaults(relays, site.NetworkFaults{})
		wait.Wait()
	}
	eventuallyChat(t, s, s.Entries[0], "after the network faults")
	must(t, site.Eventually(testContext(t), func() error {
		result, err := book(testContext(t), s, s.Entries[1], "afterwards")
		if err == nil && result.Status != http.StatusOK {
			err = errors.New(result.String())
		}
		return err
	}))
	booked.add("afterwards", "ran")
	checkHistory(t, s, booked)
}

func setRelayFaults(relays []*site.Relay, faults site.NetworkFaults) {
	for _, relay := range relays {
		relay.SetFaults(faults)
	}
}

// sendOverRelay sends a request that may fail but must not get a wrong response.
func sendOverRelay(t *testing.T, s *site.Site, phase string, i int) {
	question := fmt.Sprintf("%s question %d", phase, i)
	stream := i%2 == 0
	result, err := s.Caller(s.Entries[i%2], site.KeyPrepress).
		Chat(testContext(t), colourMatch.Model, question, stream, deadline(20*time.Second))
	if err != nil || result.Status != http.StatusOK {
		t.Logf("%q: %s, %v", question, result, err)
		return
	}
	if wrong := site.CheckChat(result, colourMatch, question, stream); wrong != nil && !endsWithError(result) {
		t.Errorf("%q: %v", question, wrong)
	}
}
