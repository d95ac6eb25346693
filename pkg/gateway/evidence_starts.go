package gateway

import (
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// newWatcherTime is how long a detector counts as new from the moment at which this entry
// sees that it has something under suspicion.
const newWatcherTime = 3 * time.Second

// watcher is an agent that has fingerprints under suspicion.
type watcher struct {
	instance uint64
	seenAt   time.Time
	// informed holds the fingerprints whose last starts it was sent.
	informed map[quarantine.Fingerprint]bool
}

// informNewWatchers sends the last starts of what is under suspicion to detectors that are
// new. They were not reported to its process when they happened, and it may have evidence of
// other entries only.
func (c *quarantineClient) informNewWatchers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	agents := c.control.current().agents
	for host, known := range c.decoded {
		if len(known.state.Watched) == 0 || !agents[host].isFresh(now) {
			continue
		}
		w := c.watchers[host]
		if w == nil || w.instance != known.state.Instance {
			w = &watcher{instance: known.state.Instance, seenAt: now, informed: make(map[quarantine.Fingerprint]bool)}
			c.watchers[host] = w
		}
		if w.instance == 0 || now.Sub(w.seenAt) > newWatcherTime {
			continue
		}
		if starts := c.list.LastStarts(now, w.uninformed(known.state.Watched)); len(starts) > 0 {
			c.sendAll([]*agentState{agents[host]}, &wire.Frame{StartReport: &wire.StartReport{Starts: encodeStarts(now, starts)}})
		}
	}
	for host := range c.watchers {
		if agents[host] == nil {
			delete(c.watchers, host)
		}
	}
}

// uninformed returns the fingerprints that a watcher has under suspicion since the last call.
func (w *watcher) uninformed(watched []quarantine.Fingerprint) []quarantine.Fingerprint {
	var added []quarantine.Fingerprint
	for _, fingerprint := range watched {
		if !w.informed[fingerprint] {
			w.informed[fingerprint] = true
			added = append(added, fingerprint)
		}
	}
	return added
}

// otherWatchers returns the agents that have one of the fingerprints under suspicion, though
// this entry doesn't know them as detectors: other entries may.
func (c *quarantineClient) otherWatchers(fingerprints []quarantine.Fingerprint, detectors []*agentState) []*agentState {
	now := time.Now()
	var others []*agentState
	for host, agent := range c.control.current().agents {
		known, ok := c.decoded[host]
		if !ok || slices.Contains(detectors, agent) || !agent.isFresh(now) {
			continue
		}
		if slices.ContainsFunc(fingerprints, func(f quarantine.Fingerprint) bool { return slices.Contains(known.state.Watched, f) }) {
			others = append(others, agent)
		}
	}
	return others
}
