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

// badLinks puts a relay before each agent and returns the relays once the entries
// use them.
func badLinks(t *testing.T, s *site.Site, seed uint64) []*site.Relay {
	t.Helper()
	var relays []*site.Relay
	for i, host := range append(append([]*site.Host{}, s.Runners...), s.Services...) {
		relay, err := site.NewRelay(host.Inner, seed+uint64(i))
		must(t, err)
		t.Cleanup(relay.Close)
		host.Inner = relay.Address()
		must(t, s.List(within(t), host, hostlist.Live))
		relays = append(relays, relay)
	}
	// The entries read the list each second.
	time.Sleep(2 * time.Second)
	return relays
}

// TestBadLinks sends requests and bookings over links that are slow, lose
// datagrams, and are cut for a while in the middle of streams. Answers are whole
// or end in an error, bookings run once at most, and all is served afterwards.
func TestBadLinks(t *testing.T) {
	first := seed(t)
	s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "100ms"} })
	mustChat(t, s, s.Entries[0], "warm up", false)
	relays := badLinks(t, s, first)
	phases := []struct {
		name   string
		faults site.LinkFaults
		lasts  time.Duration
	}{
		{"slow", site.LinkFaults{Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond}, 2 * time.Second},
		{"lossy", site.LinkFaults{Delay: 5 * time.Millisecond, Loss: 0.1}, 2 * time.Second},
		{"cut", site.LinkFaults{Cut: true}, 2 * time.Second},
		// Longer than the idle timeout of a connection.
		{"long cut", site.LinkFaults{Cut: true}, 8 * time.Second},
	}
	booked := &history{outcomes: map[string][]string{}}
	for _, phase := range phases {
		var wait sync.WaitGroup
		for i := range 6 {
			wait.Go(func() { askOverLink(t, s, phase.name, i) })
			wait.Go(func() {
				key := fmt.Sprintf("%s-%d", phase.name, i%3)
				result, err := book(within(t), s, s.Entries[i%2], key)
				if err != nil {
					result.Outcome = "lost"
				}
				booked.add(key, result.Outcome)
			})
		}
		time.Sleep(200 * time.Millisecond)
		setFaults(relays, phase.faults)
		time.Sleep(phase.lasts)
		setFaults(relays, site.LinkFaults{})
		wait.Wait()
	}
	eventualChat(t, s, s.Entries[0], "after the bad links")
	must(t, site.Eventually(within(t), func() error {
		result, err := book(within(t), s, s.Entries[1], "afterwards")
		if err == nil && result.Status != http.StatusOK {
			err = errors.New(result.String())
		}
		return err
	}))
	booked.add("afterwards", "ran")
	checkHistory(t, s, booked)
}

func setFaults(relays []*site.Relay, faults site.LinkFaults) {
	for _, relay := range relays {
		relay.SetFaults(faults)
	}
}

// askOverLink sends a request whose answer may fail but not be wrong.
func askOverLink(t *testing.T, s *site.Site, phase string, i int) {
	question := fmt.Sprintf("%s question %d", phase, i)
	stream := i%2 == 0
	result, err := s.Caller(s.Entries[i%2], site.KeyPrepress).
		Chat(within(t), colourMatch.Model, question, stream, deadline(20*time.Second))
	if err != nil || result.Status != http.StatusOK {
		t.Logf("%q: %s, %v", question, result, err)
		return
	}
	if wrong := site.CheckChat(result, colourMatch, question, stream); wrong != nil && !endsWithError(result) {
		t.Errorf("%q: %v", question, wrong)
	}
}
