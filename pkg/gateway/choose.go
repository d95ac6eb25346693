package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// busyShare is the load from which a runner counts as busy, so that a runner that
// would have to load the model first may go before it.
const busyShare = 0.8

// soonMillis is the longest expected wait, in milliseconds, for which a runner
// where a model is wanted already goes before those that don't load it yet.
const soonMillis = 1500

// candidate is a runner that may serve a model.
type candidate struct {
	*server
	// place orders by what must happen before the model can be used.
	place readiness
	// load is that of the runner as a part of what it can serve well.
	load   float64
	health backends.Health
	// failing: the agent says that the runner fails at many requests.
	failing bool
	near    bool
	// permit is the place of the runner's permit, or noPermit.
	permit int
	// wait is the expected time until the model is loaded.
	wait time.Duration
}

// noPermit is the place of a runner without a permit.
const noPermit = 1 << 20

// readiness tells what must happen before a model can be used.
type readiness uint8

// The kinds of readiness, the best first.
const (
	readyNow readiness = iota
	readySoon
	readyBusy
	readyAfterLoad
	readyNever
)

// selection is what a server for a request is chosen by.
type selection struct {
	now     time.Time
	view    *view
	tracker *backends.Tracker
	gate    *backpressure.Gate
	service string
	// model is empty for plain services.
	model string
	// domain is this host's failure domain.
	domain string
	// tried holds the IDs of the servers that are out of the question.
	tried []string
	// random returns a random number below n.
	random func(n int) int
}

// mayTry tells whether the request may go to a server at all, were the server
// open.
func (sel *selection) mayTry(s *server) bool {
	return s.State == fleet.BackendReady && !slices.Contains(sel.tried, s.ID)
}

// isOpen tells whether a server takes requests from this host.
func (sel *selection) isOpen(s *server) bool {
	return sel.gate.AcceptsRequests(sel.now, s.incarnation())
}

// opensAt is when the first of the servers opens that turned this host away, or
// the zero time if there is none.
func (sel *selection) opensAt() time.Time {
	var first time.Time
	for _, s := range sel.view.servers[sel.service] {
		if !sel.mayTry(s) || (sel.model != "" && newCandidate(sel.now, s, sel.model).place == readyNever) {
			continue
		}
		closure := sel.gate.Availability(s.incarnation())
		if closure.Leaving || closure.AcceptsRequests(sel.now) {
			continue
		}
		if first.IsZero() || closure.Until.Before(first) {
			first = closure.Until
		}
	}
	return first
}

// choose returns the best server for the request, or nil.
func (sel *selection) choose() *candidate {
	if sel.model == "" {
		return sel.choosePlain()
	}
	return pickRunner(sel)
}

// choosePlain returns the best server of a plain service, or nil.
func (sel *selection) choosePlain() *candidate {
	var choices []backends.Candidate
	var servers []*server
	for _, s := range sel.view.servers[sel.service] {
		if !sel.mayTry(s) || !sel.isOpen(s) {
			continue
		}
		servers = append(servers, s)
		choices = append(choices, backends.Candidate{
			Backend:    s.Backend,
			Health:     sel.tracker.Health(sel.now, s.ID),
			SameDomain: s.FailureDomain == sel.domain,
		})
	}
	best := backends.Pick(choices)
	if best < 0 {
		return nil
	}
	return &candidate{server: servers[best]}
}

// chooseRunner returns the best runner for a model, or nil.
func chooseRunner(sel *selection) *candidate {
	candidates := candidatesFor(sel)
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	return &best
}

// pickRunner returns a runner for a request, or nil. Of several that are ready it
// takes the better one of two that are drawn at random: all entries know the same
// loads, which are some time old, and would all choose the best one.
func pickRunner(sel *selection) *candidate {
	candidates := candidatesFor(sel)
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	if best.place != readyNow {
		return &best
	}
	equals := slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.place != readyNow || c.trouble() != best.trouble()
	})
	first := equals[sel.random(len(equals))]
	second := equals[sel.random(len(equals))]
	if second.rank() < first.rank() {
		return &second
	}
	return &first
}

