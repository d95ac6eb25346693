package gateway

import (
	"fmt"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/speed"
	"teaselgauge.example/teaselgauge/pkg/wire"
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
	// software is the required version of the server's software; empty for any.
	software string
	// isOnlySoftware is set if no other version of the software was in service lately.
	isOnlySoftware bool
	// startBy is when the request must have started at its runner, so that runners that load
	// the model later aren't chosen; zero for any time.
	startBy time.Time
	// domain is this host's failure domain.
	domain string
	// excluded holds the IDs of the servers that must not be chosen.
	excluded []string
	// limitsEventGap is set if the events of the response may not come too far apart.
	limitsEventGap bool
	// random returns a random number below n.
	random func(n int) int
}

// isEligible reports whether the request may go to a server, apart from
// backpressure.
func (sel *selection) isEligible(s *server) bool {
	return s.State == fleet.BackendReady && !slices.Contains(sel.excluded, s.ID) && sel.hasSoftware(s)
}

// hasSoftware reports whether a server is known to run the required software.
func (sel *selection) hasSoftware(s *server) bool {
	return sel.software == "" || (sel.isRegisteredSoftware(s) && sel.isRegistrationCurrent(s))
}

// isRegisteredSoftware reports whether a server's registration, which may be out of date,
// names the required software.
func (sel *selection) isRegisteredSoftware(s *server) bool {
	return sel.software == "" || s.Software == sel.software
}

// isRegistrationCurrent reports whether a server still is what its registration says. A
// restarted runner may have the same ID and other software; the status of its agent shows
// which incarnation runs. Nothing shows that for servers of services without models. Where
// a single version is in service, the last status of an agent that doesn't respond any more
// is enough: nobody loads the model into another incarnation of its runner.
func (sel *selection) isRegistrationCurrent(s *server) bool {
	if sel.model == "" && s.agent == "" {
		return true
	}
	return !s.replaced && (s.hasFreshStatus(sel.now) || (sel.isOnlySoftware && s.state != nil))
}

// mayBecomeEligible reports whether a request that requires a software may wait for a
// server: whether only a status of its agent is missing.
func (sel *selection) mayBecomeEligible(s *server) bool {
	return sel.software == "" || (s.State == fleet.BackendReady && sel.isRegisteredSoftware(s))
}

// isStillReady reports whether a server that was chosen earlier still is the same incarnation
// and registered as ready.
func (sel *selection) isStillReady(chosen *server) bool {
	listed := sel.view.listed(chosen)
	return listed != nil && listed.incarnation() == chosen.incarnation() && listed.State == fleet.BackendReady
}

// stillHasSoftware reports whether a server that was chosen earlier is still ready and known
// to run the required software.
func (sel *selection) stillHasSoftware(chosen *server) bool {
	return sel.software == "" || (sel.isStillReady(chosen) && sel.hasSoftware(sel.view.listed(chosen)))
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
	relative := sel.relativeTimes(equals)
	load := func(i int) float64 { return speed.ScaleLoad(equals[i].effectiveLoad(), relative[i]) }
	first, second := speed.Draw(relative, sel.random), speed.Draw(relative, sel.random)
	if load(second) < load(first) {
		first = second
	}
	return &equals[first]
}

// relativeTimes returns the time that equally ready runners take for an event, relative to
// each other. They count as equal for a request without a limit on the gaps between events.
func (sel *selection) relativeTimes(candidates []candidate) []float64 {
	intervals := make([]time.Duration, len(candidates))
	for i := range candidates {
		if sel.limitsEventGap {
			intervals[i] = candidates[i].eventInterval
		}
	}
	return speed.Relative(intervals)
}

// startsTooLate reports whether a runner is expected to have the model loaded only after the
// request must have started.
func (sel *selection) startsTooLate(c *candidate) bool {
	return !sel.startBy.IsZero() && c.missesStart(sel.now, sel.startBy)
}

// hasOnlyLateRunners reports whether there are runners for the model, all agents are known,
// and all runners load it too late.
func (sel *selection) hasOnlyLateRunners() bool {
	return sel.view.agentsKnown && len(candidatesFor(sel)) == 0 && len(candidatesFor(sel.atAnyTime())) > 0
}

// atAnyTime returns the selection without a latest start.
func (sel *selection) atAnyTime() *selection {
	widened := *sel
	widened.startBy = time.Time{}
	return &widened
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
		if c.ready == notReady || sel.startsTooLate(&c) {
			continue
		}
		c.health = sel.tracker.Health(sel.now, s.ID)
		c.sameDomain = s.FailureDomain == sel.domain
		candidates = append(candidates, c)
	}
	return candidates
}

// describeShortage describes for the log why no server can take the request.
func (sel *selection) describeShortage() string {
	servers := sel.view.servers[sel.service]
	var ready, ofSoftware, stale, permitted, loaded int
	for _, s := range servers {
		if s.State != fleet.BackendReady {
			continue
		}
		ready++
		if sel.hasSoftware(s) {
			ofSoftware++
		}
		if s.agent != "" && !s.hasFreshStatus(sel.now) {
			stale++
		}
		if known := s.model(sel.model); known != nil && known.State == wire.ModelLoaded {
			loaded++
		}
		if s.isPermitted(sel.model) {
			permitted++
		}
	}
	text := fmt.Sprintf("listed=%d ready=%d", len(servers), ready)
	if sel.software != "" {
		text += fmt.Sprintf(" of_software=%d", ofSoftware)
	}
	if sel.model != "" {
		text += fmt.Sprintf(" unheard=%d permitted=%d loaded=%d", stale, permitted, loaded)
	}
	return text
}
