package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// busyLoad is the load from which a runner counts as busy, so that a runner that
// would have to load the model first may be preferred.
const busyLoad = 0.8

// soonWaitMillis is the longest expected wait, in milliseconds, for which a runner
// that already plans to load the model is preferred to those that do not.
const soonWaitMillis = 1500

// candidate is a runner that may serve a model.
type candidate struct {
	*server
	// ready is what must happen before the model can be used.
	ready readiness
	// load is the runner's load relative to its capacity.
	load   float64
	health backends.Health
	// failing is set if the agent reports that many requests fail at the runner.
	failing bool
	// sameDomain is set if the runner is in this host's failure domain.
	sameDomain bool
	// permitRank is the rank of the runner's permit, or noPermitRank.
	permitRank int
	// wait is the expected time until the model is loaded.
	wait time.Duration
}

// noPermitRank is the rank of a runner without a permit.
const noPermitRank = 1 << 20

// readiness is what must happen before a model can be used.
type readiness uint8

// The levels of readiness, best first.
const (
	readyNow readiness = iota
	readySoon
	readyBusy
	readyAfterLoad
	notReady
)

// selection holds the inputs for choosing the server of a request.
type selection struct {
	now     time.Time
	view    *view
	tracker *backends.Tracker
	gate    *backpressure.Gate
	limits  *ratelimit.Registry
	service string
	// model is empty for plain services.
	model string
	// domain is this host's failure domain.
	domain string
	// excluded holds the IDs of the servers that must not be chosen.
	excluded []string
	// random returns a random number below n.
	random func(n int) int
}

// isEligible reports whether the request may go to a server, apart from
// backpressure.
func (sel *selection) isEligible(s *server) bool {
	return s.State == fleet.BackendReady && !slices.Contains(sel.excluded, s.ID)
}

// acceptsRequests reports whether a server currently accepts requests from this
// host.
func (sel *selection) acceptsRequests(s *server) bool {
	return sel.gate.AcceptsRequests(sel.now, s.incarnation())
}

// limitRecheckInterval is the time after which a server that has named a rate limit
// is chosen like the others again. A request with a rate token then finds out whether
// the limit still holds.
const limitRecheckInterval = 5 * time.Second

// isLimited reports whether a server has named a rate limit lately.
func (sel *selection) isLimited(s *server) bool {
	limit, namedAt := sel.limits.Known(s.incarnation())
	return limit.Named && sel.now.Sub(namedAt) < limitRecheckInterval
}

