package gateway

import (
	"cmp"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
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
	// eventInterval is the mean interval between the events of the model's streams at the
	// runner lately; zero if it isn't known.
	eventInterval time.Duration
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
		c.eventInterval = time.Duration(known.EventMillis) * time.Millisecond
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