// candidatesFor returns the runners that may serve a model.
func candidatesFor(sel *selection) []candidate {
	var candidates []candidate
	for _, s := range sel.view.servers[sel.service] {
		if !sel.mayTry(s) || !sel.isOpen(s) {
			continue
		}
		if !sel.view.informed && !s.hears(sel.now) {
			// What its registration says may be older than a restart of the runner. Its
			// agent is about to be heard.
			continue
		}
		c := newCandidate(sel.now, s, sel.model)
		if c.place == readyNever {
			continue
		}
		c.health = sel.tracker.Health(sel.now, s.ID)
		c.near = s.FailureDomain == sel.domain
		candidates = append(candidates, c)
	}
	return candidates
}

// shortage tells for the log why no server can take a request.
func shortage(now time.Time, v *view, service, model string) string {
	var ready, unheard, permitted, loaded int
	for _, s := range v.servers[service] {
		if s.State != fleet.BackendReady {
			continue
		}
		ready++
		if s.agent != "" && !s.hears(now) {
			unheard++
		}
		if known := s.model(model); known != nil && known.State == wire.ModelLoaded {
			loaded++
		}
		if s.isPermitted(model) {
			permitted++
		}
	}
	text := fmt.Sprintf("listed=%d ready=%d", len(v.servers[service]), ready)
	if model != "" {
		text += fmt.Sprintf(" unheard=%d permitted=%d loaded=%d", unheard, permitted, loaded)
	}
	return text
}

func newCandidate(now time.Time, s *server, model string) candidate {
	c := candidate{server: s, permit: noPermit}
	if s.replaced {
		c.place = readyNever
		return c
	}
	if !s.hears(now) {
		c.place = readinessUnheard(s, model)
		return c
	}
	status := s.state.Status
	if status.Down || status.Leaving {
		c.place = readyNever
		return c
	}
	c.failing = status.Failing
	c.load = status.Load()
	known := s.model(model)
	if known != nil {
		c.wait = time.Duration(known.WaitMillis) * time.Millisecond
		if known.PermitRank > 0 {
			c.permit = known.PermitRank
		}
	}
	c.place = readinessOf(known, c.load)
	return c
}

// readinessUnheard judges a runner whose agent is silent by what is known of
// before: only what it holds can be used, as nobody can order a load.
func readinessUnheard(s *server, model string) readiness {
	if known := s.model(model); known != nil && known.State == wire.ModelLoaded {
		return readySoon
	}
	held := slices.ContainsFunc(s.Models, func(m fleet.LoadedModel) bool { return m.Name == model })
	if held {
		return readySoon
	}
	return readyNever
}

func readinessOf(known *wire.RunnerModel, load float64) readiness {
	switch {
	case known == nil:
		return readyNever
	case known.State == wire.ModelLoaded && load < busyShare:
		return readyNow
	case known.State == wire.ModelLoaded:
		return readyBusy
	case known.State == wire.ModelLoading || (known.Wanted && known.WaitMillis <= soonMillis):
		return readySoon
	case known.PermitRank > 0:
		return readyAfterLoad
	default:
		return readyNever
	}
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.trouble(), b.trouble()),
		cmp.Compare(a.place, b.place),
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.permit, b.permit),
		cmp.Compare(a.ID, b.ID),
	)
}

// comesTooLate tells whether the runner is expected to have the model only after a
// request must have started.
func (c *candidate) comesTooLate(now, startBy time.Time) bool {
	return c.place == readyAfterLoad && now.Add(c.wait).After(startBy)
}

func (c *candidate) trouble() int {
	switch {
	case c.health.Unresponsive:
		return 2
	case c.health.Avoid || c.failing:
		return 1
	default:
		return 0
	}
}

// farLoad is how much more load a nearby runner may have than a far one and still be
// preferred.
const farLoad = 0.1

// rank compares runners that are equally ready: by load, where loads count, with
// a preference for the own failure domain.
func (c candidate) rank() float64 {
	if c.place == readyAfterLoad {
		return 0
	}
	load := c.load
	if slots := c.Slots; slots > 0 {
		load = max(load, float64(c.health.InFlight)/float64(slots))
	}
	if !c.near {
		load += farLoad
	}
	return load
}