// availableAt is the earliest time at which a server under backpressure accepts
// requests again, or the zero time if there is none.
func (sel *selection) availableAt() time.Time {
	var first time.Time
	for _, s := range sel.view.servers[sel.service] {
		if !sel.isEligible(s) || (sel.model != "" && newCandidate(sel.now, s, sel.model).ready == notReady) {
			continue
		}
		availability := sel.gate.Availability(s.incarnation())
		if availability.Leaving || availability.AcceptsRequests(sel.now) {
			continue
		}
		if first.IsZero() || availability.Until.Before(first) {
			first = availability.Until
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

// choosePlain returns the best server of a service without models, or nil.
func (sel *selection) choosePlain() *candidate {
	var candidates []backends.Candidate
	var servers []*server
	for _, s := range sel.view.servers[sel.service] {
		if !sel.isEligible(s) || !sel.acceptsRequests(s) {
			continue
		}
		servers = append(servers, s)
		candidates = append(candidates, backends.Candidate{
			Backend:    s.Backend,
			Health:     sel.tracker.Health(sel.now, s.ID),
			SameDomain: s.FailureDomain == sel.domain,
			Limited:    sel.isLimited(s),
		})
	}
	best := backends.Pick(candidates)
	if best < 0 {
		return nil
	}
	return &candidate{server: servers[best]}
}

// bestRunner returns the best runner for a model, or nil.
func bestRunner(sel *selection) *candidate {
	candidates := candidatesFor(sel)
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	return &best
}

// pickRunner returns a runner for a request, or nil. If several are ready, it
// takes the better one of two random ones (power of two choices): all entries see
// the same loads, slightly out of date, and would otherwise all choose the same
// runner.
func pickRunner(sel *selection) *candidate {
	candidates := candidatesFor(sel)
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	if best.ready != readyNow {
		return &best
	}
	equals := slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.ready != readyNow || c.healthPenalty() != best.healthPenalty()
	})
	first := equals[sel.random(len(equals))]
	second := equals[sel.random(len(equals))]
	if second.effectiveLoad() < first.effectiveLoad() {
		return &second
	}
	return &first
}

// candidatesFor returns the runners that may serve a model.
func candidatesFor(sel *selection) []candidate {
	var candidates []candidate
	for _, s := range sel.view.servers[sel.service] {
		if !sel.isEligible(s) || !sel.acceptsRequests(s) {
			continue
		}
		if !sel.view.agentsKnown && !s.hasFreshStatus(sel.now) {
			// The registration may be older than a restart of the runner. The
			// status of its agent is about to arrive.
			continue
		}
		c := newCandidate(sel.now, s, sel.model)
		if c.ready == notReady {
			continue
		}
		c.health = sel.tracker.Health(sel.now, s.ID)
		c.sameDomain = s.FailureDomain == sel.domain
		candidates = append(candidates, c)
	}
	return candidates
}

// describeShortage describes for the log why no server can take a request.
func describeShortage(now time.Time, v *view, service, model string) string {
	var ready, stale, permitted, loaded int
	for _, s := range v.servers[service] {
		if s.State != fleet.BackendReady {
			continue
		}
		ready++
		if s.agent != "" && !s.hasFreshStatus(now) {
			stale++
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
		text += fmt.Sprintf(" unheard=%d permitted=%d loaded=%d", stale, permitted, loaded)
	}
	return text
}

func newCandidate(now time.Time, s *server, model string) candidate {
	c := candidate{server: s, permitRank: noPermitRank}
	if s.replaced {
		c.ready = notReady
		return c
	}
	if !s.hasFreshStatus(now) {
		c.ready = readinessWithoutAgent(s, model)
		return c
	}
	status := s.state.Status
	if status.Down || status.Leaving {
		c.ready = notReady
		return c
	}
	c.failing = status.Failing
	c.load = status.Load()
	known := s.model(model)
	if known != nil {
		c.wait = time.Duration(known.WaitMillis) * time.Millisecond
		if known.PermitRank > 0 {
			c.permitRank = known.PermitRank
		}
	}
	c.ready = readinessOf(known, c.load)
	return c
}

// readinessWithoutAgent determines the readiness of a runner whose agent is
// unreachable from its last known state. Only loaded models can be used, as nobody
// can order a load.
func readinessWithoutAgent(s *server, model string) readiness {
	if known := s.model(model); known != nil && known.State == wire.ModelLoaded {
		return readySoon
	}
	loaded := slices.ContainsFunc(s.Models, func(m fleet.LoadedModel) bool { return m.Name == model })
	if loaded {
		return readySoon
	}
	return notReady
}

func readinessOf(known *wire.RunnerModel, load float64) readiness {
	switch {
	case known == nil:
		return notReady
	case known.State == wire.ModelLoaded && load < busyLoad:
		return readyNow
	case known.State == wire.ModelLoaded:
		return readyBusy
	case known.State == wire.ModelLoading || (known.Wanted && known.WaitMillis <= soonWaitMillis):
		return readySoon
	case known.PermitRank > 0:
		return readyAfterLoad
	default:
		return notReady
	}
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.healthPenalty(), b.healthPenalty()),
		cmp.Compare(a.ready, b.ready),
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.effectiveLoad(), b.effectiveLoad()),
		cmp.Compare(a.permitRank, b.permitRank),
		cmp.Compare(a.ID, b.ID),
	)
}

// missesStart reports whether the runner is expected to have the model loaded only
// after the request must have started.
func (c *candidate) missesStart(now, startBy time.Time) bool {
	return c.ready == readyAfterLoad && now.Add(c.wait).After(startBy)
}

func (c *candidate) healthPenalty() int {
	switch {
	case c.health.Unresponsive:
		return 2
	case c.health.Avoid || c.failing:
		return 1
	default:
		return 0
	}
}

// crossDomainPenalty is added to the load of runners in other failure domains.
const crossDomainPenalty = 0.1

// effectiveLoad compares equally ready runners by load, with a preference for
// this host's failure domain. Runners that still have to load the model compare
// as equal.
func (c candidate) effectiveLoad() float64 {
	if c.ready == readyAfterLoad {
		return 0
	}
	load := c.load
	if slots := c.Slots; slots > 0 {
		load = max(load, float64(c.health.InFlight)/float64(slots))
	}
	if !c.sameDomain {
		load += crossDomainPenalty
	}
	return load
}
